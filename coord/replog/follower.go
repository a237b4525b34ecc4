package replog

func (n *Node) stepFollower(m Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.elapsed = 0
	switch m.Kind {
	case KindAppend:
		n.takeAppend(m)
	case KindHeartbeat:
		n.heardTick = max(n.heardTick, m.Sent)
		n.commitTo(min(m.Commit, n.log.lastIndex()))
		// The reply promises nothing that is on disk, so a slow disk does not
		// cost the leader its quorum.
		n.send(Message{Kind: KindHeartbeatReply, To: m.From, Read: m.Read, Sent: m.Sent})
	case KindSnapshot:
		n.takeSnapshot(m)
	}
}

func (n *Node) takeAppend(m Message) {
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
	if fresh := n.unknown(m.Entries); len(fresh) > 0 {
		n.appendEntries(fresh)
	}
	n.commitTo(min(m.Commit, last))
	n.sendAfterSync(Message{Kind: KindAppendReply, To: m.From, Index: last})
}

// unknown skips the entries that the log already holds. A delayed append must
// not cut off entries that a later one has added.
func (n *Node) unknown(entries []Entry) []Entry {
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

func (n *Node) takeSnapshot(m Message) {
	s := m.Snapshot
	if s != nil && s.Index > n.commit {
		n.install(*s)
	}
	n.sendAfterSync(Message{Kind: KindAppendReply, To: m.From, Index: n.commit})
}

func (n *Node) install(s Snapshot) {
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
