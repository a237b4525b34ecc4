package residency

import "time"

// pauses adapts the share of the engine's read rate that prompts may take under
// a large backlog to the pauses that callers observed in their streams.
//
// It addresses a queue of prompts at an engine with a full batch. When prompts
// are read at full rate, they halt every stream on the engine for longer than
// its route allows, and all of these answers are late; when prompts are read
// too slowly, the queued requests are late. The right share depends on the
// engine's step times and on the route, and can only be derived from the
// pauses.
type pauses struct {
	// reduction is how far the maximum share is below maxReadShare.
	reduction float64
}

const (
	// maxReadShare is the maximum share of the read rate that prompts may take
	// under a large backlog; minReadShare is the share under a small one.
	maxReadShare = 0.95
	// initialReduction is the initial value of pauses.reduction.
	initialReduction = 0.1
	// shareDecrease is applied for each stream with a pause above the allowed
	// one, shareIncrease for each stream without: in equilibrium about 3% of the
	// streams have too long a pause.
	shareDecrease = 0.03
	shareIncrease = 0.001
)

// observe records the longest pause of a stream and the pause that its route
// allows.
func (p *pauses) observe(longest, allowed time.Duration) {
	if allowed <= 0 {
		return
	}
	if longest > allowed {
		p.reduction = min(p.reduction+shareDecrease, maxReadShare-minReadShare)
		return
	}
	p.reduction = max(p.reduction-shareIncrease, 0)
}

// maxShare returns the share of the read rate that prompts may take under a
// large backlog.
func (p *pauses) maxShare() float64 { return maxReadShare - p.reduction }

// RecordPause records the longest pause in a stream that has ended, and the pause
// that its route allows.
func (t *Table) RecordPause(longest, allowed time.Duration) { t.pauses.observe(longest, allowed) }
