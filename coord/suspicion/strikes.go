package suspicion

import "time"

// Strikes counts the servers that crashed while they ran a request, by its
// fingerprint, without trials: where servers take many requests at once and a
// resend comes within seconds, a request that has struck enough of them is
// refused for a time. It is pure; entries tell each other of strikes.
type Strikes struct {
	records map[uint64]*struck
}

// Strike is one server that crashed under one request.
type Strike struct {
	Fingerprint uint64 `json:"fingerprint"`
	// Server is the incarnation that crashed.
	Server string `json:"server"`
}

type struck struct {
	servers map[string]bool
	last    time.Time
}

const (
	// strikeLimit is how many servers a request may crash: one crash happens by
	// itself, two by bad luck under a storm of them.
	strikeLimit = 3
	// strikeMemory is how long a request is held to its strikes; a caller that
	// resends it gives up long before.
	strikeMemory = 5 * time.Minute
	// maxStruck bounds the requests that are remembered.
	maxStruck = 4096
)

// NewStrikes returns a table without strikes.
func NewStrikes() *Strikes { return &Strikes{records: make(map[uint64]*struck)} }

// Take records a strike and reports whether it is news.
func (s *Strikes) Take(strike Strike, now time.Time) bool {
	r := s.records[strike.Fingerprint]
	if r == nil {
		s.expire(now)
		if len(s.records) >= maxStruck {
			return false
		}
		r = &struck{servers: make(map[string]bool)}
		s.records[strike.Fingerprint] = r
	}
	r.last = now
	if r.servers[strike.Server] {
		return false
	}
	r.servers[strike.Server] = true
	return true
}

// Held is true for a request that must not run any more.
func (s *Strikes) Held(fingerprint uint64, now time.Time) bool {
	r := s.records[fingerprint]
	return r != nil && len(r.servers) >= strikeLimit && now.Sub(r.last) < strikeMemory
}

func (s *Strikes) expire(now time.Time) {
	for fingerprint, r := range s.records {
		if now.Sub(r.last) >= strikeMemory {
			delete(s.records, fingerprint)
		}
	}
}
