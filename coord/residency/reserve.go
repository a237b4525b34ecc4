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
	if r == nil || r.reserved == 0 {
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
		r.late = true
		if t.ready(r, now) {
			t.reserves.of(r.Rank).grow(t.options.Batch, now)
		}
	}
}

// reserves holds the reserve of each rank. A reserve is kept for requests of its own
// rank: one for all ranks let requests of less urgent ranks take the places that late
// ones of a more urgent rank had left free.
type reserves map[int]*reserve

func (v reserves) of(rank int) *reserve {
	if v[rank] == nil {
		v[rank] = &reserve{}
	}
	return v[rank]
}

// heldFrom returns the number of positions that a request must leave free: those of
// more urgent ranks, and if it is late those of its own rank.
func (v reserves) heldFrom(r *Request, now time.Time) float64 {
	held := 0.0
	for rank, reserved := range v {
		if rank < r.Rank || rank == r.Rank && r.late {
			held = max(held, reserved.current(now))
		}
	}
	return held
}

// batchLimit returns the number of running requests below which a request may
// start.
func (t *Table) batchLimit(r *Request, now time.Time) int {
	return max(t.options.Batch-int(math.Round(t.reserves.heldFrom(r, now))), 1)
}

// lacksMemory reports whether a request cannot start only for want of memory. One that
// is larger than the whole memory waits until nothing runs, and does not count.
func (t *Table) lacksMemory(r *Request, now time.Time) bool {
	return r.Tokens <= t.options.MemoryTokens && t.tokens+r.Tokens > t.options.MemoryTokens && t.ready(r, now)
}
