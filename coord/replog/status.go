package replog

// MemberStatus is what a leader knows of one member.
type MemberStatus struct {
	Member
	Voter bool `json:"voter"`
	// Match is the last index that is synced there; Lag counts the entries
	// that are still missing.
	Match uint64 `json:"match"`
	Lag   uint64 `json:"lag"`
	// ContactTicks is the age of the latest heartbeat that it answered, -1 when
	// it never answered.
	ContactTicks int64 `json:"contactTicks"`
	// CaughtUp is true when it answers and has synced everything that was
	// committed a heartbeat ago.
	CaughtUp bool `json:"caughtUp"`
}

// Status describes a node.
type Status struct {
	ID     ID     `json:"id"`
	Role   Role   `json:"role"`
	Term   uint64 `json:"term"`
	Leader ID     `json:"leader,omitempty"`
	// Commit, Applied, Last and First are indexes: of the last committed entry,
	// the last one handed out by a Ready, and the ends of the log in memory.
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
	Last    uint64 `json:"last"`
	First   uint64 `json:"first"`
	Config  Config `json:"config"`
	// LeaseTicks is how much longer no other leader can have been elected,
	// provided that clocks run alike; 0 when this node is not the leader or
	// has asked for a transfer that may still succeed.
	LeaseTicks uint64 `json:"leaseTicks"`
	// Members is filled by the leader only.
	Members []MemberStatus `json:"members,omitempty"`
	// Survivable is how many further voters may be lost now without losing
	// the quorum or a committed entry; filled by the leader only. It notices a
	// silent loss an election timeout late.
	Survivable int `json:"survivable"`
}

// Role is what the node does now.
func (n *Node) Role() Role { return n.role }

// Leader is the leader that the node follows, empty when it knows none.
func (n *Node) Leader() ID { return n.leader }

// Term is the node's current term.
func (n *Node) Term() uint64 { return n.term }

// LastIndex is the index of the last entry, committed or not.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// Status returns the node's present state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.options.ID, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.commit, Applied: n.delivered, Last: n.log.lastIndex(), First: n.log.prefixIndex + 1,
		Config: n.Config(),
	}
	if n.role != Leader {
		return s
	}
	s.LeaseTicks = n.leaseTicks()
	for _, m := range s.Config.Members() {
		s.Members = append(s.Members, n.memberStatus(m))
	}
	// While a change is not committed, the next leader may have either side of it.
	s.Survivable = min(n.survivable(s.Config), n.survivable(n.configs.at(n.commit)))
	return s
}

func (n *Node) survivable(config Config) int {
	healthy := 0
	for _, m := range config.Voters {
		if n.caughtUp(m.ID) {
			healthy++
		}
	}
	return max(0, healthy-config.Quorum())
}

func (n *Node) memberStatus(m Member) MemberStatus {
	p := n.progress[m.ID]
	status := MemberStatus{Member: m, Voter: n.Config().Voter(m.ID), Match: p.match, ContactTicks: -1, CaughtUp: n.caughtUp(m.ID)}
	if p.contacted {
		status.ContactTicks = int64(n.tick - p.contactTick)
	}
	if m.ID == n.options.ID {
		status.ContactTicks = 0
	}
	status.Lag = n.log.lastIndex() - min(p.match, n.log.lastIndex())
	return status
}

func (n *Node) leaseTicks() uint64 {
	sent := n.quorumValue(n.tick, func(p *progress) uint64 {
		if !p.contacted {
			return 0
		}
		return p.contactTick
	})
	// Voters may follow a transfer until they have heard from the leader an
	// election timeout after it.
	transferring := n.transferTick > 0 && sent < n.transferTick+uint64(n.options.ElectionTicks)
	if sent == 0 || transferring {
		return 0
	}
	// A voter's next tick may come right after the heartbeat.
	end := sent + uint64(n.options.ElectionTicks) - 1
	return end - min(end, n.tick)
}
