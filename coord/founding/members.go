package founding

import "time"

// Member is a member of the log as its leader sees it.
type Member struct {
	ID       string
	Address  string
	Voter    bool
	CaughtUp bool
}

// Seen is a process with the time since it was last heard.
type Seen struct {
	Process
	Silent time.Duration
}

// Membership is what the leader knows.
type Membership struct {
	// Self is the leader's own member.
	Self    string
	Cluster string
	// Losses is how many machines with a disk may be lost at once.
	Losses  int
	Members []Member
	Known   []Seen
}

// ChangeKind is what to do with a member.
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

// Change is one step.
type Change struct {
	Kind    ChangeKind
	Member  string
	Address string
}

const (
	// present is how long after its last word a process counts as there.
	present = 1500 * time.Millisecond
	// lost is how long a voter is silent before it is given up, if enough
	// others stand: longer than a machine that restarts or is cut off usually
	// takes to come back.
	lost = 12 * time.Second
)

// NextChange returns the next step towards a log of all present processes with
// a disk. Members are added before others are removed, so that no step has
// fewer copies than the one before.
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

// removeReplaced removes members whose process came back with an empty disk:
// the process at their address is another member now, and counts already.
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

// runs is true when the process that is heard is this member.
func (v *Membership) runs(id string) bool {
	if id == v.Self {
		return true
	}
	for _, s := range v.Known {
		if s.Member == id && s.Silent < present {
			return true
		}
	}
	return false
}

func (v *Membership) add() Change {
	learners := 0
	known := make(map[string]bool, len(v.Members))
	places := make(map[string]bool, len(v.Members))
	for _, m := range v.Members {
		known[m.ID], places[m.Address] = true, true
		if !m.Voter {
			learners++
		}
	}
	if learners > 0 {
		return Change{}
	}
	for _, s := range v.Known {
		if !s.Disk || known[s.Member] || s.Silent > present || s.Cluster != "" && s.Cluster != v.Cluster {
			continue
		}
		// One that came back with an empty disk takes its own former place.
		if len(v.Members) >= MostMembers && !places[s.Address] {
			continue
		}
		return Change{Kind: ChangeAdd, Member: s.Member, Address: s.Address}
	}
	return Change{}
}

// removeLost gives up a member that has been silent for long. The voters that
// are left must bear the losses that the deployment names, and all be there.
func (v *Membership) removeLost() Change {
	running := 0
	for _, m := range v.Members {
		if m.Voter && v.runs(m.ID) {
			running++
		}
	}
	if running < 2*v.Losses+1 {
		return Change{}
	}
	for _, m := range v.Members {
		if !v.runs(m.ID) && v.silent(m) > lost {
			return Change{Kind: ChangeRemove, Member: m.ID, Address: m.Address}
		}
	}
	return Change{}
}

// silent is how long a member has not been heard; one that was never heard
// counts as silent for long.
func (v *Membership) silent(m Member) time.Duration {
	for _, s := range v.Known {
		if s.Address == m.Address {
			if s.Member != m.ID {
				return lost + 1
			}
			return s.Silent
		}
	}
	return 0
}
