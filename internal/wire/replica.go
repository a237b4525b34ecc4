package wire

import "github.com/rosemarypass/rosemarypass/coord/replog"

// Methods of the JSON-RPC interface between control instances.
const (
	// MethodReplicaMessages delivers an Envelope.
	MethodReplicaMessages = "replica.messages"
	// MethodReplicaSnapshot delivers a SnapshotPart.
	MethodReplicaSnapshot = "replica.snapshot"
	// MethodReplicaHello exchanges Hello messages.
	MethodReplicaHello = "replica.hello"
	// MethodReplicaPropose asks the leader to commit a command.
	MethodReplicaPropose = "replica.propose"
	// MethodReplicaRead asks the leader for a read index.
	MethodReplicaRead = "replica.readIndex"
	// MethodReplicaMembers returns an instance's MemberList.
	MethodReplicaMembers = "replica.members"
	// MethodReplicaChange asks the leader to make a MemberChange.
	MethodReplicaChange = "replica.change"
)

// Envelope carries messages of the replicated log to one control instance.
type Envelope struct {
	// Cluster is empty while the sender does not belong to a cluster.
	Cluster string `json:"cluster,omitempty"`
	// Address is the sender's address.
	Address  string           `json:"address"`
	Messages []replog.Message `json:"messages"`
}

// SnapshotPart carries a part of a snapshot that is too large for one frame.
// Parts are sent in order; the last one completes the message.
type SnapshotPart struct {
	Cluster string `json:"cluster,omitempty"`
	Address string `json:"address"`
	// Message is the snapshot message without the snapshot's data.
	Message replog.Message `json:"message"`
	// Offset is the position of Data in the snapshot and Total the size of the
	// whole snapshot, in bytes.
	Offset int    `json:"offset"`
	Total  int    `json:"total"`
	Data   []byte `json:"data"`
}

// Empty is the answer to messages that need no data in return.
type Empty struct{}

// Hello introduces a control instance.
type Hello struct {
	ID      replog.ID `json:"id"`
	Address string    `json:"address"`
	// Cluster is empty while the instance does not belong to a cluster.
	Cluster string `json:"cluster,omitempty"`
	// Bootstrap is true if the instance may bootstrap a new log.
	Bootstrap bool `json:"bootstrap,omitempty"`
}

// ReplicaCode is the outcome of a forwarded call.
type ReplicaCode string

// Outcomes of forwarded calls.
const (
	ReplicaOK ReplicaCode = "ok"
	// ReplicaNotCommitted means that nothing was or will be committed.
	ReplicaNotCommitted ReplicaCode = "not-committed"
	// ReplicaUnknown means that the command may still be committed.
	ReplicaUnknown ReplicaCode = "unknown"
	// ReplicaRefused means that a membership rule forbids the change.
	ReplicaRefused ReplicaCode = "refused"
)

// Propose requests that a command be committed.
type Propose struct {
	Data []byte `json:"data"`
}

// ProposeReply answers Propose.
type ProposeReply struct {
	Code    ReplicaCode `json:"code"`
	Message string      `json:"message,omitempty"`
	// Index is the command's index in the log and Result the state machine's
	// result. Both are valid only if Code says that the command was applied.
	Index  uint64 `json:"index,omitempty"`
	Result []byte `json:"result,omitempty"`
}

// ReadReply answers MethodReplicaRead.
type ReadReply struct {
	Code    ReplicaCode `json:"code"`
	Message string      `json:"message,omitempty"`
	// Index is the index that must be applied before a read is linearizable.
	Index uint64 `json:"index,omitempty"`
}

// MemberAction is a kind of membership change.
type MemberAction string

// Kinds of membership changes.
const (
	MemberAdd      MemberAction = "add"
	MemberPromote  MemberAction = "promote"
	MemberRemove   MemberAction = "remove"
	MemberTransfer MemberAction = "transfer"
)

// MemberChange requests a change of the membership.
type MemberChange struct {
	Action MemberAction `json:"action"`
	// Member is a member's ID, or the name of an instance if it is unique among the
	// members.
	Member string `json:"member"`
}

// MemberChangeReply answers MemberChange.
type MemberChangeReply struct {
	Code    ReplicaCode `json:"code"`
	Message string      `json:"message,omitempty"`
}

// MemberRole is the role of a control instance in the log's membership.
type MemberRole string

// Roles of members.
const (
	RoleLeader  MemberRole = "leader"
	RoleVoter   MemberRole = "voter"
	RoleLearner MemberRole = "learner"
	// RoleWaiting is an instance that has asked to join and has not been added yet.
	RoleWaiting MemberRole = "waiting"
)

// Member is one entry of the MemberList.
type Member struct {
	ID      replog.ID  `json:"id"`
	Address string     `json:"address"`
	Role    MemberRole `json:"role"`
	// Match is the last index that the member has synced, Lag the number of entries
	// that it lacks.
	Match uint64 `json:"match"`
	Lag   uint64 `json:"lag"`
	// ContactMillis is the time since the member last answered, or -1 if it never
	// has.
	ContactMillis int64 `json:"contactMillis"`
	// CaughtUp is true if the member answers and has synced all committed entries.
	CaughtUp bool `json:"caughtUp"`
}

// MemberList is the leader's view of the membership.
type MemberList struct {
	Cluster string `json:"cluster"`
	// Leader is empty if no leader is known to the answering instance. The list is then
	// the instance's own view, and the state of the other members is unknown.
	Leader  replog.ID `json:"leader,omitempty"`
	Term    uint64    `json:"term"`
	Commit  uint64    `json:"commit"`
	Quorum  int       `json:"quorum"`
	Voters  int       `json:"voters"`
	Members []Member  `json:"members"`
	// Survivable is the number of further voters whose loss can be tolerated now,
	// counting only voters that answer and have synced all committed entries.
	Survivable int `json:"survivable"`
	// Failure is the reason why the answering instance has stepped out of the log,
	// or empty if it has not.
	Failure string `json:"failure,omitempty"`
}
