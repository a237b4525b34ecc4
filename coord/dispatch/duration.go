package dispatch

import "time"

// DurationEstimate estimates how long answers take, from the moving averages of the
// durations of complete answers and of their deviations from the mean. The zero
// value is ready to use.
type DurationEstimate struct {
	mean   time.Duration
	spread time.Duration
}

const (
	// meanWeight and spreadWeight are the weights of the newest answer.
	meanWeight   = 0.125
	spreadWeight = 0.25
	// spreadFactor is the number of mean deviations above the mean within which
	// nearly all answers end.
	spreadFactor = 3
)

// Add records how long an answer took.
func (e *DurationEstimate) Add(took time.Duration) {
	if e.mean == 0 {
		e.mean, e.spread = took, took/2
		return
	}
	diff := took - e.mean
	e.mean += time.Duration(meanWeight * float64(diff))
	e.spread += time.Duration(spreadWeight * float64(diff.Abs()-e.spread))
}

// UpperBound returns a duration within which nearly all answers end; 0 while unknown.
func (e *DurationEstimate) UpperBound() time.Duration { return e.mean + spreadFactor*e.spread }
