package fairshare

import (
	"container/list"
	"time"
)

// RetryAfter returns when a refused caller should come back: when what it would have waited for less what it may wait is
// over, with a jitter of half of that, and after a third of the time that its request has left at most. random is in
// [0, 1).
func RetryAfter(delay, patience, least, left time.Duration, random float64) time.Duration {
	base := max(delay-max(patience, 0), least)
	return max(min(base+time.Duration(random*float64(base)/2), left/retryDivisor), 0)
}

// retryDivisor is the part of its time, one third, that a caller is asked to wait at most.
const retryDivisor = 3

// maxReturns bounds the refused callers that are remembered. Beyond it the oldest is forgotten, and counts as new when it
// returns.
const maxReturns = 8192

// Returns remembers until when refused callers were asked to stay away.
type Returns struct {
	byKey map[uint64]*list.Element
	// byAge holds the refusals in their order.
	byAge list.List
}

type refusal struct {
	key   uint64
	until time.Time
}

// NewReturns returns an empty memory.
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

// Empty reports whether nobody is remembered, so that no key need be made.
func (r *Returns) Empty() bool { return len(r.byKey) == 0 }

// Arrived returns until when a request goes behind those that wait, as its caller returned too soon; zero for any other
// caller. What was remembered of it is forgotten: a further return is judged by a further refusal.
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
