package gateway

import (
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
)

// durations records how long the streams of each route take.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]*dispatch.DurationEstimate
}

// maxDurationRoutes limits the number of recorded routes. When it is reached, all records are
// discarded and learned again.
const maxDurationRoutes = 512

func newDurations() *durations {
	return &durations{byRoute: make(map[string]*dispatch.DurationEstimate)}
}

func (d *durations) record(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	estimate := d.byRoute[route]
	if estimate == nil {
		if len(d.byRoute) >= maxDurationRoutes {
			clear(d.byRoute)
		}
		estimate = &dispatch.DurationEstimate{}
		d.byRoute[route] = estimate
	}
	estimate.Add(took)
}

// typicalMax returns the time within which nearly all streams of a route end; 0 while unknown.
func (d *durations) typicalMax(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if estimate := d.byRoute[route]; estimate != nil {
		return estimate.UpperBound()
	}
	return 0
}
