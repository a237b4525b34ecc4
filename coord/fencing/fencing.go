// Package fencing decides who may give an engine its orders.
//
// Two would-be owners of one engine, parted by a silent partition, would undo
// each other's loads and evict adapters that serve. Table, behind the
// replicated log, gives each owner a number above all before it and a lease.
// Owner, at the order giver, says whether an order may be given now. Neither
// reads a clock: both measure the lease from moments of their own, so that the
// clocks of two processes are never compared.
package fencing

import "time"

// Options are the same for all owners of one engine.
type Options struct {
	// Lease is how long an owner may give orders after it asked for it.
	Lease time.Duration
	// LongestOrder is the longest time after which an order that was given
	// still takes effect at the engine.
	LongestOrder time.Duration
	// Enforced is true for an engine that refuses an order with a number
	// below the highest it has seen.
	Enforced bool
}

// driftShare is how much slower one process's clock may run than another's, as
// a part of one in so many.
const driftShare = 100

// Table is who owns which engine. One duty owns it.
type Table struct {
	owners map[string]grant
}

type grant struct {
	holder string
	number uint64
}

// NewTable returns a table in which nobody owns anything.
func NewTable() *Table { return &Table{owners: make(map[string]grant)} }

// Acquire makes the holder the owner of an engine and returns its number. A
// holder names one process in one life. first is true when nobody owned the
// engine before. The owner before learns of it at its next renewal, or never.
func (t *Table) Acquire(engine, holder string) (number uint64, first bool) {
	current, owned := t.owners[engine]
	if owned && current.holder == holder {
		return current.number, false
	}
	next := grant{holder: holder, number: current.number + 1}
	t.owners[engine] = next
	return next.number, !owned
}

// Renew reports whether the number is still the engine's highest.
func (t *Table) Renew(engine string, number uint64) bool {
	return t.owners[engine].number == number
}

// Owner is the view of one would-be owner, by its own monotonic clock.
type Owner struct {
	options Options
	number  uint64
	// from and until bound the time in which orders may be given.
	from, until time.Time
}

// NewOwner returns an owner that has not acquired anything.
func NewOwner(options Options) *Owner { return &Owner{options: options} }

// Acquired takes a grant into account. asked is when the request for it was
// sent, now when the answer arrived.
//
// An engine that ignores numbers may still be taking orders of the owner
// before: for that owner's whole lease, which it cannot have begun after this
// grant, and for the longest order that it gave at its end. Only the wait for
// both keeps the two apart; an engine that enforces numbers needs none.
func (o *Owner) Acquired(number uint64, first bool, asked, now time.Time) {
	o.number = number
	o.from = now
	if !first && !o.options.Enforced {
		wait := o.options.Lease + o.options.LongestOrder
		o.from = now.Add(wait + wait/driftShare)
	}
	o.until = asked.Add(o.options.Lease)
}

// Renewed takes the answer to a renewal into account; asked is when it was
// sent. An owner that was not renewed gives no more orders.
func (o *Owner) Renewed(ok bool, asked time.Time) {
	if !ok {
		o.until = time.Time{}
		return
	}
	if until := asked.Add(o.options.Lease); until.After(o.until) && !o.until.IsZero() {
		o.until = until
	}
}

// MayOrder returns the number to give an order with, and whether one may be
// given now.
func (o *Owner) MayOrder(now time.Time) (uint64, bool) {
	return o.number, o.number > 0 && !now.Before(o.from) && now.Before(o.until)
}
