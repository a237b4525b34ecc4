package residency

import "time"

// pauses learns from the pauses that callers saw in their streams how much of
// the engine's reading rate prompts may take where many wait.
//
// The load that it answers: a queue of prompts at an engine with a full batch.
// Read as fast as it can, they halt every stream there for longer than its
// route allows, and all of these are late; read too slowly, the queue is. Which
// share does it depends on the engine's steps and on the route, and shows in the
// pauses only.
type pauses struct {
	// below is how far the share is below rushShare.
	below float64
}

const (
	// rushShare is the most of the reading rate that prompts may take where much
	// waits; the least is what they take where little does.
	rushShare = 0.95
	// firstBelow is where it begins.
	firstBelow = 0.1
	// pauseDown and pauseUp move the share with each stream that had a pause that
	// was too long and with each one that had none: some three in a hundred do.
	pauseDown = 0.03
	pauseUp   = 0.001
)

// note takes the longest pause of a stream and the one that its route allows.
func (p *pauses) note(longest, allowed time.Duration) {
	if allowed <= 0 {
		return
	}
	if longest > allowed {
		p.below = min(p.below+pauseDown, rushShare-readShare)
		return
	}
	p.below = max(p.below-pauseUp, 0)
}

// most is the share of the reading rate that prompts may take where much waits.
func (p *pauses) most() float64 { return rushShare - p.below }

// Paused tells of the longest pause in a stream that has ended, and of the one
// that its route allows.
func (t *Table) Paused(longest, allowed time.Duration) { t.pauses.note(longest, allowed) }
