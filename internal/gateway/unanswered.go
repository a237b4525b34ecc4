package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// unanswered is a call without an answer. A server whose machine loses power under a request says
// nothing: the call stays open until its time is up or its caller leaves, and the request must not be
// sent to server after server meanwhile.
type unanswered struct {
	request suspicion.Request
	server  *server
	// sentAt is when the request was sent, or when its answer began.
	sentAt time.Time
}

const (
	// silentAfter is the time without any sign of a server after which it counts as silent under a
	// request, on a machine at its usual speed.
	silentAfter = 750 * time.Millisecond
	// slowReportAge is how long before a request was sent a report of a slow phase still extends the time for which its
	// server may be silent. Without the extension, all of 371 servers doubted on shared machines answered later.
	slowReportAge = time.Second
	// agentPatience is the time for which an agent that is not silent itself may owe a report of its
	// engine: those of other data centres come seldom.
	agentPatience = 2 * time.Second
	// maxSilences bounds the doubts of one look, which go to all entries.
	maxSilences = 32
	// heartbeatSlack is the time by which a server's heartbeat may come late at the entries.
	heartbeatSlack = 250 * time.Millisecond
)

// silentCount counts the calls under which servers fell silent.
var silentCount = telemetry.Counter("gateway_silent_servers")

// grace returns the time in which a server that lives is heard by some entry.
func (s *strikes) grace() time.Duration { return s.gateway.options.Heartbeat + heartbeatSlack }

// sent begins to watch a call; nil when too many are watched.
func (s *strikes) sent(request suspicion.Request, v *server, now time.Time) *unanswered {
	u := &unanswered{request: request, server: v, sentAt: now}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unanswered) >= maxPending {
		strikesDroppedCount.Add(1)
		return nil
	}
	s.unanswered[u] = true
	return u
}

// begun goes on to watch a call whose answer has begun: its server may fall silent behind the first events
// of a stream as well.
func (s *strikes) begun(u *unanswered, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u != nil && (s.unanswered[u] || len(s.unanswered) < maxPending) {
		u.sentAt = now
		s.unanswered[u] = true
	}
}

// settled ends the watch of a call that was answered, or whose answer got past its beginning, or whose connection
// broke.
func (s *strikes) settled(u *unanswered) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unanswered, u)
}

// silenceOf returns the time without a sign of a call's server after which the server counts as silent. It is longer in
// a slow phase of the server's machine.
func (s *strikes) silenceOf(u *unanswered) time.Duration {
	slow := s.gateway.servers.slowSince(u.server, u.sentAt.Add(-slowReportAge))
	return time.Duration(max(slow, 1) * float64(silentAfter))
}

// lookUnanswered reports the servers that have given no sign since a call began to run. The caller
// holds mu.
func (s *strikes) lookUnanswered(now time.Time) {
	// Calls that were open while this process stood still cannot be judged.
	stoodStill := now.Sub(s.lookedAt) > 2*settleInterval
	s.lookedAt = now
	if stoodStill {
		clear(s.unanswered)
	}
	doubts := 0
	for u := range s.unanswered {
		age := now.Sub(u.sentAt)
		if age < silentAfter || age < s.silenceOf(u) || age < agentPatience && s.gateway.servers.agentReports(u.server) {
			continue
		}
		delete(s.unanswered, u)
		if s.gateway.servers.heardAfter(u.server, u.sentAt.Add(suspicion.BeginTime)) {
			continue
		}
		if doubts++; doubts > maxSilences {
			strikesDroppedCount.Add(1)
			continue
		}
		silentCount.Add(1)
		s.gateway.log.Info("backend server gives no sign while running a request", zap.Uint64("fingerprint", u.request.Fingerprint), zap.Strings("parts", partIDs(u.request)), zap.String("server", u.server.entry().ID),
			zap.Duration("after", age), zap.Int("slowPercent", percent(s.gateway.servers.slowSince(u.server, u.sentAt.Add(-slowReportAge)))))
		strikes := append(mesh.PartStrikes(u.request), suspicion.Strike{Fingerprint: u.request.Fingerprint})
		for i := range strikes {
			strikes[i].Server, strikes[i].Silent, strikes[i].AgeMillis = u.server.entry().ID, true, age.Milliseconds()
		}
		s.gateway.mesh.Strike(strikes...)
	}
}
