package credit

import (
	"math"
	"time"
)

// Share decides among how many entries the limits' rates are divided. It counts the entries that were heard of
// lately, so that one that is cut off keeps its part.
//
// An entry knows what others knew up to learnTime ago. While their number grows, each divides among as many as
// there will be by then at the same growth: so the parts of all add up to the rate at most, and no entry has to
// wait for the last one to start.
type Share struct {
	// counts are what was observed within learnTime, and the last one before.
	counts []count
	// ready is set once the entry knew enough to serve.
	ready     bool
	connected time.Time
}

// count is a number of entries that was observed.
type count struct {
	at      time.Time
	entries int
}

const (
	// learnTime is how long it takes entries to learn of one that has started.
	learnTime = 300 * time.Millisecond
	// detachedTime is how long an entry goes on creating its part while it reaches few others. RememberEntries
	// is for how long others keep it in their count, which must be longer.
	detachedTime    = 40 * time.Second
	RememberEntries = 60 * time.Second
)

// Observe records how many entries are known, this one included, whether this entry knows enough to serve, and
// whether it reaches most others. It returns among how many the rates are divided; 0 while that is not known.
func (s *Share) Observe(entries int, ready, connected bool, now time.Time) int {
	entries = max(entries, 1)
	s.ready = s.ready || ready
	if connected || s.connected.IsZero() {
		s.connected = now
	}
	s.counts = append(s.counts, count{now, entries})
	for len(s.counts) > 1 && now.Sub(s.counts[1].at) >= learnTime {
		s.counts = s.counts[1:]
	}
	before := s.counts[0]
	if !s.ready || now.Sub(before.at) < learnTime || now.Sub(s.connected) >= detachedTime {
		return 0
	}
	if entries <= before.entries {
		return entries
	}
	return int(math.Ceil(float64(entries) * float64(entries) / float64(before.entries)))
}
