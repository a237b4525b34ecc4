package replog

import "slices"

// Propose appends a command to the log. The returned index and term identify the
// entry: it is committed once Ready returns an entry with both in Committed.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	switch {
	case n.role != Leader:
		return 0, 0, ErrNotLeader
	case n.transferee != "":
		return 0, 0, ErrTransferring
	case n.uncommittedBytes+len(data) > n.options.MaxUncommittedBytes:
		return 0, 0, ErrBusy
	}
	return n.appendOwn(Entry{Data: data}), n.term, nil
}

func (n *Node) appendOwn(e Entry) uint64 {
	e.Index, e.Term = n.log.lastIndex()+1, n.term
	n.appendEntries([]Entry{e})
	n.uncommittedBytes += len(e.Data)
	n.appendsPending = true
	return e.Index
}

func (n *Node) sendAppends() {
	for _, m := range n.Config().Members() {
		if m.ID != n.options.ID {
			n.sendAppend(m.ID, false)
		}
	}
}

// sendAppend sends the entries that a member lacks, up to its in-flight window.
// With force, it sends an append even if it has no entries.
func (n *Node) sendAppend(to ID, force bool) {
	p := n.progress[to]
	for p != nil && !p.blocked(n.options.MaxInflight) && (force || p.next <= n.log.lastIndex()) {
		force = false
		previous, ok := n.log.term(p.next - 1)
		if !ok {
			n.sendSnapshot(to, p)
			return
		}
		entries := n.log.batch(p.next, n.options.MaxAppendBytes)
		n.send(Message{
			Kind: KindAppend, To: to, Index: p.next - 1, LogTerm: previous,
			Entries: entries, Commit: n.commit,
		})
		p.recordSent(p.next-1+uint64(len(entries)), len(entries))
	}
}

func (n *Node) sendSnapshot(to ID, p *progress) {
	if n.snapshot == nil {
		panic("log is compacted but there is no snapshot")
	}
	p.becomeSnapshot(n.snapshot.Index, n.tick)
	n.send(Message{Kind: KindSnapshot, To: to, Snapshot: n.snapshot})
}

func (n *Node) sendHeartbeats() {
	n.commitAtHeartbeat = n.commit
	n.leaderTick = n.tick
	n.reads.unsent = false
	for _, m := range n.Config().Members() {
		p := n.progress[m.ID]
		if m.ID == n.options.ID || p == nil {
			continue
		}
		// A member must not commit entries beyond the known match of its log.
		n.send(Message{Kind: KindHeartbeat, To: m.ID, Commit: min(p.match, n.commit), Read: n.reads.round, Sent: n.tick})
	}
}

func (n *Node) stepLeader(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	switch {
	case m.Kind == KindHeartbeatReply:
		n.handleHeartbeatReply(m, p)
	case m.Reject:
		n.handleAppendReject(m, p)
	default:
		n.handleAppendAck(m, p)
	}
}

func (n *Node) handleHeartbeatReply(m Message, p *progress) {
	p.contacted, p.contactTick = true, max(p.contactTick, m.Sent)
	p.confirmedRead = max(p.confirmedRead, m.Read)
	n.confirmReads()
	p.paused = false
	n.resumeAppends(m.From, p)
}

// resumeAppends resumes replication to a member after messages were lost.
func (n *Node) resumeAppends(to ID, p *progress) {
	if p.state == stateSnapshot && n.tick-p.snapshotTick >= uint64(n.snapshotRetryTicks()) {
		p.becomeProbe()
	}
	if p.state == stateReplicate && len(p.inflight) >= n.options.MaxInflight {
		p.inflight = p.inflight[1:]
	}
	if p.match < n.log.lastIndex() {
		n.sendAppend(to, true)
	}
}

// snapshotRetryTicks returns how many ticks to wait before a snapshot is sent
// again, which leaves a large one time to arrive and to be synced.
func (n *Node) snapshotRetryTicks() int { return 4 * n.options.ElectionTicks }

func (n *Node) handleAppendReject(m Message, p *progress) {
	stale := m.Index <= p.match || p.state == stateProbe && m.Index != p.next-1
	if stale {
		return
	}
	index, _ := n.log.conflict(m.HintIndex, m.HintTerm)
	p.becomeProbe()
	p.next = max(index, p.match) + 1
	n.sendAppend(m.From, true)
}

func (n *Node) handleAppendAck(m Message, p *progress) {
	advanced := p.acknowledge(m.Index)
	switch {
	case p.state == stateProbe && advanced:
		p.becomeReplicate()
	case p.state == stateProbe && m.Index == p.match && p.match > 0:
		p.becomeReplicate()
	case p.state == stateSnapshot && p.match >= p.snapshotIndex:
		p.becomeReplicate()
	}
	if advanced {
		n.advanceCommit()
	}
	n.sendAppend(m.From, false)
	n.continueTransfer(m.From)
}

// advanceCommit commits the entries that a quorum has synced. Only an entry of
// the leader's own term is counted: an entry of an earlier term can still be
// overwritten by another leader even if a quorum has it.
func (n *Node) advanceCommit() {
	config := n.Config()
	matches := make([]uint64, 0, len(config.Voters))
	for _, m := range config.Voters {
		matches = append(matches, n.progress[m.ID].match)
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-config.Quorum()]
	term, ok := n.log.term(index)
	if index <= n.commit || !ok || term != n.term && !n.options.faults.commitOldTerm {
		return
	}
	n.commit = index
	n.uncommittedBytes = n.log.bytesAfter(index)
	n.appendsPending = true
	if n.options.BroadcastCommit {
		n.sendHeartbeats()
	}
	n.afterCommit()
}

func (n *Node) afterCommit() {
	n.confirmReads()
	for id := range n.progress {
		n.continueTransfer(id)
	}
}
