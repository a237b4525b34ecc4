package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// Steps of the start of an entry.
var (
	firstRequest = telemetry.ProcessStart().Step("firstRequest", telemetry.Counter("start_first_request_millis"))
	// serverKnown is reached when a backend server is known to accept work, agentReported when the first agent
	// reported the state of its engine.
	serverKnown   = telemetry.ProcessStart().Step("serverKnown", telemetry.Counter("start_server_known_millis"))
	agentReported = telemetry.ProcessStart().Step("agentReported", telemetry.Counter("start_agent_reported_millis"))
	// firstServed is reached when a caller got the first event or the whole of a server's good answer.
	firstServed = telemetry.ProcessStart().Step("firstServed", telemetry.Counter("start_first_served_millis"))
)

// startReportDelay is the time from the first request served to the line about the start: steps that this request
// did not need may come later.
const startReportDelay = 3 * time.Second

// reportStart logs, once, when this entry reached the steps of its start.
func (g *Gateway) reportStart(now time.Time) {
	if since, served := firstServed.Since(now); g.startReported || !served || since < startReportDelay {
		return
	}
	g.startReported = true
	fields := append(telemetry.ProcessStart().Fields(), zap.Int("processes", len(g.mesh.Known())), zap.Int64("requests", requestCount.Value()),
		zap.Int64("refused", refusedCount.Value()), zap.Int64("overLimit", overLimitCount.Value()))
	g.log.Info("entry serves", fields...)
}
