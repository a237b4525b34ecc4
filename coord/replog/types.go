// Package replog is the core of a replicated log: a pure state machine in the
// manner of Raft.
//
// Messages, ticks and proposals go in; Ready values come out. The package has
// no clock, goroutine, socket, file or global random source. Its owner
// persists what a Ready names, sends its messages, applies its committed
// entries and reports syncs back with Synced. Elections use pre-vote, a leader
// steps down when it loses its quorum, reads are confirmed by a quorum, and
// membership changes one member at a time.
package replog

import (
	"cmp"
	"math/rand/v2"

	"github.com/pkg/errors"
)

// ID identifies a member: its name and the random incarnation that was created
// with its data folder. A folder that is lost takes its ID with it, so that an
// instance which forgot its vote can never vote again under the same ID.
type ID string

// Member is one member of the log.
type Member struct {
	ID ID `json:"id"`
	// Address is where the other members send messages.
	Address string `json:"address"`
}

// Entry is one record of the log. An entry with neither data nor a
// configuration is the one with which a leader opens its term.
type Entry struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	// Config is set for a membership change. It is in effect once appended.
	Config *Config `json:"config,omitempty"`
	// Data is a command for the state machine.
	Data []byte `json:"data,omitempty"`
}

// HardState must be synced before any message that depends on it is sent.
type HardState struct {
	Term uint64 `json:"term"`
	Vote ID     `json:"vote,omitempty"`
	// Commit is the last entry known to be committed and synced here; 0 where
	// Options.KeepCommit is not set.
	Commit uint64 `json:"commit,omitempty"`
}

// Snapshot is the state after the entry at Index.
type Snapshot struct {
	Index  uint64 `json:"index"`
	Term   uint64 `json:"term"`
	Config Config `json:"config"`
	Data   []byte `json:"data,omitempty"`
}

// Restored is what a restarted member read back from its disk.
type Restored struct {
	HardState HardState
	Snapshot  *Snapshot
	// Entries are contiguous and may start at or before the snapshot.
	Entries []Entry
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of message.
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

// Message goes from one member to another.
type Message struct {
	Kind Kind   `json:"kind"`
	From ID     `json:"from"`
	To   ID     `json:"to"`
	Term uint64 `json:"term"`
	// Index and LogTerm name the entry before Entries, the sender's last entry
	// in a vote, or the acknowledged index in a reply.
	Index   uint64  `json:"index,omitempty"`
	LogTerm uint64  `json:"logTerm,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// HintIndex and HintTerm tell the leader where a rejecting log may match.
	HintIndex uint64    `json:"hintIndex,omitempty"`
	HintTerm  uint64    `json:"hintTerm,omitempty"`
	Snapshot  *Snapshot `json:"snapshot,omitempty"`
	// Read is the read round that a heartbeat confirms.
	Read uint64 `json:"read,omitempty"`
	// Sent is the leader's tick when it sent a heartbeat, echoed by the reply,
	// or when it asked for the transfer that a vote comes from.
	Sent uint64 `json:"sent,omitempty"`
	// Transfer marks a vote that the leader itself asked for.
	Transfer bool `json:"transfer,omitempty"`
}

// Ready is the work that the owner must do.
type Ready struct {
	// Sequence is reported back by Synced.
	Sequence uint64
	// HardState is nil when unchanged.
	HardState *HardState
	// Snapshot replaces the log up to its index and the state machine's state.
	Snapshot *Snapshot
	// Entries are appended after every entry at and after the first one's
	// index has been dropped.
	Entries []Entry
	// Messages may be sent at once.
	Messages []Message
	// AfterSync may only be sent once this Ready and all earlier ones are synced.
	AfterSync []Message
	// Committed are applied in order.
	Committed []Entry
	// Reads were confirmed by a quorum.
	Reads []Read
	// FailedReads are reads whose leader lost its leadership.
	FailedReads []uint64
}

// NeedsSync reports whether the Ready holds something to persist.
func (r Ready) NeedsSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Read answers ReadIndex: once the state machine has applied Index, a read of
// it is linearizable.
type Read struct {
	ID    uint64
	Index uint64
}

// Role is what a node currently does.
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

// Errors of proposals, reads and changes. All of them mean that nothing was
// appended to the log.
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
	// ID is the node's own.
	ID ID
	// ElectionTicks is the shortest time without a leader before an election;
	// the actual time is drawn between it and its double.
	ElectionTicks int
	// HeartbeatTicks is the time between a leader's heartbeats.
	HeartbeatTicks int
	// MaxAppendBytes bounds one append message, but for a single larger entry.
	MaxAppendBytes int
	// MaxInflight bounds the unacknowledged append messages to one member.
	MaxInflight int
	// MaxUncommittedBytes bounds what a leader takes on before it refuses.
	MaxUncommittedBytes int
	// TrailingEntries stay in memory behind a snapshot, for members that lag.
	TrailingEntries int
	// KeepCommit makes a Ready with committed entries name their end in its hard
	// state. An owner that applies them only once that Ready is synced goes on
	// from all that it had applied when it restarts, without a leader.
	KeepCommit bool
	// TellCommit makes the leader tell of each commit at once, and not with its next
	// heartbeat: until a member hears of it, a loss of power leaves it without.
	TellCommit bool
	// Random draws election timeouts.
	Random *rand.Rand

	// faults are deliberate mistakes that only this package's tests can set.
	faults faults
}

// faults break one rule each, to show that the tests catch it.
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
	// hangTimeouts is how many election timeouts a sync may take before a
	// leader steps down.
	hangTimeouts = 4
)

func (o *Options) setDefaults() {
	o.ElectionTicks = cmp.Or(o.ElectionTicks, defaultElectionTicks)
	o.HeartbeatTicks = cmp.Or(o.HeartbeatTicks, defaultHeartbeatTicks)
	o.MaxAppendBytes = cmp.Or(o.MaxAppendBytes, defaultMaxAppendBytes)
	o.MaxInflight = cmp.Or(o.MaxInflight, defaultMaxInflight)
	o.MaxUncommittedBytes = cmp.Or(o.MaxUncommittedBytes, defaultMaxUncommittedBytes)
	o.TrailingEntries = cmp.Or(o.TrailingEntries, defaultTrailingEntries)
}
