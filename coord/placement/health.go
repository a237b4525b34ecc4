package placement

import (
	"math"
	"time"
)

const (
	// failureCost is the expected wait, in seconds, per recent attempt that did
	// not run on the server.
	failureCost = 0.1
	// maxFailureCost allows even the worst server to be tried when all others
	// have long queues.
	maxFailureCost = 5
	// failureHalfLife is the time in which a failure loses half its weight, so
	// that a server that has recovered is tried again.
	failureHalfLife = 5 * time.Second
)

// Health avoids servers that recently refused or lost requests of this viewer.
// A server that fails immediately looks idle in its reports, and would
// otherwise attract all requests and fail them.
func Health(c *Candidate, _ *Estimates) float64 {
	return min(failureCost*c.Failures, maxFailureCost)
}

// failures is an exponentially decaying count.
type failures struct {
	count float64
	at    time.Time
}

func (f *failures) add(now time.Time) {
	f.count = f.decayed(now) + 1
	f.at = now
}

func (f *failures) decayed(now time.Time) float64 {
	if f.count == 0 {
		return 0
	}
	return f.count * math.Exp2(-now.Sub(f.at).Seconds()/failureHalfLife.Seconds())
}
