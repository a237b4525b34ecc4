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
		r.late = true
		if t.ready(r, now) {
			t.reserve.grow(t.options.Batch, now)
		}
	}
}

// batchLimit returns the number of running requests below which a request may
// start.
func (t *Table) batchLimit(r *Request, now time.Time) int {
	if !r.late {
		return t.options.Batch
	}
	return max(t.options.Batch-int(math.Round(t.reserve.current(now))), 1)
}
