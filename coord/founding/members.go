package founding

import "time"

// Member is a member of the log as seen by the leader.
type Member struct {
	ID       string
	Address  string
	Voter    bool
	CaughtUp bool
}

// KnownProcess is a process with the time since it was last heard from.
type KnownProcess struct {
	Process
	Silent time.Duration
}

// Membership is the leader's knowledge of the members and processes.
type Membership struct {
	// Self is the leader's own member ID.
	Self    string
	Cluster string
	// ToleratedLosses is the number of machines with a disk that may be lost at the
	// same time.
	ToleratedLosses int
	Members         []Member
	Known           []KnownProcess
}

// ChangeKind is the kind of a membership change.
type ChangeKind string

const (
	// ChangeNone leaves the membership as it is.
	ChangeNone ChangeKind = ""
	// ChangeAdd adds a learner.
	ChangeAdd ChangeKind = "add"
	// ChangePromote makes a learner a voter.
	ChangePromote ChangeKind = "promote"
	// ChangeRemove removes a member.
	ChangeRemove ChangeKind = "remove"
)

// Change is one change of the membership.
type Change struct {
	Kind    ChangeKind
	Member  string
	Address string
}

const (
	// presentWithin is how recently a process must have been heard from to count
	// as present.
	presentWithin = 1500 * time.Millisecond
	// lostAfter is how long a voter must be silent before it is removed, provided
	// that enough other voters are running. It is longer than a restarting or
	// partitioned machine usually takes to return.
	lostAfter = 12 * time.Second
)

// NextChange returns the next change towards a membership of all present
// processes with a disk. Members are added before others are removed, so that no
// change reduces the number of copies.
func NextChange(v Membership) Change {
	if c := v.promote(); c.Kind != ChangeNone {
		return c
	}
	if c := v.removeReplaced(); c.Kind != ChangeNone {
		return c
	}
	if c := v.add(); c.Kind != ChangeNone {
		return c
	}
	return v.removeLost()
}

func (v *Membership) promote() Change {
	for _, m := range v.Members {
		if !m.Voter && m.CaughtUp {
			return Change{Kind: ChangePromote, Member: m.ID, Address: m.Address}
		}
	}
	return Change{}
}

// removeReplaced removes a member whose process restarted with an empty disk: the
// process at its address is now a different member, which is already a voter.
func (v *Membership) removeReplaced() Change {
	for _, m := range v.Members {
		if m.ID == v.Self {
			continue
		}
		for _, other := range v.Members {
			if other.Address == m.Address && other.ID != m.ID && other.Voter && v.runs(other.ID) && !v.runs(m.ID) {
				return Change{Kind: ChangeRemove, Member: m.ID, Address: m.Address}
			}
		}
	}
	return Change{}
}

// runs reports whether the member is the leader itself or a process that was
// heard from recently.
func (v *Membership) runs(id string) bool {
	if id == v.Self {
		return true
	}
	for _, s := range v.Known {
		if s.Member == id && s.Silent < presentWithin {
			return true
		}
	}
	return false
}

func (v *Membership) add() Change {
	learners := 0
	known := make(map[string]bool, len(v.Members))
	addresses := make(map[string]bool, len(v.Members))
	for _, m := range v.Members {
		known[m.ID], addresses[m.Address] = true, true
		if !m.Voter {
			learners++
		}
	}
	if learners > 0 {
		return Change{}
	}
	for _, s := range v.Known {
		if !s.Disk || known[s.Member] || s.Silent > presentWithin || s.Cluster != "" && s.Cluster != v.Cluster {
			continue
		}
		// A process that restarted with an empty disk replaces its former member
		// even if the log is full.
		if len(v.Members) >= MaxMembers && !addresses[s.Address] {
			continue
		}
		return Change{Kind: ChangeAdd, Member: s.Member, Address: s.Address}
	}
	return Change{}
}

// removeLost removes a member that has been silent for longer than lostAfter. It
// does so only if enough voters are running to tolerate the deployment's
// ToleratedLosses.
func (v *Membership) removeLost() Change {
	running := 0
	for _, m := range v.Members {
		if m.Voter && v.runs(m.ID) {
			running++
		}
	}
	if running < 2*v.ToleratedLosses+1 {
		return Change{}
	}
	for _, m := range v.Members {
		if !v.runs(m.ID) && v.silent(m) > lostAfter {
			return Change{Kind: ChangeRemove, Member: m.ID, Address: m.Address}
		}
	}
	return Change{}
}

// silent returns the time since a member was last heard from. It is longer than
// lostAfter if the process at the member's address is a different member, and 0 if
// no process is known at that address.
func (v *Membership) silent(m Member) time.Duration {
	for _, s := range v.Known {
		if s.Address == m.Address {
			if s.Member != m.ID {
				return lostAfter + 1
			}
			return s.Silent
		}
	}
	return 0
}
