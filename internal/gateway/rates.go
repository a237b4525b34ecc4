package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

var (
	// sentAtRateCount counts the requests that were sent to servers that name a rate.
	sentAtRateCount = telemetry.Counter("gateway_sent_at_rate")
	// rateFaultCount counts the answers whose rate cannot be read.
	rateFaultCount = telemetry.Counter("gateway_rates_unreadable")
	// noTurnCount counts the requests that were refused since each server that could serve them was at its rate.
	noTurnCount = telemetry.Counter("gateway_refused_no_turn")
)

const (
	// atRateInterval is the interval at which requests to a server that names a rate are logged.
	atRateInterval = 2 * time.Second
	// rateFaultInterval is the least time between two lines about rates of a server that cannot be read.
	rateFaultInterval = 10 * time.Second
)

// observeRate records the rate that an answer names, or that it names none. Only what the server itself says
// shows that it names none any more; a rate that cannot be read changes nothing.
func (s *servers) observeRate(v *server, verdict Verdict, sentAt time.Time) {
	switch {
	case verdict.RateFault != nil:
		rateFaultCount.Add(1)
		s.logRateFault(v, verdict.RateFault)
	case verdict.NamesRate:
		s.mesh.RateNamed(v.life(), verdict.Rate)
	case verdict.Signed || verdict.NotRun:
		s.mesh.RateNotNamed(v.life(), sentAt)
	}
}

func (s *servers) logRateFault(v *server, fault error) {
	now := time.Now()
	s.mu.Lock()
	due := now.Sub(v.rateFaultAt) >= rateFaultInterval
	if due {
		v.rateFaultAt = now
	}
	s.mu.Unlock()
	if due {
		s.log.Warn("backend server named a rate that cannot be read", zap.String("server", v.entry().ID), telemetry.Cause(fault))
	}
}

// countAtRate counts a request that is sent to a server that names a rate, and logs their number from time to
// time. The caller holds mu.
func (s *servers) countAtRate(v *server, now time.Time) {
	sentAtRateCount.Add(1)
	if v.atRate == 0 {
		v.atRateSince = now
	}
	v.atRate++
	if elapsed := now.Sub(v.atRateSince); elapsed >= atRateInterval {
		s.log.Info("requests sent to a backend server that names a rate", zap.String("server", v.entry().ID), zap.Int("requests", v.atRate), zap.Duration("within", elapsed))
		v.atRate = 0
	}
}
