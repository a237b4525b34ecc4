package replog

import "slices"

// Propose appends a command. The returned index and term identify the entry:
// it is committed once an entry with both is handed out.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	switch {
	case n.role != Leader:
		return 0, 0, ErrNotLeader
	case n.transferee != "":
		return 0, 0, ErrTransferring
	case n.uncommitted+len(data) > n.options.MaxUncommittedBytes:
		return 0, 0, ErrBusy
	}
	return n.appendOwn(Entry{Data: data}), n.term, nil
}

func (n *Node) appendOwn(e Entry) uint64 {
	e.Index, e.Term = n.log.lastIndex()+1, n.term
	n.appendEntries([]Entry{e})
	n.uncommitted += len(e.Data)
	n.broadcast = true
	return e.Index
}

func (n *Node) sendAppends() {
	for _, m := range n.Config().Members() {
		if m.ID != n.options.ID {
			n.sendAppend(m.ID, false)
		}
	}
}

// sendAppend sends what a member lacks, as far as its window allows; force
// sends an append without entries too.
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
		p.sent(p.next-1+uint64(len(entries)), len(entries))
	}
}

func (n *Node) sendSnapshot(to ID, p *progress) {
	if n.snapshot == nil {
		panic("the log is compacted without a snapshot")
	}
	p.waitForSnapshot(n.snapshot.Index, n.tick)
	n.send(Message{Kind: KindSnapshot, To: to, Snapshot: n.snapshot})
}

func (n *Node) sendHeartbeats() {
	n.commitAtBeat = n.commit
	n.heardTick = n.tick
	n.reads.unsent = false
	for _, m := range n.Config().Members() {
		p := n.progress[m.ID]
		if m.ID == n.options.ID || p == nil {
			continue
		}
		// A member must not commit past what it is known to share.
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
		n.takeHeartbeatReply(m, p)
	case m.Reject:
		n.takeRejection(m, p)
	default:
		n.takeAcknowledgement(m, p)
	}
}

func (n *Node) takeHeartbeatReply(m Message, p *progress) {
	p.contacted, p.contactTick = true, max(p.contactTick, m.Sent)
	p.confirmedRead = max(p.confirmedRead, m.Read)
	n.confirmReads()
	p.paused = false
	n.repair(m.From, p)
}

// repair restarts the flow to a member after lost messages.
func (n *Node) repair(to ID, p *progress) {
	if p.state == stateSnapshot && n.tick-p.snapshotTick >= uint64(n.snapshotRetryTicks()) {
		p.probe()
	}
	if p.state == stateReplicate && len(p.inflight) >= n.options.MaxInflight {
		p.inflight = p.inflight[1:]
	}
	if p.match < n.log.lastIndex() {
		n.sendAppend(to, true)
	}
}

// snapshotRetryTicks gives a large snapshot time to arrive and to be synced.
func (n *Node) snapshotRetryTicks() int { return 4 * n.options.ElectionTicks }

func (n *Node) takeRejection(m Message, p *progress) {
	stale := m.Index <= p.match || p.state == stateProbe && m.Index != p.next-1
	if stale {
		return
	}
	index, _ := n.log.conflict(m.HintIndex, m.HintTerm)
	p.probe()
	p.next = max(index, p.match) + 1
	n.sendAppend(m.From, true)
}

func (n *Node) takeAcknowledgement(m Message, p *progress) {
	news := p.acknowledge(m.Index)
	switch {
	case p.state == stateProbe && news:
		p.replicate()
	case p.state == stateProbe && m.Index == p.match && p.match > 0:
		p.replicate()
	case p.state == stateSnapshot && p.match >= p.snapshotIndex:
		p.replicate()
	}
	if news {
		n.advanceCommit()
	}
	n.sendAppend(m.From, false)
	n.continueTransfer(m.From)
}

// advanceCommit commits what a quorum has synced. Only an entry of the
// leader's own term is counted: an older one on a quorum can still be replaced
// by another leader's.
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
	n.uncommitted = n.log.bytesAfter(index)
	n.broadcast = true
	if n.options.TellCommit {
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
