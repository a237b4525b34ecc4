// Package fencing decides which process may send orders to an engine.
//
// Two processes that both consider themselves the owner of one engine, separated
// by a network partition, would undo each other's loads and evict adapters in use.
// Table, which is part of the replicated state, gives each owner a fencing number
// higher than all previous ones. Owner, in the process that sends the orders,
// reports whether its lease permits an order now. Neither reads a clock: an owner
// measures its lease from times of its own process, so that the clocks of two
// processes are never compared.
package fencing

import "time"

// Options configures an Owner. It must be the same for all owners of one engine.
type Options struct {
	// Lease is how long an owner may give orders after it requested the lease.
	Lease time.Duration
	// LongestOrder is the maximum time between sending an order and its taking
	// effect at the engine.
	LongestOrder time.Duration
	// Enforced reports whether the engine refuses orders with a number below the
	// highest that it has seen.
	Enforced bool
}

// driftDivisor is the maximum clock drift between two processes, as a divisor: one
// clock may run slower than another by 1/driftDivisor.
const driftDivisor = 100

// Table records the owner of each engine. It is not safe for concurrent use.
type Table struct {
	owners map[string]grant
}

type grant struct {
	holder string
	number uint64
}

// NewTable returns a table in which no engine has an owner.
func NewTable() *Table { return &Table{owners: make(map[string]grant)} }

// Acquire makes the holder the owner of an engine and returns its fencing number.
// A holder identifies one incarnation of a process. first reports whether the
// engine had no owner before. The previous owner learns of the change at its next
// renewal, if it can reach the table.
func (t *Table) Acquire(engine, holder string) (number uint64, first bool) {
	current, owned := t.owners[engine]
	if owned && current.holder == holder {
		return current.number, false
	}
	next := grant{holder: holder, number: current.number + 1}
	t.owners[engine] = next
	return next.number, !owned
}

// Renew reports whether the number is still the highest of the engine.
func (t *Table) Renew(engine string, number uint64) bool {
	return t.owners[engine].number == number
}

// Owner is the local state of one process that requested the ownership of an
// engine, measured by its own monotonic clock.
type Owner struct {
	options Options
	number  uint64
	// from and until delimit the period in which orders may be given.
	from, until time.Time
}

// NewOwner returns an owner without a grant.
func NewOwner(options Options) *Owner { return &Owner{options: options} }

// Acquired records a grant. sent is when the request was sent, now when the answer
// arrived.
//
// An engine that does not enforce numbers may still accept orders of the previous
// owner: for that owner's whole lease, which cannot have begun after this grant,
// plus LongestOrder for an order sent at its end. Only waiting for both excludes
// two concurrent owners; an engine that enforces numbers needs no wait.
func (o *Owner) Acquired(number uint64, first bool, sent, now time.Time) {
	o.number = number
	o.from = now
	if !first && !o.options.Enforced {
		wait := o.options.Lease + o.options.LongestOrder
		o.from = now.Add(wait + wait/driftDivisor)
	}
	o.until = sent.Add(o.options.Lease)
}

// Renewed records the answer to a renewal. sent is when the renewal was sent. If
// ok is false, the owner gives no more orders.
func (o *Owner) Renewed(ok bool, sent time.Time) {
	if !ok {
		o.until = time.Time{}
		return
	}
	if until := sent.Add(o.options.Lease); until.After(o.until) && !o.until.IsZero() {
		o.until = until
	}
}

// MayOrder returns the fencing number for an order, and reports whether an order
// may be given now.
func (o *Owner) MayOrder(now time.Time) (uint64, bool) {
	return o.number, o.number > 0 && !now.Before(o.from) && now.Before(o.until)
}
