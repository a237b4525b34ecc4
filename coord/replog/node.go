package replog

import "slices"

// Node is one member of the replicated log. It is not safe for concurrent use.
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
	// stable is the last index synced to the local disk; delivered is the last
	// index handed out to be applied.
	stable    uint64
	delivered uint64
	// hardCommit is the commit index in the last hard state.
	hardCommit uint64

	tick              uint64
	electionElapsed   int
	heartbeatElapsed  int
	electionTimeout   int
	votes             map[ID]bool
	progress          map[ID]*progress
	appendsPending    bool
	uncommittedBytes  int
	commitAtHeartbeat uint64
	transferee        ID
	transferTicks     int
	// transferTick is the tick at which this node, as leader of the current term,
	// last requested a leadership transfer, 0 if it has not.
	transferTick uint64
	// leaderTick is the highest tick received in a heartbeat of the current
	// term's leader.
	leaderTick uint64
	restarted  bool
	reads      readQueue

	sequence       uint64
	unsynced       []pendingSync
	ready          Ready
	hardStateDirty bool
}

// pendingSync is the persistent state that is on disk once a Ready is synced.
type pendingSync struct {
	sequence  uint64
	tick      uint64
	term      uint64
	vote      ID
	lastIndex uint64
	lastTerm  uint64
}

// New returns a node in the follower role with the restored state.
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
	n.hardCommit = max(n.commit, restored.HardState.Commit)
	n.commit = max(n.commit, min(n.hardCommit, n.stable))
	n.restarted = restored.HardState.Term > 0
	n.becomeFollower(n.term, "")
	return n
}

// InitialSnapshot returns the snapshot with which the first member creates a log.
func InitialSnapshot(config Config, data []byte) Snapshot {
	return Snapshot{Index: 1, Term: 1, Config: config, Data: data}
}

// Config returns the configuration in effect.
func (n *Node) Config() Config { return n.configs.current() }

// Tick advances the node's logical time by one.
func (n *Node) Tick() {
	n.tick++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.electionElapsed++
	switch {
	case n.electionElapsed < n.electionTimeout:
	case n.Config().Voter(n.options.ID):
		n.electionElapsed = 0
		if !n.diskStalled() {
			n.startElection()
		}
	default:
		// Callers must not be redirected to a leader that no longer sends
		// heartbeats.
		n.leader = ""
	}
}

func (n *Node) tickLeader() {
	// A leader on the minority side of a partition would otherwise remain leader
	// as long as the partition lasts, and its callers would wait for commits that
	// cannot happen. A leader with a stalled disk applies no entries, so its callers
	// would wait as well.
	if config := n.Config(); n.reachableVoters(config) < config.Quorum() || n.diskStalled() {
		n.becomeFollower(n.term, "")
		return
	}
	n.tickTransfer()
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.options.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.sendHeartbeats()
	}
}

// diskStalled reports whether the oldest pending sync has taken longer than
// stallTimeouts election timeouts.
func (n *Node) diskStalled() bool {
	limit := uint64(stallTimeouts * n.options.ElectionTicks)
	return len(n.unsynced) > 0 && n.tick-n.unsynced[0].tick > limit
}

// reachableVoters returns the number of voters, including this node, that
// answered within an election timeout.
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

// Step processes a message from another member.
func (n *Node) Step(m Message) {
	if m.To != n.options.ID {
		return
	}
	if m.Term > n.term && !n.enterTerm(m) {
		return
	}
	if m.Term < n.term {
		n.rejectStale(m)
		return
	}
	n.dispatch(m)
}

// enterTerm handles a message of a later term, moves to that term where the
// message calls for it, and reports whether to process the message further.
func (n *Node) enterTerm(m Message) bool {
	switch m.Kind {
	case KindPreVote, KindVote:
		// A member that receives no heartbeats must not depose a leader that the
		// others still receive heartbeats from.
		if n.inLease() && !n.transferValid(m) {
			return false
		}
	}
	switch {
	case m.Kind == KindPreVote, m.Kind == KindPreVoteReply && !m.Reject:
		// A pre-vote concerns a term that no member has entered yet.
	case m.Kind == KindAppend, m.Kind == KindHeartbeat, m.Kind == KindSnapshot:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, "")
	}
	return true
}

// transferValid reports whether a vote request results from a leadership
// transfer that the leader may still be waiting for. A request delayed by an
// election timeout must not depose a leader that has abandoned the transfer and
// relies on its lease again.
func (n *Node) transferValid(m Message) bool {
	justRestarted := n.restarted && n.tick < uint64(n.options.ElectionTicks)
	return m.Transfer && !justRestarted && n.leaderTick < m.Sent+uint64(n.options.ElectionTicks)
}

// inLease reports whether a leader may still rely on this member to refuse
// votes. A restarted member does not know when it last received a heartbeat, so
// it refuses votes for one election timeout.
func (n *Node) inLease() bool {
	if n.restarted && n.tick < uint64(n.options.ElectionTicks) {
		return true
	}
	return n.leader != "" && n.electionElapsed < n.options.ElectionTicks
}

// rejectStale informs the sender of a message of an earlier term of the current
// term. A deposed leader would otherwise never learn that a member is ahead of it.
func (n *Node) rejectStale(m Message) {
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
		n.handleVote(m)
	case KindPreVoteReply, KindVoteReply:
		n.handleVoteReply(m)
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
	n.setHeader(&m)
	n.ready.Messages = append(n.ready.Messages, m)
}

func (n *Node) sendAfterSync(m Message) {
	n.setHeader(&m)
	n.ready.AfterSync = append(n.ready.AfterSync, m)
}

func (n *Node) setHeader(m *Message) {
	m.From = n.options.ID
	if m.Term == 0 {
		m.Term = n.term
	}
}

// Ready returns the work accumulated since the last call, or false if there is
// none.
func (n *Node) Ready() (Ready, bool) {
	if n.role == Leader {
		n.sendBatched()
	}
	n.deliver()
	r := n.ready
	if n.options.PersistCommit && n.delivered > n.hardCommit {
		n.hardCommit, n.hardStateDirty = n.delivered, true
	}
	if n.hardStateDirty {
		r.HardState = &HardState{Term: n.term, Vote: n.vote, Commit: n.hardCommit}
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
	n.ready, n.hardStateDirty = Ready{}, false
	return r, true
}

// sendBatched sends the appends and heartbeats shared by all proposals and reads
// since the last Ready.
func (n *Node) sendBatched() {
	if n.appendsPending {
		n.appendsPending = false
		n.sendAppends()
	}
	if n.reads.unsent {
		n.sendHeartbeats()
	}
}

// deliver adds the entries that are committed and synced locally to the Ready.
func (n *Node) deliver() {
	last := min(n.commit, n.stable)
	if last <= n.delivered {
		return
	}
	n.ready.Committed = append(n.ready.Committed, n.log.slice(n.delivered+1, last)...)
	n.delivered = last
}

// Synced tells the node that every Ready up to and including sequence is on disk.
func (n *Node) Synced(sequence uint64) {
	for len(n.unsynced) > 0 && n.unsynced[0].sequence <= sequence {
		n.handleSynced(n.unsynced[0])
		n.unsynced = n.unsynced[1:]
	}
}

func (n *Node) handleSynced(s pendingSync) {
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

// appendEntries appends entries to the log and to the entries to persist.
func (n *Node) appendEntries(entries []Entry) {
	first := entries[0].Index
	if first <= n.commit {
		panic("append would overwrite a committed entry")
	}
	n.log.append(entries)
	n.configs.truncate(first)
	n.configs.append(entries)
	n.stable = min(n.stable, first-1)
	n.ready.Entries = slices.DeleteFunc(n.ready.Entries, func(e Entry) bool { return e.Index >= first })
	n.ready.Entries = append(n.ready.Entries, entries...)
}

// Compact drops the entries before a snapshot of the applied state, except for
// Options.TrailingEntries. The caller must persist the returned snapshot before
// it drops entries on disk.
func (n *Node) Compact(index uint64, data []byte) Snapshot {
	if index > n.delivered {
		panic("snapshot index is beyond the last entry handed out to be applied")
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

// SnapshotAt returns a snapshot at an entry that is still in the log.
func (n *Node) SnapshotAt(index, term uint64, data []byte) Snapshot {
	return Snapshot{Index: index, Term: term, Config: n.configs.at(index), Data: data}
}
