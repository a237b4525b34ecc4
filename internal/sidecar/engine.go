// Package sidecar implements the agent beside an engine. The engine's requests bypass the
// agent. The agent manages the engine's adapter slots and gives the engine all its orders,
// keeps the queue of requests that wait for a start, and publishes the engine's state to
// entries.
//
// One event loop owns the state; the calls of entries reach it through a bounded queue. When
// the queue is full, a call is refused, and the entry treats the agent as unreachable.
package sidecar

import "context"

// Engine is the engine beside the agent.
type Engine interface {
	// Report returns the engine's current state.
	Report(ctx context.Context) (Report, error)
	// Order sends an order and returns how far the engine has carried it out.
	Order(ctx context.Context, order Order) (OrderResult, error)
}

// Report is the state that an engine reports.
type Report struct {
	// Born identifies the incarnation, in Unix milliseconds; 0 when unknown.
	Born int64
	// Sequence counts the orders that the engine has accepted.
	Sequence int64
	// Busy is set while the engine carries out an order that blocks others.
	Busy bool
	// Leaving is set when the engine takes no new work.
	Leaving bool
	// Models are the base models that the engine holds.
	Models []string
	// OnDisk are the base models of which the engine keeps a copy on disk.
	OnDisk []string
	// Adapters are the adapters held, as model/adapter, with their versions; Loading are those
	// being loaded.
	Adapters map[string]int64
	Loading  map[string]int64
	// RunningIDs are the IDs of the running requests.
	RunningIDs []string
	// Events maps the IDs of running requests to the number of events that they have
	// produced; nil if the engine does not report it.
	Events map[string]int
	// Running and Waiting count requests; Used and Total are memory in tokens.
	Running int
	Waiting int
	Used    int
	Total   int
}

// Order is one order to an engine.
type Order struct {
	// Load selects a load; false means an unload.
	Load bool
	// Model is the base model; Adapter is empty for an order about the model itself.
	Model   string
	Adapter string
	// Version is the version of the adapter; 0 means the newest.
	Version int64
	// Sequence is the order count that the engine must have. An order that arrives late, after
	// newer ones, is then rejected.
	Sequence int64
	// Holder is the name of the agent that gives the order, Token its fencing number.
	Holder string
	Token  int64
	// Engine is the ID of the incarnation that the order is meant for; any other rejects it. It is empty
	// while the ID is not known.
	Engine string
}

// OrderResult is the outcome of an order.
type OrderResult uint8

const (
	// OrderUnknown means that the order was not answered and may still be carried out.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the order is in progress.
	OrderAccepted
	// OrderDone means that the ordered state is already reached.
	OrderDone
	// OrderConflict means that another order was in progress or that the order count differed.
	OrderConflict
	// OrderFenced means that the order's fencing number was too low.
	OrderFenced
	// OrderRefused means that the order cannot be carried out.
	OrderRefused
)
