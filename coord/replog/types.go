// Package replog implements the core of a replicated log: a pure state machine
// based on Raft.
//
// Messages, ticks and proposals go in; Ready values come out. The package has
// no clock, goroutine, socket, file or global random source. The caller
// persists the state in a Ready, sends its messages, applies its committed
// entries and reports completed syncs with Synced. Elections use pre-vote, a leader
// steps down when it loses its quorum, reads are confirmed by a quorum, and
// membership changes one member at a time.
package replog

import (
	"cmp"
	"math/rand/v2"

	"github.com/pkg/errors"
)

// ID identifies a member: its name and the random incarnation created with its
// data folder. If the folder is lost, the ID is lost with it, so that an
// instance that lost its vote can never vote again under the same ID.
type ID string

// Member is one member of the log.
type Member struct {
	ID ID `json:"id"`
	// Address is the address to which other members send messages.
	Address string `json:"address"`
}

// Entry is one record of the log. A leader starts its term with an entry that
// has neither data nor a configuration.
type Entry struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	// Config is set for a membership change. It takes effect once appended.
	Config *Config `json:"config,omitempty"`
	// Data is a command for the state machine.
	Data []byte `json:"data,omitempty"`
}

// HardState is the state that must be synced before any message that depends on
// it is sent.
type HardState struct {
	Term uint64 `json:"term"`
	Vote ID     `json:"vote,omitempty"`
	// Commit is the index of the last entry known to be committed and synced
	// locally; 0 if Options.PersistCommit is not set.
	Commit uint64 `json:"commit,omitempty"`
}

// Snapshot is the state machine's state after the entry at Index.
type Snapshot struct {
	Index  uint64 `json:"index"`
	Term   uint64 `json:"term"`
	Config Config `json:"config"`
	Data   []byte `json:"data,omitempty"`
}

// Restored is the persistent state that a restarted member read from its disk.
type Restored struct {
	HardState HardState
	Snapshot  *Snapshot
	// Entries are contiguous and may start at or before the snapshot.
	Entries []Entry
}

// Kind is the type of a message.
type Kind uint8

// The types of messages.
const (
	KindPreVote Kind = iota + 1
	KindPreVoteReply
	KindVote
	KindVoteReply
	KindAppend
	KindAppendReply
	KindHeartbeat
	KindHeartbeatReply
	KindSnapshot
	KindTimeoutNow
)

// Message is sent from one member to another.
type Message struct {
	Kind Kind   `json:"kind"`
	From ID     `json:"from"`
	To   ID     `json:"to"`
	Term uint64 `json:"term"`
	// Index and LogTerm identify the entry before Entries or, in a vote request,
	// the sender's last entry. In a reply, Index is the acknowledged index.
	Index   uint64  `json:"index,omitempty"`
	LogTerm uint64  `json:"logTerm,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// HintIndex and HintTerm indicate to the leader where the member's log may match
	// after a rejected append.
	HintIndex uint64    `json:"hintIndex,omitempty"`
	HintTerm  uint64    `json:"hintTerm,omitempty"`
	Snapshot  *Snapshot `json:"snapshot,omitempty"`
	// Read is the read round that a heartbeat confirms.
	Read uint64 `json:"read,omitempty"`
	// Sent is the leader's tick when it sent a heartbeat, echoed in the reply, or
	// when it requested the transfer that caused a vote request.
	Sent uint64 `json:"sent,omitempty"`
	// Transfer marks a vote request that results from a leadership transfer.
	Transfer bool `json:"transfer,omitempty"`
}

// Ready is the work that the caller must do.
type Ready struct {
	// Sequence is passed to Synced once the Ready is synced.
	Sequence uint64
	// HardState is nil if unchanged.
	HardState *HardState
	// Snapshot replaces the log up to its index and the state machine's state.
	Snapshot *Snapshot
	// Entries are appended to the log after dropping all entries at and after the
	// index of the first one.
	Entries []Entry
	// Messages can be sent immediately.
	Messages []Message
	// AfterSync holds messages to send only once this Ready and all earlier ones
	// are synced.
	AfterSync []Message
	// Committed holds entries to apply in order.
	Committed []Entry
	// Reads holds the reads confirmed by a quorum.
	Reads []Read
	// FailedReads holds the IDs of reads that failed because the node lost its
	// leadership.
	FailedReads []uint64
}

// NeedsSync reports whether the Ready contains state to persist.
func (r Ready) NeedsSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Read is the result of ReadIndex: a read of the state machine is linearizable
// once it has applied Index.
type Read struct {
	ID    uint64
	Index uint64
}

// Role is the role of a node in the current term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Errors returned by proposals, reads and membership changes. Each of them means
// that nothing was appended to the log.
var (
	ErrNotLeader           = errors.New("not the leader")
	ErrTransferring        = errors.New("leadership is being transferred")
	ErrBusy                = errors.New("too many bytes wait to be committed")
	ErrChangePending       = errors.New("another membership change is not committed yet")
	ErrUnknownMember       = errors.New("no such member")
	ErrAlreadyMember       = errors.New("already a member")
	ErrNotCaughtUp         = errors.New("the learner has not caught up yet")
	ErrWouldLoseQuorum     = errors.New("too few of the voters that would remain are reachable")
	ErrWouldLoseRedundancy = errors.New("the voter is healthy and no further loss would be survivable without it")
	ErrRemovesLeader       = errors.New("the leader cannot be removed: transfer its leadership first")
	ErrNotVoter            = errors.New("the member is not a voter")
)

// Options configure a node.
type Options struct {
	// ID is the ID of the node.
	ID ID
	// ElectionTicks is the minimum election timeout in ticks; the actual timeout
	// is chosen at random between it and twice its value.
	ElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats in ticks.
	HeartbeatTicks int
	// MaxAppendBytes limits the size of an append message, unless it consists of
	// a single larger entry.
	MaxAppendBytes int
	// MaxInflight limits the number of unacknowledged append messages to a member.
	MaxInflight int
	// MaxUncommittedBytes limits the uncommitted proposals of a leader; further
	// ones are refused with ErrBusy.
	MaxUncommittedBytes int
	// TrailingEntries is the number of entries before a snapshot that stay in
	// memory for lagging members.
	TrailingEntries int
	// PersistCommit adds the index of the last delivered entry to the hard state of
	// each Ready with committed entries. A caller that applies entries only once
	// that Ready is synced resumes after a restart, without a leader, with all
	// entries that it had applied.
	PersistCommit bool
	// BroadcastCommit makes the leader announce each commit immediately instead of
	// with its next heartbeat: a member that loses power before it learns of a
	// commit restarts without it.
	BroadcastCommit bool
	// Random is the random source for election timeouts.
	Random *rand.Rand

	// faults holds injected faults, which only this package's tests set.
	faults faults
}

// faults disable one protocol rule each, to show that the tests detect it.
type faults struct {
	commitOldTerm     bool
	noPreVote         bool
	concurrentChanges bool
	unconfirmedRead   bool
	removeLeader      bool
}

const (
	defaultElectionTicks       = 10
	defaultHeartbeatTicks      = 2
	defaultMaxAppendBytes      = 256 << 10
	defaultMaxInflight         = 16
	defaultMaxUncommittedBytes = 16 << 20
	defaultTrailingEntries     = 1024
	// stallTimeouts is the number of election timeouts that a sync may take before
	// a leader steps down.
	stallTimeouts = 4
)

func (o *Options) setDefaults() {
	o.ElectionTicks = cmp.Or(o.ElectionTicks, defaultElectionTicks)
	o.HeartbeatTicks = cmp.Or(o.HeartbeatTicks, defaultHeartbeatTicks)
	o.MaxAppendBytes = cmp.Or(o.MaxAppendBytes, defaultMaxAppendBytes)
	o.MaxInflight = cmp.Or(o.MaxInflight, defaultMaxInflight)
	o.MaxUncommittedBytes = cmp.Or(o.MaxUncommittedBytes, defaultMaxUncommittedBytes)
	o.TrailingEntries = cmp.Or(o.TrailingEntries, defaultTrailingEntries)
}
