package dispatch

import "time"

// DurationEstimate estimates how long answers take, from complete answers. The
// zero value is ready to use.
type DurationEstimate struct {
	mean   time.Duration
	spread time.Duration
}

const (
	// meanWeight and spreadWeight are the weights of the newest answer.
	meanWeight   = 0.125
	spreadWeight = 0.25
	// spreadFactor is how many spreads above the mean nearly all answers end.
	spreadFactor = 3
)

// Add records how long an answer took.
func (u *DurationEstimate) Add(took time.Duration) {
	if u.mean == 0 {
		u.mean, u.spread = took, took/2
		return
	}
	diff := took - u.mean
	u.mean += time.Duration(meanWeight * float64(diff))
	u.spread += time.Duration(spreadWeight * float64(diff.Abs()-u.spread))
}

// UpperBound returns how long nearly all answers take at most; 0 while unknown.
func (u *DurationEstimate) UpperBound() time.Duration { return u.mean + spreadFactor*u.spread }
