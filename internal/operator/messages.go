// Package operator is the operators' interface of the control instances as a
// client sees it: the messages over HTTP and a client that tries several
// instances under one operation id.
package operator

import (
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// HTTP headers of the operators' interface.
const (
	// OperationHeader carries the operation id of a change.
	OperationHeader = "Rosemarypass-Operation"
	// UnconfirmedHeader is set on a reading that no quorum has confirmed: a
	// later change may be missing from it.
	UnconfirmedHeader = "Rosemarypass-Unconfirmed"
)

// Failure is the body of an answer that is not a result.
type Failure struct {
	Error string `json:"error"`
	// NotAccepted means that a change was not accepted and never will be.
	NotAccepted bool `json:"notAccepted,omitempty"`
}

// KeyChange adds and removes key hashes of a contract.
type KeyChange struct {
	Add    string `json:"add,omitempty"`
	Remove string `json:"remove,omitempty"`
}

// AdapterPage is a part of the adapters, by name and version.
type AdapterPage struct {
	Adapters []catalogue.Adapter `json:"adapters"`
	// Next is the "after" of the next page, empty on the last.
	Next string `json:"next,omitempty"`
}

// Server is a backend server as announced and as wanted.
type Server struct {
	Name   string       `json:"name"`
	Wanted state.Server `json:"wanted"`
	// Announced is nil when the server has not announced itself within its lease.
	Announced *membership.Announcement `json:"announced,omitempty"`
}

// Instance is a control instance as another one sees it.
type Instance struct {
	Address  string             `json:"address"`
	Name     string             `json:"name,omitempty"`
	Standing freshness.Standing `json:"standing"`
	// ClockAhead is how far its clock is ahead of the answering instance's.
	ClockAhead time.Duration `json:"clockAhead"`
	// Error says why the instance did not answer; empty when it did.
	Error string `json:"error,omitempty"`
}

// Counts are the numbers of objects in the configuration.
type Counts struct {
	Contracts int `json:"contracts"`
	Models    int `json:"models"`
	Adapters  int `json:"adapters"`
	Services  int `json:"services"`
	Servers   int `json:"servers"`
}

// Status is what a control instance knows of the whole system.
type Status struct {
	Instance string `json:"instance"`
	// ConfigIndex is the index of the last change on this instance.
	ConfigIndex uint64        `json:"configIndex"`
	Instances   []Instance    `json:"instances"`
	Daemons     []wire.Daemon `json:"daemons"`
	Servers     []Server      `json:"servers"`
	Counts      Counts        `json:"counts"`
	// Suspects are the requests that were at crashes of backend servers.
	Suspects []suspicion.Record `json:"suspects,omitempty"`
}

// InForce says where a change is in force.
type InForce struct {
	Index uint64 `json:"index"`
	// Done means that no living daemon works without the change.
	Done bool `json:"done"`
	// Waiting are living daemons that have not confirmed the change.
	Waiting []wire.Daemon `json:"waiting,omitempty"`
	// Lost are daemons that were not seen for their lease; they have stopped
	// admitting by themselves or are gone.
	Lost []wire.Daemon `json:"lost,omitempty"`
	// Silent are control instances that do not answer. Daemons that follow
	// only them stop admitting within the freshness lease.
	Silent []string `json:"silent,omitempty"`
}

// Document is the whole configuration in a file, without keys in the clear and
// without revisions, which belong to one deployment.
type Document struct {
	Models    []catalogue.Model   `json:"models,omitempty"`
	Adapters  []catalogue.Adapter `json:"adapters,omitempty"`
	Services  []catalogue.Service `json:"services,omitempty"`
	Contracts []contract.Contract `json:"contracts,omitempty"`
	Servers   []state.Server      `json:"servers,omitempty"`
}

// WaitLimit is the longest that one call for InForce waits.
const WaitLimit = 30 * time.Second
