package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarypass/rosemarypass/coord/suspicion"
)

// strikes watches the servers at which a request's connection broke: where the
// server turns out to have ended, the request is struck. A connection may break
// for other reasons, which must not be held against the request.
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
	// strikeWait is how long a server that crashed may take to be missed.
	strikeWait = 20 * time.Second
	// maxPending bounds the broken calls that are watched.
	maxPending = 1024
)

// fingerprint tells the same request again. Requests without a body are alike
// too often to be told apart, and have none.
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

// broke notes that the connection to a server broke under a request.
func (s *strikes) broke(c *Call, v *server) {
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

// held is true for a request that has crashed too many servers.
func (s *strikes) held(c *Call) bool {
	fingerprint := c.fingerprint()
	return fingerprint != 0 && s.gateway.mesh.Held(fingerprint)
}

// settle tells of the servers that have ended, once they are known to.
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
