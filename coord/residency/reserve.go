package residency

import (
	"math"
	"time"
)

// reserve is the part of the batch that late requests leave free for requests
// that can still meet their target.
//
// It addresses bursts beyond the engines' capacity. Late requests would take
// each batch position as it becomes free, so that the next callers would find
// none and be late in turn, until nearly all are. Each request that becomes
// late for lack of a position reserves one more; while none does, the reserve
// decays.
type reserve struct {
	reserved float64
	at       time.Time
}

const (
	// reserveHalfLife is the half-life of the reserve: several requests end
	// within it and free their positions.
	reserveHalfLife = 2 * time.Second
	// maxReserve is the maximum share of the batch that is reserved.
	maxReserve = 0.75
)

// current returns the number of reserved batch positions.
func (r *reserve) current(now time.Time) float64 {
	if r.reserved == 0 {
		return 0
	}
	return r.reserved * math.Exp2(-float64(now.Sub(r.at))/float64(reserveHalfLife))
}

// grow reserves one more position.
func (r *reserve) grow(batch int, now time.Time) {
	r.reserved = min(r.current(now)+1, maxReserve*float64(batch))
	r.at = now
}

// markLate marks the requests that have become late. Each of them whose adapter
// is ready grows the reserve.
func (t *Table) markLate(now time.Time) {
	for i := range t.waiting {
		r := &t.waiting[i]
		if r.late || !t.missesTarget(r, now) {
			continue
		}
		lacksPlace := len(t.started) >= t.batchLimit(r, now)
		r.late = true
		if !t.ready(r, now) {
			continue
		}
		if !t.options.Shares {
			t.reserves.of(0).own.grow(t.options.Batch, now)
			continue
		}
		v := t.reserves.of(r.precedence())
		v.own.grow(t.options.Batch, now)
		if lacksPlace {
			v.lacked.grow(t.options.Batch, now)
		}
	}
}

// levels is the number of levels of shares that reserves distinguish within a rank;
// higher levels count as the last one.
const levels = 8

// precedence orders requests by rank, then by how far their teams are above their shares;
// 0 is the highest. Requests keep places in the batch free for those that precede them.
func (r *Request) precedence() int { return levels*r.Rank + min(r.level(), levels-1) }

// reserves holds the reserves by precedence. With one reserve for all, requests of less
// urgent ranks, and of teams above their shares, would take the places that late requests
// leave free.
type reserves map[int]*reserved

type reserved struct {
	// own is what late requests of this precedence leave free for those in time, lacked
	// what requests of lower precedences leave free for it. lacked grows only with
	// requests that found no place: others become late while there is room.
	own, lacked reserve
}

func (v reserves) of(precedence int) *reserved {
	if v[precedence] == nil {
		v[precedence] = &reserved{}
	}
	return v[precedence]
}

// keptFrom returns the number of places in the batch that a request must leave free: those
// reserved for higher precedences and, if the request is late, for its own. last is the
// lowest precedence of which requests wait. While requests of a lower precedence wait, the
// request need not leave its own reserve free, because they leave theirs.
func (v reserves) keptFrom(r *Request, last int, now time.Time) float64 {
	held, own := 0.0, r.precedence()
	for precedence, reserved := range v {
		switch {
		case precedence < own:
			held = max(held, reserved.lacked.current(now))
		case precedence == own && r.late && last <= own:
			held = max(held, reserved.own.current(now))
		}
	}
	return held
}

// batchLimit returns the number of running requests below which a request may
// start.
func (t *Table) batchLimit(r *Request, now time.Time) int {
	if r.due || !r.late && !t.options.Shares {
		return t.options.Batch
	}
	if !t.options.Shares {
		return max(t.options.Batch-int(math.Round(t.reserves.of(0).own.current(now))), 1)
	}
	return max(t.options.Batch-int(math.Round(t.reserves.keptFrom(r, t.lastWaiting, now))), 1)
}
