package replog

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.term {
		n.term, n.vote, n.hardStateDirty = term, "", true
		n.leaderTick = 0
	}
	n.role, n.leader = Follower, leader
	n.reset()
}

func (n *Node) reset() {
	n.electionElapsed, n.heartbeatElapsed = 0, 0
	n.electionTimeout = n.options.ElectionTicks + n.options.Random.IntN(n.options.ElectionTicks)
	n.votes = nil
	n.transferee, n.transferTick = "", 0
	n.progress = nil
	n.ready.FailedReads = append(n.ready.FailedReads, n.reads.clear()...)
}

// startElection starts a pre-vote round, which asks whether an election could be
// won. Without pre-vote a partitioned member would return with a higher term and
// depose a working leader.
func (n *Node) startElection() {
	if n.options.faults.noPreVote {
		n.campaign(nil)
		return
	}
	n.role, n.leader = PreCandidate, ""
	n.reset()
	n.votes = make(map[ID]bool)
	n.requestVotes(Message{Kind: KindPreVote, Term: n.term + 1}, n.send)
	n.countVote(n.options.ID, true)
}

// campaign enters a new term as a candidate. The node's own vote counts, and its
// vote requests are sent, only once the vote is synced. request is the leader's
// message that asked for a leadership transfer, or nil.
func (n *Node) campaign(request *Message) {
	n.role, n.leader = Candidate, ""
	n.reset()
	n.term++
	n.leaderTick = 0
	n.vote, n.hardStateDirty = n.options.ID, true
	n.votes = make(map[ID]bool)
	vote := Message{Kind: KindVote, Term: n.term}
	if request != nil {
		vote.Transfer, vote.Sent = true, request.Sent
	}
	n.requestVotes(vote, n.sendAfterSync)
}

func (n *Node) requestVotes(request Message, send func(Message)) {
	request.Index, request.LogTerm = n.log.lastIndex(), n.log.lastTerm()
	for _, m := range n.Config().Voters {
		if m.ID != n.options.ID {
			request.To = m.ID
			send(request)
		}
	}
}

func (n *Node) handleVote(m Message) {
	pre := m.Kind == KindPreVote
	canVote := n.vote == m.From || n.vote == "" && n.leader == "" || pre && m.Term > n.term
	grant := canVote && n.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: KindVoteReply, To: m.From, Reject: !grant}
	if pre {
		reply.Kind = KindPreVoteReply
		if grant {
			reply.Term = m.Term
		}
		n.send(reply)
		return
	}
	if grant && n.vote == "" {
		n.vote, n.hardStateDirty = m.From, true
		n.electionElapsed = 0
	}
	n.sendAfterSync(reply)
}

// upToDate reports whether a log with the given last entry contains every entry
// that this node may have acknowledged.
func (n *Node) upToDate(index, term uint64) bool {
	if term != n.log.lastTerm() {
		return term > n.log.lastTerm()
	}
	return index >= n.log.lastIndex()
}

func (n *Node) handleVoteReply(m Message) {
	expected := n.role == Candidate && m.Kind == KindVoteReply || n.role == PreCandidate && m.Kind == KindPreVoteReply
	if !expected || !n.Config().Voter(m.From) {
		return
	}
	if m.Kind == KindPreVoteReply && !m.Reject && m.Term != n.term+1 {
		return
	}
	n.countVote(m.From, !m.Reject)
}

func (n *Node) countVote(from ID, granted bool) {
	n.votes[from] = granted
	yes, no := 0, 0
	for _, vote := range n.votes {
		if vote {
			yes++
		} else {
			no++
		}
	}
	quorum := n.Config().Quorum()
	switch {
	case yes >= quorum && n.role == PreCandidate:
		n.campaign(nil)
	case yes >= quorum:
		n.becomeLeader()
	case no >= quorum:
		n.becomeFollower(n.term, "")
	}
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.options.ID
	n.reset()
	n.progress = make(map[ID]*progress)
	n.uncommittedBytes = n.log.bytesAfter(n.commit)
	n.updateProgress()
	// A leader may only commit entries of its own term by counting replicas;
	// committing an empty entry of its term also commits those of earlier terms.
	n.appendOwn(Entry{})
	n.sendHeartbeats()
}

// updateProgress adds and removes progress entries to match the configuration.
func (n *Node) updateProgress() {
	config := n.Config()
	for _, m := range config.Members() {
		if n.progress[m.ID] == nil {
			n.progress[m.ID] = &progress{next: n.log.lastIndex() + 1, contactTick: n.tick}
		}
	}
	for id := range n.progress {
		if !config.Voter(id) && !config.Learner(id) {
			delete(n.progress, id)
		}
	}
	if p := n.progress[n.options.ID]; p != nil {
		p.acknowledge(n.stable)
	}
}
