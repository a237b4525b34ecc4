package replog

// AddLearner appends the membership change that adds a learner.
func (n *Node) AddLearner(m Member) (index, term uint64, err error) {
	return n.change(func(c Config) (Config, error) { return c.withLearner(m) })
}

// Promote appends the change that makes a learner a voter. A learner that has
// not caught up is refused: it would count for the quorum while it cannot
// acknowledge anything.
func (n *Node) Promote(id ID) (index, term uint64, err error) {
	return n.change(func(c Config) (Config, error) {
		next, err := c.withPromoted(id)
		if err == nil && n.role == Leader && !n.caughtUp(id) {
			err = ErrNotCaughtUp
		}
		return next, err
	})
}

// Remove appends the change that removes a member. A healthy voter may only go
// when the loss of another one would be survivable without it: that loss may
// have happened already, unnoticed, and the change could then neither be
// committed nor be undone.
func (n *Node) Remove(id ID) (index, term uint64, err error) {
	return n.change(func(c Config) (Config, error) {
		// Alone with its own removal on its log, a leader would neither campaign
		// nor vote for those whose logs lack it.
		if id == n.options.ID && !n.options.faults.removeLeader {
			return c, ErrRemovesLeader
		}
		next, err := c.withRemoved(id)
		if err == nil && n.role == Leader && c.Voter(id) && n.caughtUp(id) && n.survivable(next) < 1 {
			err = ErrWouldLoseRedundancy
		}
		return next, err
	})
}

func (n *Node) change(f func(Config) (Config, error)) (index, term uint64, err error) {
	switch {
	case n.role != Leader:
		return 0, 0, ErrNotLeader
	case n.transferee != "":
		return 0, 0, ErrTransferring
	case n.changePending():
		return 0, 0, ErrChangePending
	}
	next, err := f(n.Config())
	if err != nil {
		return 0, 0, err
	}
	if n.reachableVoters(next) < next.Quorum() {
		return 0, 0, ErrWouldLoseQuorum
	}
	index = n.appendOwn(Entry{Config: &next})
	n.followConfig()
	n.advanceCommit()
	return index, n.term, nil
}

// changePending is true while a change is not committed, and until the leader
// has committed an entry of its own term: before that it may not know of a
// change that another leader committed. Two changes at once could leave two
// quorums without a common member.
func (n *Node) changePending() bool {
	if n.options.faults.concurrentChanges {
		return false
	}
	term, ok := n.log.term(n.commit)
	return n.configs.lastIndex() > n.commit || !ok || term != n.term
}

// caughtUp reports whether a member has synced all that was committed at the
// last heartbeat and still answers.
func (n *Node) caughtUp(id ID) bool {
	if id == n.options.ID {
		return n.stable >= n.commitAtBeat
	}
	p := n.progress[id]
	return n.reachable(id) && p.contacted && p.match >= n.commitAtBeat
}

// TransferLeadership hands the leadership to another voter once that has the
// whole log. Proposals are refused meanwhile, for an election timeout at most.
func (n *Node) TransferLeadership(to ID) error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case !n.Config().Voter(to):
		return ErrNotVoter
	case to == n.options.ID:
		return nil
	}
	n.transferee, n.transferTicks = to, 0
	n.transferTick = max(n.tick, 1)
	n.continueTransfer(to)
	return nil
}

func (n *Node) continueTransfer(id ID) {
	if id != n.transferee || n.progress[id] == nil {
		return
	}
	if n.progress[id].match == n.log.lastIndex() {
		n.transferTick = max(n.tick, 1)
		n.send(Message{Kind: KindTimeoutNow, To: id, Sent: n.transferTick})
	} else {
		n.sendAppend(id, false)
	}
}

func (n *Node) tickTransfer() {
	if n.transferee == "" {
		return
	}
	n.transferTicks++
	if n.transferTicks >= n.options.ElectionTicks {
		n.transferee = ""
	}
}
