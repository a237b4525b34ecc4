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
	usual := d.byRoute[route]
	if usual == nil {
		if len(d.byRoute) >= maxDurationRoutes {
			clear(d.byRoute)
		}
		usual = &dispatch.DurationEstimate{}
		d.byRoute[route] = usual
	}
	usual.Add(took)
}

// typicalMax returns the time within which nearly all streams of a route end; 0 while unknown.
func (d *durations) typicalMax(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if usual := d.byRoute[route]; usual != nil {
		return usual.UpperBound()
	}
	return 0
}
