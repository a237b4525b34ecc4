package dispatch

import (
	"math"
	"slices"
	"time"
)

// Health is the state of one server as derived by an entry from its answers. The
// zero value is the state of a server without answers.
type Health struct {
	share  float64
	answer time.Duration
	streak int
	until  time.Time
}

const (
	// sampleWeight is the weight of the newest answer: about eight answers
	// determine the average.
	sampleWeight = 0.12
	// initialBackoff is how long no requests are sent to a server after it could
	// not be reached; it doubles with each consecutive failure up to maxBackoff.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// failureMemory is how long the failure share stays undiminished after a
	// failure. It fades afterwards, so that a server that got no requests because
	// of its failures is tried again.
	failureMemory = 2 * time.Second
)

// Answered records a successful answer and the time to its first byte. slow is the speed
// factor that the server reported with the answer, 0 for none. The average is of the
// times at usual speed, so took is divided by the factor.
func (h *Health) Answered(took time.Duration, slow float64) {
	if slow > 0 {
		took = time.Duration(float64(took) / boundFactor(slow))
	}
	h.streak, h.until = 0, time.Time{}
	h.share -= sampleWeight * h.share
	if h.answer == 0 {
		h.answer = took
		return
	}
	h.answer += time.Duration(sampleWeight * float64(took-h.answer))
}

// Failed records a failed answer.
func (h *Health) Failed(now time.Time) {
	h.share += sampleWeight * (1 - h.share)
	h.until = now.Add(failureMemory)
}

// Unreachable records that no connection could be made or that a connection
// broke.
func (h *Health) Unreachable(now time.Time) {
	h.Failed(now)
	h.until = now.Add(min(initialBackoff<<min(h.streak, 8), maxBackoff))
	h.streak++
}

// InBackoff reports whether the server is in backoff.
func (h *Health) InBackoff(now time.Time) bool { return h.streak > 0 && now.Before(h.until) }

// FailureShare returns the share of failed answers, which fades while no
// requests are sent.
func (h *Health) FailureShare(now time.Time) float64 {
	if idle := now.Sub(h.until); idle > 0 && h.share > 0 {
		return h.share / (1 + idle.Seconds())
	}
	return h.share
}

// Answer returns the usual time to the first byte, at the usual speed of the server's machine.
func (h *Health) Answer() time.Duration { return h.answer }

// commonFailureShare returns the failure share that is not specific to a single
// server: the median share plus its expected random deviation. If it were not
// subtracted, requests that fail on every server would drive other requests from
// server to server, away from their adapters.
func commonFailureShare(candidates []Candidate) float64 {
	serving, failing := 0, 0
	for i := range candidates {
		if candidates[i].Model {
			serving++
			if candidates[i].FailureShare > 0 {
				failing++
			}
		}
	}
	// Unless most servers fail, the median is 0 and the sort is not needed.
	if 2*failing <= serving {
		return 0
	}
	shares := make([]float64, 0, serving)
	for i := range candidates {
		if candidates[i].Model {
			shares = append(shares, candidates[i].FailureShare)
		}
	}
	slices.Sort(shares)
	median := shares[(len(shares)-1)/2]
	return median + math.Sqrt(median*(1-median)*sampleWeight/(2-sampleWeight))
}
