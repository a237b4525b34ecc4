package replog

import "slices"

// Config is the membership of a cluster. Configs are immutable values.
type Config struct {
	// Cluster is a random ID generated when the log is created. Messages of
	// another cluster must not reach a node.
	Cluster string `json:"cluster"`
	// Voters elect leaders and acknowledge entries.
	Voters []Member `json:"voters"`
	// Learners receive the log but do not count toward a quorum.
	Learners []Member `json:"learners,omitempty"`
}

// Quorum returns the number of voters in a majority.
func (c Config) Quorum() int { return len(c.Voters)/2 + 1 }

// Members returns the voters followed by the learners.
func (c Config) Members() []Member {
	return slices.Concat(c.Voters, c.Learners)
}

// Voter reports whether id is a voter.
func (c Config) Voter(id ID) bool { return memberIndex(c.Voters, id) >= 0 }

// Learner reports whether id is a learner.
func (c Config) Learner(id ID) bool { return memberIndex(c.Learners, id) >= 0 }

func memberIndex(members []Member, id ID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

func withoutMember(members []Member, id ID) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == id })
}

func (c Config) withLearner(m Member) (Config, error) {
	if c.Voter(m.ID) || c.Learner(m.ID) {
		return c, ErrAlreadyMember
	}
	c.Learners = append(slices.Clone(c.Learners), m)
	return c, nil
}

func (c Config) withPromoted(id ID) (Config, error) {
	at := memberIndex(c.Learners, id)
	if at < 0 {
		return c, ErrUnknownMember
	}
	c.Voters = append(slices.Clone(c.Voters), c.Learners[at])
	c.Learners = withoutMember(c.Learners, id)
	return c, nil
}

func (c Config) withRemoved(id ID) (Config, error) {
	if !c.Voter(id) && !c.Learner(id) {
		return c, ErrUnknownMember
	}
	c.Voters = withoutMember(c.Voters, id)
	c.Learners = withoutMember(c.Learners, id)
	return c, nil
}

// configHistory keeps the configurations contained in the log, so that
// truncating a configuration entry reverts to the preceding configuration.
type configHistory struct {
	base    Config
	changes []configChange
}

type configChange struct {
	index  uint64
	config Config
}

func (h *configHistory) current() Config {
	if len(h.changes) == 0 {
		return h.base
	}
	return h.changes[len(h.changes)-1].config
}

// lastIndex returns the index of the last configuration change in the log, 0 if
// there is none.
func (h *configHistory) lastIndex() uint64 {
	if len(h.changes) == 0 {
		return 0
	}
	return h.changes[len(h.changes)-1].index
}

func (h *configHistory) at(index uint64) Config {
	config := h.base
	for _, change := range h.changes {
		if change.index <= index {
			config = change.config
		}
	}
	return config
}

func (h *configHistory) append(entries []Entry) {
	for _, e := range entries {
		if e.Config != nil {
			h.changes = append(h.changes, configChange{index: e.Index, config: *e.Config})
		}
	}
}

// truncate drops the changes at and after an index.
func (h *configHistory) truncate(from uint64) {
	h.changes = slices.DeleteFunc(h.changes, func(c configChange) bool { return c.index >= from })
}

// compact folds the changes up to and including index into the base.
func (h *configHistory) compact(index uint64) {
	h.base = h.at(index)
	h.changes = slices.DeleteFunc(h.changes, func(c configChange) bool { return c.index <= index })
}
