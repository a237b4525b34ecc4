package residency

import (
	"math"
	"time"
)

// reserve is the part of the batch that requests which are late already leave
// free for those that can still be in time.
//
// The load that it answers: a burst over engines that are too few. The late ones
// would take each place as it comes free, the next callers would find none and be
// late in their turn, until nearly everybody is. Each request that becomes late
// for want of a place keeps one more free; while none does, that fades.
type reserve struct {
	places float64
	at     time.Time
}

const (
	// reserveHalfLife is how fast the reserve fades: some runs of requests end, and
	// free their places, in that time.
	reserveHalfLife = 2 * time.Second
	// reserveMost is the part of the batch that it may take.
	reserveMost = 0.75
)

// now is the number of places that are kept free.
func (r *reserve) now(now time.Time) float64 {
	if r.places == 0 {
		return 0
	}
	return r.places * math.Exp2(-float64(now.Sub(r.at))/float64(reserveHalfLife))
}

// grow keeps one more place free.
func (r *reserve) grow(batch int, now time.Time) {
	r.places = min(r.now(now)+1, reserveMost*float64(batch))
	r.at = now
}

// noteLate grows the reserve by the requests that have become late although
// their adapter is there.
func (t *Table) noteLate(now time.Time) {
	for i := range t.waiting {
		r := &t.waiting[i]
		if r.late || !t.tooLate(r, now) {
			continue
		}
		r.late = true
		if t.ready(r, now) {
			t.reserve.grow(t.options.Batch, now)
		}
	}
}

// room is how much of the batch a request may find taken and start all the same.
func (t *Table) room(r *Request, now time.Time) int {
	if !r.late {
		return t.options.Batch
	}
	return max(t.options.Batch-int(math.Round(t.reserve.now(now))), 1)
}
