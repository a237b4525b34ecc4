package fairshare

import (
	"container/list"
	"time"
)

// RetryAfter returns how long a refused caller should wait before it retries: the delay
// beyond its patience, at least least, plus a random part of up to half of that. It is
// at most a third of left, the time until the request's deadline. random is in [0, 1).
func RetryAfter(delay, patience, least, left time.Duration, random float64) time.Duration {
	base := max(delay-max(patience, 0), least)
	return max(min(base+time.Duration(random*float64(base)/2), left/retryDivisor), 0)
}

// retryDivisor limits a wait to a third of the request's remaining time.
const retryDivisor = 3

// maxReturns bounds the refused callers that are remembered. Beyond it the oldest one is
// forgotten and counts as new when it returns.
const maxReturns = 8192

// Returns remembers until when refused callers were asked to stay away.
type Returns struct {
	byKey map[uint64]*list.Element
	// byAge holds the refusals, the oldest first.
	byAge list.List
}

type refusal struct {
	key   uint64
	until time.Time
}

// NewReturns returns an empty Returns.
func NewReturns() *Returns { return &Returns{byKey: make(map[uint64]*list.Element)} }

// Refused records that the caller with this key was asked to come back at a time.
func (r *Returns) Refused(key uint64, until time.Time) {
	if e := r.byKey[key]; e != nil {
		e.Value.(*refusal).until = until
		r.byAge.MoveToBack(e)
		return
	}
	if r.byAge.Len() >= maxReturns {
		oldest := r.byAge.Remove(r.byAge.Front()).(*refusal)
		delete(r.byKey, oldest.key)
	}
	r.byKey[key] = r.byAge.PushBack(&refusal{key: key, until: until})
}

// Empty reports whether no caller is remembered; the key of a request is not needed then.
func (r *Returns) Empty() bool { return len(r.byKey) == 0 }

// Arrived returns until when a request goes behind those that wait because its caller
// returned too soon; zero for any other caller. The refusal is forgotten, so that it
// affects one return only.
func (r *Returns) Arrived(key uint64, now time.Time) time.Time {
	e := r.byKey[key]
	if e == nil {
		return time.Time{}
	}
	until := e.Value.(*refusal).until
	r.byAge.Remove(e)
	delete(r.byKey, key)
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}
