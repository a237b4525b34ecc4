package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarypass/rosemarypass/coord/suspicion"
)

// strikes tracks the servers at which the connection of a request broke. When such a server
// turns out to have ended, the request gets a strike. A connection can break for other reasons,
// which must not count against the request.
type strikes struct {
	gateway *Gateway

	mu      sync.Mutex
	pending []pendingStrike
}

type pendingStrike struct {
	strike suspicion.Strike
	born   int64
	until  time.Time
}

const (
	// strikeWait is the time within which the end of a crashed server must become known.
	strikeWait = 20 * time.Second
	// maxPending limits the number of tracked broken calls.
	maxPending = 1024
)

// fingerprint identifies repetitions of the same request. Requests without a body are too often
// equal to be distinguished; their fingerprint is 0.
func (c *Call) fingerprint() uint64 {
	if len(c.Body) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, part := range []string{c.Method, c.URI, c.Host, c.Adapter} {
		_, _ = h.WriteString(part)
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// connBroken records that the connection to a server broke during a request.
func (s *strikes) connBroken(c *Call, v *server) {
	fingerprint := c.fingerprint()
	if fingerprint == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) < maxPending {
		strike := suspicion.Strike{Fingerprint: fingerprint, Server: v.entry.ID}
		s.pending = append(s.pending, pendingStrike{strike: strike, born: v.entry.Born, until: time.Now().Add(strikeWait)})
	}
}

// refused reports whether the request has crashed too many servers.
func (s *strikes) refused(c *Call) bool {
	fingerprint := c.fingerprint()
	return fingerprint != 0 && s.gateway.mesh.Refused(fingerprint)
}

// settle reports the strikes of servers that are known to have ended and drops those that have
// expired.
func (s *strikes) settle(now time.Time) {
	s.mu.Lock()
	pending := s.pending
	s.pending = nil
	s.mu.Unlock()
	var left []pendingStrike
	for _, p := range pending {
		switch {
		case s.gateway.mesh.Ended(p.strike.Server, p.born):
			s.gateway.mesh.Strike(p.strike)
		case now.Before(p.until):
			left = append(left, p)
		}
	}
	s.mu.Lock()
	s.pending = append(left, s.pending...)
	s.mu.Unlock()
}
