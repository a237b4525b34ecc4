package dispatch

import "time"

// Usual is how long answers take, learned from those that were whole. The zero
// value knows nothing.
type Usual struct {
	mean   time.Duration
	spread time.Duration
}

const (
	// meanWeight and spreadWeight are the weights of the newest answer.
	meanWeight   = 0.125
	spreadWeight = 0.25
	// mostSpreads is how many spreads above the mean nearly all answers end.
	mostSpreads = 3
)

// Add takes how long an answer took.
func (u *Usual) Add(took time.Duration) {
	if u.mean == 0 {
		u.mean, u.spread = took, took/2
		return
	}
	off := took - u.mean
	u.mean += time.Duration(meanWeight * float64(off))
	u.spread += time.Duration(spreadWeight * float64(off.Abs()-u.spread))
}

// Most is how long nearly all answers take at most; 0 while unknown.
func (u *Usual) Most() time.Duration { return u.mean + mostSpreads*u.spread }
