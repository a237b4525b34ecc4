package placement

import (
	"math"
	"time"
)

const (
	// failureCost is the expected wait, in seconds, for each recent attempt
	// on the server that did not run.
	failureCost = 0.1
	// maxFailureCost lets even the worst server be tried when all others
	// have long queues.
	maxFailureCost = 5
	// failureHalfLife is the time in which a failure loses half its weight,
	// so that a server which recovered is tried again.
	failureHalfLife = 5 * time.Second
)

// Health avoids servers that lately refused or lost requests of this viewer. A
// server that fails at once looks idle in its reports, and would otherwise
// draw all the work and fail it.
func Health(c *Candidate, _ *Estimates) float64 {
	return min(failureCost*c.Failures, maxFailureCost)
}

// failures is a count that decays.
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
