// Package serverrate knows which backend servers name a rate: the requests a second that a server takes from all
// entries together, for as long as its answers say so.
//
// An answer tells what was true when its head was written, which is after its request was sent and before it
// arrived. So a rate is named from the arrival of an answer with it on, and lifted by an answer without one only
// where the request was sent after the last naming had arrived: an answer that was overtaken lifts nothing. An
// entry that cannot tell whether a naming is an old one obeys it, until the next request shows that it was.
package serverrate

import (
	"cmp"
	"slices"
	"time"
)

// Life is one incarnation of a server. The next one names no rate until its answers do.
type Life struct {
	ID string `json:"id"`
	// Born is the start of the incarnation in Unix milliseconds.
	Born int64 `json:"born,omitempty"`
}

// Naming is what one entry tells others of a server's rate.
type Naming struct {
	Life
	// Rate is in requests a second.
	Rate float64 `json:"rate,omitempty"`
	// Lifted is set where the server names no rate any more.
	Lifted bool `json:"lifted,omitempty"`
	// AgeMillis is the age of the evidence: of the arrival of an answer with a rate, or of the sending of a
	// request whose answer had none.
	AgeMillis int64 `json:"ageMillis,omitempty"`
}

// Outcome is what an answer, or a word of another entry, has changed.
type Outcome uint8

// Outcomes.
const (
	Unchanged Outcome = iota
	// Named means that the server names a rate from now on, Changed that it names another one.
	Named
	Changed
	// Lifted means that it names none any more.
	Lifted
)

const (
	// gossipPause is the least time between two messages to other entries about one server.
	gossipPause = 500 * time.Millisecond
	// transitMargin is added to the age of a lifting that others are told: while a naming is on its way to
	// them it grows older than they know, and a lifting must not count as the later one for that.
	transitMargin = 500 * time.Millisecond
	// liftGossipTime is the time for which a lifting is told again with later evidence: others may have had an
	// answer with the rate shortly before.
	liftGossipTime = 3 * time.Second
	// ownTrust is the time for which an entry's own answers count more than what others tell of the rate.
	ownTrust = time.Second
)

// Table holds the rates that an entry knows. It is not safe for concurrent use.
type Table struct {
	records map[Life]*record
	// gossiped counts the changes that other entries must hear of, version the changes to what is in force.
	gossiped uint64
	version  uint64
}

// record is what is known of one server.
type record struct {
	rate float64
	// namedAt is when the last answer with a rate arrived, at any entry, ownAt when it did here. liftedAt is
	// when the last request was sent whose answer had none.
	namedAt, ownAt, liftedAt time.Time
	// gossipChange is the value of Table.gossiped when the record was last given to other entries, at gossipedAt and with gossipedRate.
	gossipChange uint64
	gossipedAt   time.Time
	gossipedRate float64
	// endedAt is when the rate was lifted here; endedHere is set where an answer to this entry lifted it.
	endedAt   time.Time
	endedHere bool
	// fromHub is set where a hub told it, which tells the other hubs itself.
	fromHub bool
}

func (r *record) inForce() bool { return r.namedAt.After(r.liftedAt) }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[Life]*record)} }

// Change returns the number of the last change that other entries must hear of, Version that of the last change to what is in force.
func (t *Table) Change() uint64  { return t.gossiped }
func (t *Table) Version() uint64 { return t.version }

// Len returns the number of servers of which something is known.
func (t *Table) Len() int { return len(t.records) }

// Rate returns the rate that a server names, in requests a second.
func (t *Table) Rate(life Life) (rate float64, named bool) {
	if r := t.records[life]; r != nil && r.inForce() {
		return r.rate, true
	}
	return 0, false
}

// InForce returns the rates that servers name.
func (t *Table) InForce() map[Life]float64 {
	rates := make(map[Life]float64)
	for life, r := range t.records {
		if r.inForce() {
			rates[life] = r.rate
		}
	}
	return rates
}

func (t *Table) record(life Life) *record {
	r := t.records[life]
	if r == nil {
		r = &record{}
		t.records[life] = r
	}
	return r
}

// AnswerWith records an answer that names a rate, in requests a second, and has just arrived here.
func (t *Table) AnswerWith(life Life, rate float64, now time.Time) Outcome {
	r := t.record(life)
	was, before := r.inForce(), r.rate
	r.rate, r.namedAt, r.ownAt = rate, now, now
	if !r.inForce() {
		// The clock has not moved on since the lifting.
		r.liftedAt = now.Add(-1)
	}
	switch {
	case !was:
		t.version++
		t.gossip(r, false, now)
		return Named
	case r.rate != r.gossipedRate && now.Sub(r.gossipedAt) >= gossipPause:
		t.gossip(r, false, now)
	}
	if before == rate {
		return Unchanged
	}
	t.version++
	return Changed
}

// AnswerWithout records an answer that names no rate, to a request that was sent from here at the given time.
func (t *Table) AnswerWithout(life Life, sentAt, now time.Time) Outcome {
	r := t.records[life]
	if r == nil || !sentAt.After(r.liftedAt) {
		return Unchanged
	}
	was := r.inForce()
	r.liftedAt, r.endedHere = sentAt, true
	switch {
	case r.inForce():
		return Unchanged
	case was:
		r.endedAt = now
		t.version++
		t.gossip(r, false, now)
		return Lifted
	case now.Sub(r.endedAt) < liftGossipTime && now.Sub(r.gossipedAt) >= gossipPause:
		t.gossip(r, false, now)
	}
	return Unchanged
}

// Apply records what another entry tells.
func (t *Table) Apply(n Naming, fromHub bool, now time.Time) Outcome {
	at := now.Add(-time.Duration(max(n.AgeMillis, 0)) * time.Millisecond)
	if n.Lifted {
		return t.applyLifted(n.Life, at, fromHub, now)
	}
	if !valid(n.Rate) {
		return Unchanged
	}
	r := t.record(n.Life)
	if !at.After(r.liftedAt) || !at.After(r.namedAt) || now.Sub(r.ownAt) < ownTrust && r.inForce() {
		return Unchanged
	}
	was, before := r.inForce(), r.rate
	r.rate, r.namedAt = n.Rate, at
	if was && before == n.Rate {
		return Unchanged
	}
	t.version++
	t.gossip(r, fromHub, now)
	if was {
		return Changed
	}
	return Named
}

func (t *Table) applyLifted(life Life, at time.Time, fromHub bool, now time.Time) Outcome {
	r := t.record(life)
	if !at.After(r.liftedAt) {
		return Unchanged
	}
	was := r.inForce()
	r.liftedAt, r.endedHere = at, false
	if !was || r.inForce() {
		return Unchanged
	}
	r.endedAt = now
	t.version++
	t.gossip(r, fromHub, now)
	return Lifted
}

func (t *Table) gossip(r *record, fromHub bool, now time.Time) {
	t.gossiped++
	r.gossipChange, r.gossipedAt, r.gossipedRate, r.fromHub = t.gossiped, now, r.rate, fromHub
}

// Since returns what other entries must hear of after a change. A process hears from other hubs itself unless toSpoke
// is set.
func (t *Table) Since(change uint64, toSpoke bool, now time.Time) []Naming {
	var namings []Naming
	for life, r := range t.records {
		if r.gossipChange > change && (toSpoke || !r.fromHub) {
			namings = append(namings, r.naming(life, now))
		}
	}
	slices.SortFunc(namings, func(a, b Naming) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born)) })
	return namings
}

func (r *record) naming(life Life, now time.Time) Naming {
	if r.inForce() {
		return Naming{Life: life, Rate: r.rate, AgeMillis: max(now.Sub(r.namedAt).Milliseconds(), 0)}
	}
	age := now.Sub(r.liftedAt)
	if r.endedHere {
		age += transitMargin
	}
	return Naming{Life: life, Lifted: true, AgeMillis: max(age.Milliseconds(), 0)}
}

// Forget removes the servers for which known returns false.
func (t *Table) Forget(known func(Life) bool) {
	for life, r := range t.records {
		if known(life) {
			continue
		}
		if r.inForce() {
			t.version++
		}
		delete(t.records, life)
	}
}
