package mesh

import (
	"encoding/json"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
)

// Methods of the JSON-RPC interface between processes.
const (
	methodSync    = "mesh.sync"
	methodPull    = "mesh.pull"
	methodPropose = "mesh.propose"
	methodRead    = "mesh.read"
	methodPermit  = "mesh.permit"
	// methodStanding asks a member of the log for its standing, methodConfirm for
	// a state that includes every change acknowledged before the question.
	methodStanding = "mesh.standing"
	methodConfirm  = "mesh.confirm"
)

// Process is one process as it describes itself.
type Process struct {
	Name string `json:"name"`
	// Address is where other processes call it.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Entry is true for entries; agents are greeted by nobody.
	Entry bool `json:"entry,omitempty"`
	// Disk is true when it can hold the log.
	Disk bool `json:"disk,omitempty"`
	// Member and Cluster are its identity in a log and that log, if any.
	Member  string `json:"member,omitempty"`
	Cluster string `json:"cluster,omitempty"`
	// Leads is true for the log's leader.
	Leads bool `json:"leads,omitempty"`
	// Index is that of the configuration it acts by.
	Index uint64 `json:"index,omitempty"`
	// Started tells its incarnations apart, in Unix nanoseconds.
	Started int64 `json:"started"`
	// SilentMillis is how long ago it was last heard, as far as the one that
	// tells of it knows; 0 from the process itself.
	SilentMillis int64 `json:"silentMillis,omitempty"`
}

// heardList says up to where somebody has heard what one incarnation of a process
// knows of all others. Each such process counts the changes of what it knows.
type heardList struct {
	Of     int64  `json:"of,omitempty"`
	Change uint64 `json:"change,omitempty"`
}

// greeting tells a peer what it may not know yet.
type greeting struct {
	From Process `json:"from"`
	// Heard is up to where the sender has heard the receiver's list.
	Heard heardList `json:"heard,omitzero"`
	// Servers are backend servers whose announcements are news, Beats those of
	// which it is only news that they live.
	Servers []roster.Server `json:"servers,omitempty"`
	Beats   []roster.Beat   `json:"beats,omitempty"`
	// Strikes are news of servers that crashed under a request.
	Strikes []suspicion.Strike `json:"strikes,omitempty"`
	// Digest is that of the processes the sender knows.
	Digest uint64 `json:"digest"`
	// Relies is true when the sender is no hub, and hears only what those it
	// greets pass on.
	Relies bool `json:"relies,omitempty"`
}

// greetingReply answers with the peer itself and, where the digests differ, whom it
// knows: what has changed since the sender heard of it, and everyone now and then.
type greetingReply struct {
	From  Process   `json:"from"`
	Known []Process `json:"known,omitempty"`
	Heard heardList `json:"heard,omitzero"`
	// Missing are servers of which only a beat came and nothing else is known.
	Missing []string `json:"missing,omitempty"`
}

// pullRequest asks for the configuration if it is newer than what is held.
type pullRequest struct {
	From    Process `json:"from"`
	Index   uint64  `json:"index"`
	Version uint64  `json:"version"`
	// Holds is true when there is a configuration of that version: 0 is a version
	// too.
	Holds bool `json:"holds,omitempty"`
	// Digest is that of the processes that were told with the last answer, Heard up to
	// where it told them; both are 0 when all are wanted.
	Digest uint64    `json:"digest"`
	Heard  heardList `json:"heard,omitzero"`
	// WaitMillis is how long to wait for something newer.
	WaitMillis int64 `json:"waitMillis,omitempty"`
}

// pullReply holds the newer state. Its body is left out when the version is the
// one that was held.
type pullReply struct {
	Newer bool           `json:"newer"`
	State document.State `json:"state"`
	Known []Process      `json:"known,omitempty"`
	// Digest is that of the processes known to the one that answers.
	Digest uint64    `json:"digest"`
	Heard  heardList `json:"heard,omitzero"`
	// Newest is the highest index that it has heard of at any process.
	Newest uint64 `json:"newest"`
}

// standingRequest asks a member of the log for its standing.
type standingRequest struct{}

// proposal is a command for the log.
type proposal struct {
	Command json.RawMessage `json:"command"`
}

// permitRequest asks which model an engine without one may load.
type permitRequest struct {
	Service string `json:"service"`
	// OnDisk are the models of which the engine keeps a copy: they cost the
	// weight store nothing.
	OnDisk []string `json:"onDisk,omitempty"`
}

// permitReply names the model, or none when the engine must ask again.
type permitReply struct {
	Model string `json:"model,omitempty"`
}

// fate is how a proposal ended.
type fate struct {
	Committed bool   `json:"committed"`
	Message   string `json:"message,omitempty"`
}
