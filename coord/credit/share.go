package credit

import "time"

// Share decides among how many entries the limits' rates are divided. It counts the entries that were heard of
// lately, so that one that is cut off keeps its part.
type Share struct {
	entries   int
	grownAt   time.Time
	settled   bool
	connected time.Time
}

const (
	// settleTime is how long the number of entries must stand still after a start before it is relied on: until
	// an entry knows the others it would create more than its part.
	settleTime = 300 * time.Millisecond
	// detachedTime is how long an entry goes on creating its part while it reaches few others. RememberEntries
	// is for how long others keep it in their count, which must be longer.
	detachedTime    = 40 * time.Second
	RememberEntries = 60 * time.Second
)

// Observe records how many entries are known, this one included, whether this entry knows enough to serve, and
// whether it reaches most others. It returns among how many the rates are divided; 0 while that is not known.
func (s *Share) Observe(entries int, ready, connected bool, now time.Time) int {
	if entries > s.entries || s.grownAt.IsZero() {
		s.grownAt = now
	}
	s.entries = max(entries, 1)
	if connected || s.connected.IsZero() {
		s.connected = now
	}
	s.settled = s.settled || ready && now.Sub(s.grownAt) >= settleTime
	if !s.settled || now.Sub(s.connected) >= detachedTime {
		return 0
	}
	return s.entries
}
