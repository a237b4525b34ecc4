package residency

import (
	"math"
	"time"
)

// Memory that becomes free is left to a request that precedes others and is too large for
// what is free: smaller ones would take it each time, and it would never start.

// memoryPatience is how long a request that lacks memory is passed by others of its own
// rank. Shorter waits end by themselves as requests end; beyond it the memory that is kept
// free costs less than the request. Measured with prompts five times the usual size: 0.02
// of them were served where they were always passed.
const memoryPatience = 500 * time.Millisecond

// lacksMemory reports whether a request cannot start only for want of memory. One that
// is larger than the whole memory waits until nothing runs, and does not count.
func (t *Table) lacksMemory(r *Request, now time.Time) bool {
	return r.Tokens <= t.options.MemoryTokens && t.tokens+r.Tokens > t.options.MemoryTokens && t.ready(r, now)
}

// lastOfRank returns the lowest precedence of the rank of a precedence.
func lastOfRank(precedence int) int { return precedence - precedence%levels + levels - 1 }

// lastBesideMemory returns the lowest precedence that may start beside the requests that
// have lacked memory for long. Without shares, only ranks are kept apart: which request of
// a rank goes first is then as it comes.
func (t *Table) lastBesideMemory(now time.Time) int {
	last := math.MaxInt
	for i := range t.waiting {
		r := &t.waiting[i]
		if r.Share > 0 && now.Sub(r.admittedAt) > memoryPatience && t.lacksMemory(r, now) && !now.After(r.StartDeadline) {
			last = min(last, r.precedence()-1)
		}
	}
	return last
}
