package dispatch

import (
	"math"
	"slices"
	"time"
)

// Health is what an entry learns of one server from its answers. The zero value
// is a server of which nothing is known.
type Health struct {
	share  float64
	answer time.Duration
	streak int
	until  time.Time
}

const (
	// sampleWeight is the weight of the newest answer: some eight answers decide.
	sampleWeight = 0.12
	// barFirst is how long a server that could not be reached is left alone; it
	// doubles with each failure in a row up to barMost.
	barFirst = 200 * time.Millisecond
	barMost  = 3 * time.Second
	// forgetAfter lets a server that got no requests for its failures be tried
	// again.
	forgetAfter = 2 * time.Second
)

// Answered records a good answer and the time to its first byte.
func (h *Health) Answered(took time.Duration) {
	h.streak, h.until = 0, time.Time{}
	h.share -= sampleWeight * h.share
	if h.answer == 0 {
		h.answer = took
		return
	}
	h.answer += time.Duration(sampleWeight * float64(took-h.answer))
}

// Failed records an answer that was a failure.
func (h *Health) Failed(now time.Time) {
	h.share += sampleWeight * (1 - h.share)
	h.until = now.Add(forgetAfter)
}

// Unreachable records that no connection could be made or that it broke.
func (h *Health) Unreachable(now time.Time) {
	h.Failed(now)
	h.until = now.Add(min(barFirst<<min(h.streak, 8), barMost))
	h.streak++
}

// Barred is true while the server is left alone.
func (h *Health) Barred(now time.Time) bool { return h.streak > 0 && now.Before(h.until) }

// FailureShare fades when nothing is sent there any more.
func (h *Health) FailureShare(now time.Time) float64 {
	if idle := now.Sub(h.until); idle > 0 && h.share > 0 {
		return h.share / (1 + idle.Seconds())
	}
	return h.share
}

// Answer is the usual time to the first byte.
func (h *Health) Answer() time.Duration { return h.answer }

// sharedFailures is the share of failures that says nothing of one server: what
// the middle one of them shows, and what chance adds to it. Requests that fail
// wherever they run would otherwise drive the others from server to server, away
// from where their adapters are.
func sharedFailures(candidates []Candidate) float64 {
	shares := make([]float64, 0, len(candidates))
	for i := range candidates {
		if candidates[i].Model {
			shares = append(shares, candidates[i].FailureShare)
		}
	}
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	middle := shares[(len(shares)-1)/2]
	return middle + math.Sqrt(middle*(1-middle)*sampleWeight/(2-sampleWeight))
}
