package mesh

import (
	"encoding/json"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/serverrate"
	"github.com/rosemarypass/rosemarypass/coord/streamversion"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
)

// Methods of the JSON-RPC interface between processes.
const (
	methodSync    = "mesh.sync"
	methodPull    = "mesh.pull"
	methodPropose = "mesh.propose"
	methodRead    = "mesh.read"
	methodPermit  = "mesh.permit"
	// methodStanding asks a member of the log for its standing, methodConfirm for a state
	// that includes every change acknowledged before the request.
	methodStanding = "mesh.standing"
	methodConfirm  = "mesh.confirm"
	// methodTellStreams tells a process at which versions streams began, methodAskStream asks it.
	methodTellStreams = "mesh.tellStreams"
	methodAskStream   = "mesh.askStream"
	// methodPersistDeparture makes a process write the departure of a server to its disk.
	methodPersistDeparture = "mesh.persistDeparture"
	// methodPersistVersion makes a process write a software version that serves to its disk.
	methodPersistVersion = "mesh.persistVersion"
)

// Process is the description of one process, as reported by itself.
type Process struct {
	Name string `json:"name"`
	// Address is where other processes call it.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Entry is true for entries; agents are not greeted.
	Entry bool `json:"entry,omitempty"`
	// Disk is true when it can hold the log.
	Disk bool `json:"disk,omitempty"`
	// Member is its identity in a log and Cluster identifies that log, if any.
	Member  string `json:"member,omitempty"`
	Cluster string `json:"cluster,omitempty"`
	// Leads is true for the leader of the log.
	Leads bool `json:"leads,omitempty"`
	// Index is the index of the configuration that it uses.
	Index uint64 `json:"index,omitempty"`
	// Started is its start time in Unix nanoseconds. It distinguishes its incarnations.
	Started int64 `json:"started"`
	// Unpacks is true when it can read packed proposals.
	Unpacks bool `json:"unpacks,omitempty"`
	// OnlyVersions names, by service, the version that was the only one until it heard of a second one.
	OnlyVersions map[string]string `json:"onlyVersions,omitempty"`
	// SilentMillis is the time since it was last heard, as far as the reporting process
	// knows; 0 from the process itself.
	SilentMillis int64 `json:"silentMillis,omitempty"`
}

// listCursor is the position up to which a process has received what one incarnation of
// another process knows of all processes. Each incarnation counts the changes to what it
// knows.
type listCursor struct {
	Incarnation int64  `json:"of,omitempty"`
	Change      uint64 `json:"change,omitempty"`
}

// greeting carries the updates that a peer has not acknowledged.
type greeting struct {
	From Process `json:"from"`
	// Cursor is the position up to which the sender has received the receiver's list.
	Cursor listCursor `json:"heard,omitzero"`
	// Servers are backend servers with new announcements, Beats are heartbeats of servers
	// that have not changed otherwise.
	Servers []roster.Server    `json:"servers,omitempty"`
	Beats   []roster.Heartbeat `json:"beats,omitempty"`
	// Strikes are new strikes against servers that crashed while running a request.
	Strikes []suspicion.Strike `json:"strikes,omitempty"`
	// Answers are new answers to requests that had strikes. Entries that do not know them would take
	// them for strikes in the list above.
	Answers []suspicion.Strike `json:"answers,omitempty"`
	// Doubts are new silences of servers under requests, their ends and trials, in a list of their own
	// for the same reason.
	Doubts []suspicion.Strike `json:"doubts,omitempty"`
	// Versions are the software versions that the sender heard of, if there are new ones: the servers
	// above tell only what they run now.
	Versions []streamversion.SeenVersion `json:"versions,omitempty"`
	// Rates are what is new of the rates that servers name.
	Rates []serverrate.Naming `json:"rates,omitempty"`
	// Uninformed is true when the sender has just started and asks for all strikes, for the software
	// versions that served, and for the rates that servers name.
	Uninformed bool `json:"uninformed,omitempty"`
	// Digest is the digest of the processes that the sender knows.
	Digest uint64 `json:"digest"`
	// Spoke is true when the sender is not a hub, and hears only what the hubs that it
	// greets forward.
	Spoke bool `json:"relies,omitempty"`
}

// greetingReply describes the peer itself and, where the digests differ, the processes
// that it knows: the changes since the sender's cursor, and periodically all.
type greetingReply struct {
	From   Process    `json:"from"`
	Known  []Process  `json:"known,omitempty"`
	Cursor listCursor `json:"heard,omitzero"`
	// Missing are servers of which the peer has received only a heartbeat.
	Missing []string `json:"missing,omitempty"`
	// Strikes are those that the peer holds, with answers and doubts, if the sender asked for them;
	// Informed is true when none from before its own start can be missing.
	Strikes  []suspicion.Strike `json:"strikes,omitempty"`
	Informed bool               `json:"informed,omitempty"`
	// Versions are the software versions that the peer heard of, if the sender asked for them;
	// VersionsComplete is true when none can be missing.
	Versions         []streamversion.SeenVersion `json:"versions,omitempty"`
	VersionsComplete bool                        `json:"versionsComplete,omitempty"`
	// Rates are those that servers name, if the sender asked for them.
	Rates []serverrate.Naming `json:"rates,omitempty"`
}

// pullRequest asks for the configuration if it is newer than the held one.
type pullRequest struct {
	From    Process `json:"from"`
	Index   uint64  `json:"index"`
	Version uint64  `json:"version"`
	// Holds is true when a configuration of that version is held: 0 is a valid version.
	Holds bool `json:"holds,omitempty"`
	// Unpacks is true when the requester can read a packed body.
	Unpacks bool `json:"unpacks,omitempty"`
	// Digest is the digest of the processes in the last answer and Cursor the position up
	// to which that answer listed them; both are zero to request all processes.
	Digest uint64     `json:"digest"`
	Cursor listCursor `json:"heard,omitzero"`
	// WaitMillis is how long to wait for a newer configuration.
	WaitMillis int64 `json:"waitMillis,omitempty"`
}

// pullReply holds the newer state. The body is omitted when the version is the one that
// the requester holds, and in Packed, deflated, when it is large.
type pullReply struct {
	Newer  bool           `json:"newer"`
	State  document.State `json:"state"`
	Packed []byte         `json:"packed,omitempty"`
	Known  []Process      `json:"known,omitempty"`
	// Digest is the digest of the processes that the answering process knows.
	Digest uint64     `json:"digest"`
	Cursor listCursor `json:"heard,omitzero"`
	// Newest is the highest index that it has heard of at any process.
	Newest uint64 `json:"newest"`
}

// streamRecords tells at which versions streams began.
type streamRecords struct {
	Records []streamversion.Record `json:"records"`
}

// streamRequest asks at which version a stream began.
type streamRequest struct {
	Stream streamversion.Stream `json:"stream"`
}

// streamReply holds the record, if the process has one, and the versions that it heard of; Complete
// is true when none can be missing.
type streamReply struct {
	Found    bool                        `json:"found,omitempty"`
	Record   streamversion.Record        `json:"record,omitzero"`
	Versions []streamversion.SeenVersion `json:"versions,omitempty"`
	Complete bool                        `json:"complete,omitempty"`
}

// standingRequest asks a member of the log for its standing.
type standingRequest struct{}

// proposal is a command for the log, packed or not.
type proposal struct {
	Command json.RawMessage `json:"command,omitempty"`
	Packed  []byte          `json:"packed,omitempty"`
}

// permitRequest asks which model an engine without one may load.
type permitRequest struct {
	Service string `json:"service"`
	// OnDisk are the models of which the engine keeps a copy: loading them puts no load
	// on the weight store.
	OnDisk []string `json:"onDisk,omitempty"`
}

// permitReply names the model, or none when the engine must ask again.
type permitReply struct {
	Model string `json:"model,omitempty"`
}

// proposalResult is the outcome of a proposal.
type proposalResult struct {
	Committed bool   `json:"committed"`
	Message   string `json:"message,omitempty"`
}
