// Package credit enforces limits over all entries, of teams and of servers that name a rate, without an owner.
//
// A limit's rate is divided evenly among the entries: each creates its part as credit, in units, and a request
// is admitted where its cost is covered. Entries with more than they need give credit to a pool at one of them,
// and those that need more take it from there, so the whole limit can be used at one entry.
//
// What all entries together admit in any time never exceeds what they create in it, what the pools held before,
// and the overdraft, whichever entries reach each other:
//
//   - Credit is created only at entries, in parts whose sum is the rate, and only moves otherwise.
//   - Who gives subtracts first, and who receives adds last: a lost message loses credit.
//   - A process that starts has none. What its earlier incarnation held is lost.
//
// So nothing depends on who hosts a pool, nor on all agreeing about it.
package credit

import "time"

// Limit is what all entries together admit for a name, in units: tokens, or requests.
type Limit struct {
	// Rate is in units per second; 0 means that there is no limit.
	Rate float64
	// Burst is what may be used at once, beyond the rate.
	Burst float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

// minBurst is the burst, as a time at the rate, of a limit that names less: with none, no request would ever be
// covered.
const minBurst = 250 * time.Millisecond

// stock returns how many units a pool can hold.
func (l Limit) stock() float64 { return max(l.Burst, l.Rate*minBurst.Seconds()) }

// Options describe how exactly a limit must hold.
type Options struct {
	// Window, OverRatio and OverUnits describe by how much a limit may be exceeded: in any window, OverRatio of
	// what the limit allows in it, and OverUnits more.
	Window    time.Duration
	OverRatio float64
	OverUnits float64
	// MaxHeld bounds what all entries together hold beside the pools, as a time at a limit's rate; 0 for no bound.
	// With it they hold no more than what they create between two exchanges.
	MaxHeld time.Duration
	// Interval is the time between two exchanges with a pool.
	Interval time.Duration
}

// overdraftPart is the part of the tolerance that entries may use before a pool has covered it. What restarts
// forget, and what entries hold beside the pools, takes the rest.
const overdraftPart = 1.0 / 3

// overdraft returns by how much all entries together may be ahead of their credit.
func (o Options) overdraft(l Limit) float64 {
	return overdraftPart * (o.OverRatio*(l.Rate*o.Window.Seconds()+l.Burst) + o.OverUnits)
}

// Transfer is what an entry gives to the pool of a name, and what it asks for.
type Transfer struct {
	Name string  `json:"team"`
	Give float64 `json:"give,omitempty"`
	Ask  float64 `json:"ask,omitempty"`
	// Least is the smallest part of Ask that helps; 0 where any part does.
	Least float64 `json:"least,omitempty"`
	// Refused is the cost of the requests that were refused since the last transfer.
	Refused float64 `json:"refused,omitempty"`
}

// Grant is the answer to a transfer.
type Grant struct {
	Name  string  `json:"team"`
	Units float64 `json:"units,omitempty"`
	// Full is set where the pool takes nothing more.
	Full bool `json:"full,omitempty"`
	// AfterMillis is the time in which the pool is expected to have what was asked for and not granted.
	AfterMillis int64 `json:"afterMillis,omitempty"`
	// PauseMillis is the least time after which to ask again: the more entries ask in vain, the longer.
	PauseMillis int64 `json:"pauseMillis,omitempty"`
}
