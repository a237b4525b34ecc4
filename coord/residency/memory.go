package residency

import (
	"math"
	"time"
)

// maxPassedOver is how long a request that lacks memory lets others of its own rank
// start before it. After that, free memory is kept for it: smaller requests would
// otherwise take it each time and the large one would starve. Only 2% of prompts of five
// times the usual size were served without a limit.
const maxPassedOver = 500 * time.Millisecond

// lacksMemory reports whether only a lack of memory prevents the start of a request. It is
// false for a request that is larger than the whole memory: it waits until nothing runs.
func (t *Table) lacksMemory(r *Request, now time.Time) bool {
	return r.Tokens <= t.options.MemoryTokens && t.tokens+r.Tokens > t.options.MemoryTokens && t.ready(r, now)
}

// lowestOfRank returns the lowest precedence, which is the greatest number, of the rank
// that a precedence belongs to.
func lowestOfRank(precedence int) int { return precedence - precedence%levels + levels - 1 }

// lowestStartable returns the lowest precedence that may start: requests that have lacked
// memory for longer than maxPassedOver block their own precedence and lower ones. Requests
// without a share do not block others.
func (t *Table) lowestStartable(now time.Time) int {
	last := math.MaxInt
	for i := range t.waiting {
		r := &t.waiting[i]
		if r.Share > 0 && now.Sub(r.admittedAt) > maxPassedOver && t.lacksMemory(r, now) && !now.After(r.StartDeadline) {
			last = min(last, r.precedence()-1)
		}
	}
	return last
}
