package wire

import "github.com/rosemarypass/rosemarypass/coord/replog"

// Methods of the JSON-RPC interface between control instances.
const (
	// MethodReplicaMessages carries Envelopes.
	MethodReplicaMessages = "replica.messages"
	// MethodReplicaSnapshot carries SnapshotParts.
	MethodReplicaSnapshot = "replica.snapshot"
	// MethodReplicaHello exchanges Hellos.
	MethodReplicaHello = "replica.hello"
	// MethodReplicaPropose asks the leader to commit a command.
	MethodReplicaPropose = "replica.propose"
	// MethodReplicaRead asks the leader for a read index.
	MethodReplicaRead = "replica.readIndex"
	// MethodReplicaMembers asks the leader for the MemberList.
	MethodReplicaMembers = "replica.members"
	// MethodReplicaChange asks the leader for a MemberChange.
	MethodReplicaChange = "replica.change"
)

// Envelope carries messages of the replicated log to one control instance.
type Envelope struct {
	// Cluster is empty while the sender belongs to none.
	Cluster string `json:"cluster,omitempty"`
	// Address is the sender's.
	Address  string           `json:"address"`
	Messages []replog.Message `json:"messages"`
}

// SnapshotPart carries a part of a snapshot that is too large for one frame.
// Parts come in order; the last one completes the message.
type SnapshotPart struct {
	Cluster string `json:"cluster,omitempty"`
	Address string `json:"address"`
	// Message is the snapshot message without the snapshot's data.
	Message replog.Message `json:"message"`
	// Offset is where Data belongs, Total the size of the whole, in bytes.
	Offset int    `json:"offset"`
	Total  int    `json:"total"`
	Data   []byte `json:"data"`
}

// Empty is the answer to messages that need none.
type Empty struct{}

// Hello introduces a control instance.
type Hello struct {
	ID      replog.ID `json:"id"`
	Address string    `json:"address"`
	// Cluster is empty while the instance belongs to none.
	Cluster string `json:"cluster,omitempty"`
	// Bootstrap is true when the instance may found a log.
	Bootstrap bool `json:"bootstrap,omitempty"`
}

// ReplicaCode classifies how a forwarded call ended.
type ReplicaCode string

// The codes of forwarded calls.
const (
	ReplicaOK ReplicaCode = "ok"
	// ReplicaNotCommitted means that nothing was, or will be, committed.
	ReplicaNotCommitted ReplicaCode = "not-committed"
	// ReplicaUnknown means that the command may still be committed.
	ReplicaUnknown ReplicaCode = "unknown"
	// ReplicaRefused means that a rule of the membership forbids a change.
	ReplicaRefused ReplicaCode = "refused"
)

// Propose asks for a command to be committed.
type Propose struct {
	Data []byte `json:"data"`
}

// ProposeReply answers Propose.
type ProposeReply struct {
	Code    ReplicaCode `json:"code"`
	Message string      `json:"message,omitempty"`
	// Index is that of the command in the log, Result what the state machine
	// answered; both count only when Code says that it was applied.
	Index  uint64 `json:"index,omitempty"`
	Result []byte `json:"result,omitempty"`
}

// ReadReply answers MethodReplicaRead.
type ReadReply struct {
	Code    ReplicaCode `json:"code"`
	Message string      `json:"message,omitempty"`
	// Index must be applied before a read is linearizable.
	Index uint64 `json:"index,omitempty"`
}

// MemberAction is a change of the membership.
type MemberAction string

// The changes of the membership.
const (
	MemberAdd      MemberAction = "add"
	MemberPromote  MemberAction = "promote"
	MemberRemove   MemberAction = "remove"
	MemberTransfer MemberAction = "transfer"
)

// MemberChange asks for a change of the membership.
type MemberChange struct {
	Action MemberAction `json:"action"`
	// Member is an ID, or the name of an instance if only one member has it.
	Member string `json:"member"`
}

// MemberChangeReply answers MemberChange.
type MemberChangeReply struct {
	Code    ReplicaCode `json:"code"`
	Message string      `json:"message,omitempty"`
}

// MemberRole is what a control instance is to the log.
type MemberRole string

// The roles of members.
const (
	RoleLeader  MemberRole = "leader"
	RoleVoter   MemberRole = "voter"
	RoleLearner MemberRole = "learner"
	// RoleWaiting is an instance that asked to join and was not added yet.
	RoleWaiting MemberRole = "waiting"
)

// Member is one line of the MemberList.
type Member struct {
	ID      replog.ID  `json:"id"`
	Address string     `json:"address"`
	Role    MemberRole `json:"role"`
	// Match is the last index that is synced there, Lag the number of entries
	// that are missing.
	Match uint64 `json:"match"`
	Lag   uint64 `json:"lag"`
	// ContactMillis is the time since it last answered, -1 when it never did.
	ContactMillis int64 `json:"contactMillis"`
	// CaughtUp is true when it answers and has synced what is committed.
	CaughtUp bool `json:"caughtUp"`
}

// MemberList is the leader's view of the membership.
type MemberList struct {
	Cluster string `json:"cluster"`
	// Leader is empty when the answering instance knows none; then the list
	// is its own view, and nothing is known of the other members' state.
	Leader  replog.ID `json:"leader,omitempty"`
	Term    uint64    `json:"term"`
	Commit  uint64    `json:"commit"`
	Quorum  int       `json:"quorum"`
	Voters  int       `json:"voters"`
	Members []Member  `json:"members"`
	// Survivable is how many further voters may be lost now, counting only
	// voters that answer and have synced what is committed.
	Survivable int `json:"survivable"`
	// Failure is why the answering instance has stepped out, if it has.
	Failure string `json:"failure,omitempty"`
}
