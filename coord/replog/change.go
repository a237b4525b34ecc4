package replog

// AddLearner appends the membership change that adds m as a learner.
func (n *Node) AddLearner(m Member) (index, term uint64, err error) {
	return n.proposeChange(func(c Config) (Config, error) { return c.withLearner(m) })
}

// Promote appends the membership change that makes a learner a voter. It
// returns ErrNotCaughtUp for a learner that lags: it would count toward the
// quorum size without being able to acknowledge entries.
func (n *Node) Promote(id ID) (index, term uint64, err error) {
	return n.proposeChange(func(c Config) (Config, error) {
		next, err := c.withPromoted(id)
		if err == nil && n.role == Leader && !n.caughtUp(id) {
			err = ErrNotCaughtUp
		}
		return next, err
	})
}

// Remove appends the membership change that removes a member. A healthy voter
// can only be removed if the remaining voters tolerate the loss of another one:
// that loss may already have happened undetected, and the change could then
// neither be committed nor be undone.
func (n *Node) Remove(id ID) (index, term uint64, err error) {
	return n.proposeChange(func(c Config) (Config, error) {
		// If the entry reached no other log, a leader that removed itself would
		// neither campaign nor vote for members whose logs lack the entry.
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

func (n *Node) proposeChange(f func(Config) (Config, error)) (index, term uint64, err error) {
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
	n.updateProgress()
	n.advanceCommit()
	return index, n.term, nil
}

// changePending reports whether a membership change is uncommitted, or the
// leader has not yet committed an entry of its own term: until then a change
// committed by an earlier leader may be unknown to it. Two concurrent changes
// could produce two disjoint quorums.
func (n *Node) changePending() bool {
	if n.options.faults.concurrentChanges {
		return false
	}
	term, ok := n.log.term(n.commit)
	return n.configs.lastIndex() > n.commit || !ok || term != n.term
}

// caughtUp reports whether a member is reachable and has synced every entry
// that was committed at the last heartbeat.
func (n *Node) caughtUp(id ID) bool {
	if id == n.options.ID {
		return n.stable >= n.commitAtHeartbeat
	}
	p := n.progress[id]
	return n.reachable(id) && p.contacted && p.match >= n.commitAtHeartbeat
}

// TransferLeadership transfers leadership to another voter once that voter has
// the whole log. Proposals are refused until the transfer ends, for one election
// timeout at most.
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
