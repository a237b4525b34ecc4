// Package sidecar is the agent beside an engine whose requests pass it by. It
// owns the engine's adapter slots and gives it all its orders, keeps the queue
// of requests that ask to start, and tells entries how the engine stands.
//
// One duty owns the state; the calls of entries reach it through a bounded
// ring. When the ring is full a call is refused, which an entry takes for an
// agent that cannot be reached.
package sidecar

import "context"

// Engine is the engine beside the agent.
type Engine interface {
	// Report asks for the engine's present state.
	Report(ctx context.Context) (Report, error)
	// Order gives an order; the result says how far it got.
	Order(ctx context.Context, order Order) (OrderResult, error)
}

// Report is what an engine says of itself.
type Report struct {
	// Born tells incarnations apart, in Unix milliseconds; 0 when unknown.
	Born int64
	// Sequence counts the orders that it has accepted.
	Sequence int64
	// Busy is true while it carries out an order that others wait for.
	Busy bool
	// Leaving is true when it takes no new work.
	Leaving bool
	// Models are the base models that it holds.
	Models []string
	// OnDisk are the base models of which it keeps a copy.
	OnDisk []string
	// Adapters are those held, as model/adapter, with their versions, and
	// Coming those on their way.
	Adapters map[string]int64
	Coming   map[string]int64
	// Runs are the ids of the requests that it runs.
	Runs []string
	// Running and Waiting count requests; Used and Total are tokens of memory.
	Running int
	Waiting int
	Used    int
	Total   int
}

// Order is one order to an engine.
type Order struct {
	// Load is false for an unload.
	Load bool
	// Model is the base model; Adapter is empty when the model itself is meant.
	Model   string
	Adapter string
	// Version is the adapter's, 0 for the newest.
	Version int64
	// Sequence is what the engine's count must be: an order that is carried out
	// late, behind newer ones, is then void.
	Sequence int64
	// Holder and Token name the orderer and its fencing number.
	Holder string
	Token  int64
}

// OrderResult is the fate of an order.
type OrderResult uint8

const (
	// OrderUnknown orders got no answer, and may yet be carried out.
	OrderUnknown OrderResult = iota
	// OrderAccepted orders are under way.
	OrderAccepted
	// OrderDone orders hold already.
	OrderDone
	// OrderConflict orders met another order or another count.
	OrderConflict
	// OrderFenced orders had a fencing number that is too low.
	OrderFenced
	// OrderRefused orders cannot be carried out.
	OrderRefused
)
