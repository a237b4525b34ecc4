package replog

import "slices"

// Node is one member's part of the replicated log. One duty owns it.
type Node struct {
	options Options
	role    Role
	term    uint64
	vote    ID
	leader  ID

	log      entryLog
	configs  configHistory
	snapshot *Snapshot
	commit   uint64
	// stable is the last index that is synced here, delivered the last one
	// handed out to be applied.
	stable    uint64
	delivered uint64
	// keptCommit is the commit that the last hard state named.
	keptCommit uint64

	tick          uint64
	elapsed       int
	heartbeat     int
	timeout       int
	votes         map[ID]bool
	progress      map[ID]*progress
	broadcast     bool
	uncommitted   int
	commitAtBeat  uint64
	transferee    ID
	transferTicks int
	// transferTick is when this term's leader last asked for a transfer, 0 for
	// never.
	transferTick uint64
	// heardTick is the highest tick of this term's leader that a heartbeat named.
	heardTick uint64
	restarted bool
	reads     readQueue

	sequence  uint64
	unsynced  []pendingSync
	ready     Ready
	hardDirty bool
}

// pendingSync is what becomes true here once a Ready is synced.
type pendingSync struct {
	sequence  uint64
	tick      uint64
	term      uint64
	vote      ID
	lastIndex uint64
	lastTerm  uint64
}

// New returns a follower with the restored state.
func New(options Options, restored Restored) *Node {
	options.setDefaults()
	n := &Node{options: options, term: restored.HardState.Term, vote: restored.HardState.Vote}
	if s := restored.Snapshot; s != nil && s.Term > n.term {
		n.term, n.vote = s.Term, ""
	}
	if s := restored.Snapshot; s != nil {
		n.snapshot = s
		n.log.reset(s.Index, s.Term)
		n.configs.base = s.Config
		n.commit, n.delivered = s.Index, s.Index
	}
	tail := slices.DeleteFunc(slices.Clone(restored.Entries), func(e Entry) bool { return e.Index <= n.log.prefixIndex })
	if len(tail) > 0 {
		n.log.append(tail)
		n.configs.append(tail)
	}
	n.stable = n.log.lastIndex()
	n.keptCommit = max(n.commit, restored.HardState.Commit)
	n.commit = max(n.commit, min(n.keptCommit, n.stable))
	n.restarted = restored.HardState.Term > 0
	n.becomeFollower(n.term, "")
	return n
}

// Founding returns the state with which the first member founds a log.
func Founding(config Config, data []byte) Snapshot {
	return Snapshot{Index: 1, Term: 1, Config: config, Data: data}
}

// Config is the configuration in effect.
func (n *Node) Config() Config { return n.configs.current() }

// Tick advances the node's logical time by one.
func (n *Node) Tick() {
	n.tick++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.elapsed++
	switch {
	case n.elapsed < n.timeout:
	case n.Config().Voter(n.options.ID):
		n.elapsed = 0
		if !n.diskHangs() {
			n.startElection()
		}
	default:
		// Callers must not be sent on to a leader that has gone silent.
		n.leader = ""
	}
}

func (n *Node) tickLeader() {
	// A leader on the small side of a partition would otherwise go on for as
	// long as the partition lasts, and its callers would wait for commits that
	// cannot come.
	// One whose disk hangs would apply nothing, and its callers would wait too.
	if config := n.Config(); n.reachableVoters(config) < config.Quorum() || n.diskHangs() {
		n.becomeFollower(n.term, "")
		return
	}
	n.tickTransfer()
	n.heartbeat++
	if n.heartbeat >= n.options.HeartbeatTicks {
		n.heartbeat = 0
		n.sendHeartbeats()
	}
}

// diskHangs reports whether a sync takes far longer than a disk should.
func (n *Node) diskHangs() bool {
	limit := uint64(hangTimeouts * n.options.ElectionTicks)
	return len(n.unsynced) > 0 && n.tick-n.unsynced[0].tick > limit
}

// reachableVoters counts the voters that answered within an election timeout.
func (n *Node) reachableVoters(config Config) int {
	reachable := 0
	for _, m := range config.Voters {
		if m.ID == n.options.ID || n.reachable(m.ID) {
			reachable++
		}
	}
	return reachable
}

func (n *Node) reachable(id ID) bool {
	p := n.progress[id]
	return p != nil && n.tick-p.contactTick <= uint64(n.options.ElectionTicks)
}

// Step takes a message into account.
func (n *Node) Step(m Message) {
	if m.To != n.options.ID {
		return
	}
	if m.Term > n.term && !n.enterTerm(m) {
		return
	}
	if m.Term < n.term {
		n.answerStale(m)
		return
	}
	n.dispatch(m)
}

// enterTerm moves to a later term and reports whether the message counts.
func (n *Node) enterTerm(m Message) bool {
	switch m.Kind {
	case KindPreVote, KindVote:
		// A member that cannot hear the leader must not depose one that the
		// others do hear.
		if n.hearsLeader() && !n.transferCounts(m) {
			return false
		}
	}
	switch {
	case m.Kind == KindPreVote, m.Kind == KindPreVoteReply && !m.Reject:
		// A pre-vote is a question about a term that nobody has entered.
	case m.Kind == KindAppend, m.Kind == KindHeartbeat, m.Kind == KindSnapshot:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, "")
	}
	return true
}

// transferCounts reports whether a vote comes from a transfer that its leader
// may still be waiting for. One that was under way for an election timeout must
// not depose a leader that has given it up and relies on its lease again.
func (n *Node) transferCounts(m Message) bool {
	quiet := n.restarted && n.tick < uint64(n.options.ElectionTicks)
	return m.Transfer && !quiet && n.heardTick < m.Sent+uint64(n.options.ElectionTicks)
}

// hearsLeader reports whether another member may still count on this one to
// refuse votes. A restarted member has forgotten whom it heard last, so it
// waits for an election timeout.
func (n *Node) hearsLeader() bool {
	if n.restarted && n.tick < uint64(n.options.ElectionTicks) {
		return true
	}
	return n.leader != "" && n.elapsed < n.options.ElectionTicks
}

// answerStale tells the sender of an earlier term about the present one. A
// deposed leader would otherwise never hear from a member that is ahead of it.
func (n *Node) answerStale(m Message) {
	switch m.Kind {
	case KindAppend, KindHeartbeat, KindSnapshot:
		n.sendAfterSync(Message{Kind: KindAppendReply, To: m.From, Reject: true})
	case KindPreVote:
		n.sendAfterSync(Message{Kind: KindPreVoteReply, To: m.From, Reject: true})
	}
}

func (n *Node) dispatch(m Message) {
	switch m.Kind {
	case KindPreVote, KindVote:
		n.answerVote(m)
	case KindPreVoteReply, KindVoteReply:
		n.takeVote(m)
	case KindAppend, KindHeartbeat, KindSnapshot:
		n.stepFollower(m)
	case KindAppendReply, KindHeartbeatReply:
		n.stepLeader(m)
	case KindTimeoutNow:
		if n.Config().Voter(n.options.ID) {
			n.campaign(&m)
		}
	}
}

func (n *Node) send(m Message) {
	n.address(&m)
	n.ready.Messages = append(n.ready.Messages, m)
}

func (n *Node) sendAfterSync(m Message) {
	n.address(&m)
	n.ready.AfterSync = append(n.ready.AfterSync, m)
}

func (n *Node) address(m *Message) {
	m.From = n.options.ID
	if m.Term == 0 {
		m.Term = n.term
	}
}

// Ready returns the work since the last call, false when there is none.
func (n *Node) Ready() (Ready, bool) {
	if n.role == Leader {
		n.sendBatched()
	}
	n.deliver()
	r := n.ready
	if n.options.KeepCommit && n.delivered > n.keptCommit {
		n.keptCommit, n.hardDirty = n.delivered, true
	}
	if n.hardDirty {
		r.HardState = &HardState{Term: n.term, Vote: n.vote, Commit: n.keptCommit}
	}
	if !r.NeedsSync() && len(r.Messages)+len(r.AfterSync)+len(r.Committed)+len(r.Reads)+len(r.FailedReads) == 0 {
		return Ready{}, false
	}
	n.sequence++
	r.Sequence = n.sequence
	if r.NeedsSync() {
		n.unsynced = append(n.unsynced, pendingSync{
			sequence:  n.sequence,
			tick:      n.tick,
			term:      n.term,
			vote:      n.vote,
			lastIndex: n.log.lastIndex(),
			lastTerm:  n.log.lastTerm(),
		})
	}
	n.ready, n.hardDirty = Ready{}, false
	return r, true
}

// sendBatched sends what several proposals and reads have in common.
func (n *Node) sendBatched() {
	if n.broadcast {
		n.broadcast = false
		n.sendAppends()
	}
	if n.reads.unsent {
		n.sendHeartbeats()
	}
}

// deliver hands out entries that are committed and synced here.
func (n *Node) deliver() {
	last := min(n.commit, n.stable)
	if last <= n.delivered {
		return
	}
	n.ready.Committed = append(n.ready.Committed, n.log.slice(n.delivered+1, last)...)
	n.delivered = last
}

// Synced reports that every Ready up to a sequence is on disk.
func (n *Node) Synced(sequence uint64) {
	for len(n.unsynced) > 0 && n.unsynced[0].sequence <= sequence {
		n.takeSync(n.unsynced[0])
		n.unsynced = n.unsynced[1:]
	}
}

func (n *Node) takeSync(s pendingSync) {
	if n.log.matches(s.lastIndex, s.lastTerm) {
		n.stable = max(n.stable, s.lastIndex)
	}
	if s.term != n.term {
		return
	}
	switch {
	case n.role == Candidate && s.vote == n.options.ID:
		n.countVote(n.options.ID, true)
	case n.role == Leader:
		if p := n.progress[n.options.ID]; p != nil && p.acknowledge(s.lastIndex) {
			n.advanceCommit()
		}
	}
}

// appendEntries adds entries to the log and to what must be persisted.
func (n *Node) appendEntries(entries []Entry) {
	first := entries[0].Index
	if first <= n.commit {
		panic("an append would replace a committed entry")
	}
	n.log.append(entries)
	n.configs.truncate(first)
	n.configs.append(entries)
	n.stable = min(n.stable, first-1)
	n.ready.Entries = slices.DeleteFunc(n.ready.Entries, func(e Entry) bool { return e.Index >= first })
	n.ready.Entries = append(n.ready.Entries, entries...)
}

// Compact drops the entries before a snapshot of the applied state, but for
// the trailing ones. The owner persists the snapshot first.
func (n *Node) Compact(index uint64, data []byte) Snapshot {
	if index > n.delivered {
		panic("a snapshot is ahead of what was handed out to be applied")
	}
	term, ok := n.log.term(index)
	if !ok {
		return *n.snapshot
	}
	s := n.SnapshotAt(index, term, data)
	n.snapshot = &s
	if trailing := uint64(n.options.TrailingEntries); index > trailing {
		n.configs.compact(index - trailing)
		n.log.compact(index - trailing)
	}
	return s
}

// SnapshotAt describes a snapshot at an entry that is still in the log.
func (n *Node) SnapshotAt(index, term uint64, data []byte) Snapshot {
	return Snapshot{Index: index, Term: term, Config: n.configs.at(index), Data: data}
}
