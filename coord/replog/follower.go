package replog

func (n *Node) stepFollower(m Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.electionElapsed = 0
	switch m.Kind {
	case KindAppend:
		n.handleAppend(m)
	case KindHeartbeat:
		n.leaderTick = max(n.leaderTick, m.Sent)
		n.commitTo(min(m.Commit, n.log.lastIndex()))
		// The reply does not depend on synced state and is sent immediately, so
		// that a slow disk does not cost the leader its quorum.
		n.send(Message{Kind: KindHeartbeatReply, To: m.From, Read: m.Read, Sent: m.Sent})
	case KindSnapshot:
		n.handleSnapshot(m)
	}
}

func (n *Node) handleAppend(m Message) {
	if m.Index < n.commit {
		n.sendAfterSync(Message{Kind: KindAppendReply, To: m.From, Index: n.commit})
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		hintIndex, hintTerm := n.log.conflict(m.Index, m.LogTerm)
		n.send(Message{Kind: KindAppendReply, To: m.From, Reject: true, Index: m.Index, HintIndex: hintIndex, HintTerm: hintTerm})
		return
	}
	last := m.Index + uint64(len(m.Entries))
	if missing := n.missingEntries(m.Entries); len(missing) > 0 {
		n.appendEntries(missing)
	}
	n.commitTo(min(m.Commit, last))
	n.sendAfterSync(Message{Kind: KindAppendReply, To: m.From, Index: last})
}

// missingEntries skips the entries that the log already contains. A delayed
// append must not truncate entries that a later one has added.
func (n *Node) missingEntries(entries []Entry) []Entry {
	for i, e := range entries {
		if !n.log.matches(e.Index, e.Term) {
			return entries[i:]
		}
	}
	return nil
}

func (n *Node) commitTo(index uint64) {
	n.commit = max(n.commit, index)
}

func (n *Node) handleSnapshot(m Message) {
	s := m.Snapshot
	if s != nil && s.Index > n.commit {
		n.installSnapshot(*s)
	}
	n.sendAfterSync(Message{Kind: KindAppendReply, To: m.From, Index: n.commit})
}

func (n *Node) installSnapshot(s Snapshot) {
	if n.log.matches(s.Index, s.Term) {
		n.commitTo(s.Index)
		return
	}
	n.log.reset(s.Index, s.Term)
	n.configs = configHistory{base: s.Config}
	n.snapshot = &s
	n.commit, n.delivered = s.Index, s.Index
	n.stable = 0
	n.ready.Snapshot = &s
	n.ready.Entries = nil
	n.ready.Committed = nil
}
