package gateway

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/upstream"
)

// strikes tracks the servers at which the connection of a request broke. When such a server
// turns out to have ended, the request gets a strike. A connection can break for other reasons,
// which must not count against the request.
type strikes struct {
	gateway *Gateway
	// wakeup holds a value when a call broke that has not been looked at.
	wakeup chan struct{}

	mu      sync.Mutex
	pending []pendingStrike
}

// pendingStrike is a broken call whose server is not known to have ended.
type pendingStrike struct {
	strike  suspicion.Strike
	target  upstream.Target
	born    int64
	brokeAt time.Time
	// acceptedAt is when the server, or a later one at its address, accepted a connection; zero
	// before.
	acceptedAt time.Time
}

const (
	// strikeWait is the time within which the end of a crashed server must become known.
	strikeWait = 20 * time.Second
	// settleInterval is the interval between two looks at servers whose end is uncertain.
	settleInterval = 500 * time.Millisecond
	// maxPending limits the number of tracked broken calls.
	maxPending = 1024
)

// fingerprint identifies repetitions of the same request, from whichever address they come.
func (c *Call) fingerprint() uint64 {
	h := xxhash.New()
	for _, part := range []string{c.Method, c.URI, c.Host, c.Adapter} {
		_, _ = h.WriteString(part)
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// connBroken records that the connection to a server broke during a request, of which output had
// been arriving for the given time.
func (s *strikes) connBroken(c *Call, v *server, output time.Duration) {
	// A server that leaves ends what it still runs when its time is up.
	if announced, _ := s.gateway.mesh.Announced(v.entry.ID); announced.Leaving {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPending {
		strikesDroppedCount.Add(1)
		return
	}
	strike := suspicion.Strike{Fingerprint: c.fingerprint(), Server: v.entry.ID, OutputMillis: output.Milliseconds()}
	s.pending = append(s.pending, pendingStrike{strike: strike, target: targetOf(v), born: v.entry.Born, brokeAt: time.Now()})
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

var (
	strikeCount = telemetry.Counter("gateway_strikes")
	// strikesDroppedCount counts the broken calls that are not tracked because too many are.
	strikesDroppedCount = telemetry.Counter("gateway_strikes_dropped")
	// strikeLatency is the time from a broken call to the strike.
	strikeLatency = telemetry.LatencyOf("gateway_strike_millis")
)

// refused reports whether the request has crashed too many servers.
func (s *strikes) refused(c *Call) bool {
	return s.gateway.mesh.Refused(c.fingerprint())
}

// run looks at broken calls as they come, and again at those whose servers' end is uncertain, until
// ctx ends.
func (s *strikes) run(ctx context.Context) {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeup:
		case <-ticker.C:
		}
		s.settle(time.Now())
	}
}

// settle reports the strikes of servers that are known to have ended and drops those that have
// expired.
func (s *strikes) settle(now time.Time) {
	s.mu.Lock()
	pending := s.pending
	s.pending = nil
	s.mu.Unlock()
	s.probe(pending, now)
	var left []pendingStrike
	for _, p := range pending {
		switch {
		case p.strike.Evidence != "":
			s.record(p, now.Sub(p.brokeAt))
		case now.Sub(p.brokeAt) < strikeWait && !s.livesOn(p, now):
			left = append(left, p)
		}
	}
	s.mu.Lock()
	s.pending = append(left, s.pending...)
	s.mu.Unlock()
}

// probe finds out which of the servers have ended. The directory says so only when a later server
// has the address, which takes as long as a restart. A server that ended refuses connections at
// once, while one that stands still or is cut off does not answer, and one whose connection was
// reset accepts the next.
func (s *strikes) probe(pending []pendingStrike, now time.Time) {
	byTarget := make(map[upstream.Target][]*pendingStrike)
	for i := range pending {
		p := &pending[i]
		if s.livesOn(*p, now) {
			continue
		}
		p.strike.Evidence = s.gateway.mesh.Ended(p.strike.Server, p.born)
		if p.strike.Evidence == "" && p.acceptedAt.IsZero() {
			byTarget[p.target] = append(byTarget[p.target], p)
		}
	}
	var probes sync.WaitGroup
	for target, calls := range byTarget {
		probes.Go(func() {
			err := s.gateway.pool.Probe(context.Background(), target)
			for _, p := range calls {
				if err == nil {
					p.acceptedAt = now
				}
				if errors.Is(err, syscall.ECONNREFUSED) {
					p.strike.Evidence = suspicion.Refuses
				}
			}
		})
	}
	probes.Wait()
}

// livesOn reports whether a broken call's server was there after the break: a later server that
// accepted the connection in its place would have announced itself.
func (s *strikes) livesOn(p pendingStrike, now time.Time) bool {
	return !p.acceptedAt.IsZero() && now.Sub(p.acceptedAt) > settleHeartbeats*s.gateway.options.Heartbeat
}

// record makes a strike of a broken call whose server ended.
func (s *strikes) record(p pendingStrike, after time.Duration) {
	strikeCount.Add(1)
	strikeLatency.Record(after)
	s.gateway.log.Warn("backend server ended while running a request", zap.Uint64("fingerprint", p.strike.Fingerprint),
		zap.String("server", p.strike.Server), zap.String("evidence", string(p.strike.Evidence)), zap.Int64("output", p.strike.OutputMillis), zap.Duration("after", after))
	s.gateway.mesh.Strike(p.strike)
}
