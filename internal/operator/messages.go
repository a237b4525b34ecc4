// Package operator is the client side of the control instances' operator
// interface: the HTTP messages and a client that tries several instances under one
// operation ID.
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

// HTTP headers of the operator interface.
const (
	// OperationHeader carries the operation ID of a change.
	OperationHeader = "Rosemarypass-Operation"
	// UnconfirmedHeader is set on the answer to a read that no quorum has
	// confirmed: the answer may lack recent changes.
	UnconfirmedHeader = "Rosemarypass-Unconfirmed"
)

// Failure is the body of an error answer that holds no result.
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

// AdapterPage is one page of the list of adapters, ordered by name and version.
type AdapterPage struct {
	Adapters []catalogue.Adapter `json:"adapters"`
	// Next is the value of "after" that requests the next page; it is empty on the
	// last page.
	Next string `json:"next,omitempty"`
}

// Server holds the announced and the wanted state of a backend server.
type Server struct {
	Name   string       `json:"name"`
	Wanted state.Server `json:"wanted"`
	// Announced is nil if the server has not announced itself within its lease.
	Announced *membership.Announcement `json:"announced,omitempty"`
}

// Instance is a control instance as another one sees it.
type Instance struct {
	Address  string             `json:"address"`
	Name     string             `json:"name,omitempty"`
	Standing freshness.Standing `json:"standing"`
	// ClockAhead is how far the instance's clock is ahead of the answering
	// instance's clock.
	ClockAhead time.Duration `json:"clockAhead"`
	// Error is the reason why the instance did not answer; it is empty if the
	// instance answered.
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

// Status is the state of the whole system as known to a control instance.
type Status struct {
	Instance string `json:"instance"`
	// ConfigIndex is the index of the last change applied on this instance.
	ConfigIndex uint64        `json:"configIndex"`
	Instances   []Instance    `json:"instances"`
	Daemons     []wire.Daemon `json:"daemons"`
	Servers     []Server      `json:"servers"`
	Counts      Counts        `json:"counts"`
	// Suspects are the requests that were running on backend servers when these
	// crashed.
	Suspects []suspicion.Record `json:"suspects,omitempty"`
}

// InForce reports which daemons a change is in force in.
type InForce struct {
	Index uint64 `json:"index"`
	// Done means that no living daemon still operates without the change.
	Done bool `json:"done"`
	// Waiting are living daemons that have not confirmed the change.
	Waiting []wire.Daemon `json:"waiting,omitempty"`
	// Expired are daemons that were not seen for the duration of their lease. They have
	// stopped admitting requests on their own or no longer run.
	Expired []wire.Daemon `json:"lost,omitempty"`
	// Unresponsive are control instances that do not answer. Daemons that follow only
	// these instances stop admitting requests within the freshness lease.
	Unresponsive []string `json:"silent,omitempty"`
}

// Document is the whole configuration as stored in a file. It contains no
// plaintext keys, and no revisions because these are specific to one deployment.
type Document struct {
	Models    []catalogue.Model   `json:"models,omitempty"`
	Adapters  []catalogue.Adapter `json:"adapters,omitempty"`
	Services  []catalogue.Service `json:"services,omitempty"`
	Contracts []contract.Contract `json:"contracts,omitempty"`
	Servers   []state.Server      `json:"servers,omitempty"`
}

// MaxWait is the longest time that a control instance may hold one InForce call.
const MaxWait = 30 * time.Second
