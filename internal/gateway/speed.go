package gateway

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// loadFaultCount counts the answers whose reported load cannot be read completely.
var loadFaultCount = telemetry.Counter("gateway_loads_unreadable")

// observeSpeed records the speed of the server's machine that an answer told, and counts a reported load that cannot be
// read completely. Such a load is logged once for each server and never excludes the server.
func (s *servers) observeSpeed(v *server, verdict Verdict, now time.Time) {
	if verdict.Slow == 0 && verdict.LoadFault == nil {
		return
	}
	s.mu.Lock()
	if verdict.Signed || verdict.NotRun {
		v.speed.Tell(verdict.Slow, now)
	}
	logged := v.loadFaultLogged
	v.loadFaultLogged = logged || verdict.LoadFault != nil
	s.mu.Unlock()
	if verdict.LoadFault == nil {
		return
	}
	loadFaultCount.Add(1)
	if !logged {
		s.log.Warn("backend server reported a load that cannot be read completely", zap.String("server", v.entry().ID), telemetry.Cause(verdict.LoadFault))
	}
}

// applySpeed applies the speed that the server's own answers told to its candidate. servers.mu must be held.
func applySpeed(v *server, c *dispatch.Candidate, now time.Time) {
	c.Slow = v.speed.Factor(now)
	c.Answer = v.speed.Scale(c.Answer, now)
}

// slowSince returns the higher of the factors that a server's last answer and its agent's last report told of its
// machine since a time; 0 if they told none.
func (s *servers) slowSince(v *server, at time.Time) float64 {
	s.mu.Lock()
	told, agent := v.speed.FactorSince(at), v.agent
	s.mu.Unlock()
	return max(told, agent.slowSince(at))
}

// percent converts a factor to percent, rounded.
func percent(factor float64) int { return int(math.Round(100 * factor)) }
