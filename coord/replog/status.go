package replog

// MemberStatus describes a member as seen by the leader.
type MemberStatus struct {
	Member
	Voter bool `json:"voter"`
	// Match is the last index known to be synced by the member; Lag is the number
	// of entries that it lacks.
	Match uint64 `json:"match"`
	Lag   uint64 `json:"lag"`
	// ContactTicks is the age in ticks of the latest heartbeat that the member
	// answered, or -1 if it has not answered any.
	ContactTicks int64 `json:"contactTicks"`
	// CaughtUp reports whether the member is reachable and has synced every entry
	// that was committed at the last heartbeat.
	CaughtUp bool `json:"caughtUp"`
}

// Status describes a node.
type Status struct {
	ID     ID     `json:"id"`
	Role   Role   `json:"role"`
	Term   uint64 `json:"term"`
	Leader ID     `json:"leader,omitempty"`
	// Commit is the index of the last committed entry, Applied of the last entry
	// handed out by a Ready, and Last and First of the ends of the log in memory.
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
	Last    uint64 `json:"last"`
	First   uint64 `json:"first"`
	Config  Config `json:"config"`
	// LeaseTicks is the number of ticks for which no other leader can be elected,
	// provided that all clocks run at the same rate. It is 0 if this node is not
	// the leader or has requested a transfer that may still succeed.
	LeaseTicks uint64 `json:"leaseTicks"`
	// Members is set by the leader only.
	Members []MemberStatus `json:"members,omitempty"`
	// Survivable is the number of further voters that can be lost without losing
	// the quorum or a committed entry; set by the leader only. It reflects an
	// undetected loss only after an election timeout.
	Survivable int `json:"survivable"`
}

// Role returns the node's current role.
func (n *Node) Role() Role { return n.role }

// Leader returns the ID of the current leader, empty if it is unknown.
func (n *Node) Leader() ID { return n.leader }

// Term returns the node's current term.
func (n *Node) Term() uint64 { return n.term }

// LastIndex returns the index of the last entry, committed or not.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// Status returns the node's current status.
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
	// While a membership change is uncommitted, the next leader may have the
	// configuration before or after it.
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
	// Voters may accept a transfer until they receive a heartbeat that the leader
	// sent at least an election timeout after requesting it.
	transferring := n.transferTick > 0 && sent < n.transferTick+uint64(n.options.ElectionTicks)
	if sent == 0 || transferring {
		return 0
	}
	// One tick less: a voter's next tick may follow the heartbeat immediately.
	end := sent + uint64(n.options.ElectionTicks) - 1
	return end - min(end, n.tick)
}
