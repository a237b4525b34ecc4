package gateway

import (
	"expvar"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/residency"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// cause tells in the log why a request was refused, or in which way its answer was late. The reason beside it is the
// text that the caller gets.
type cause string

// Causes of late answers.
const (
	causeLateFirst cause = "first"
	causeLatePause cause = "pause"
	causeLateBoth  cause = "both"
)

// Causes of refusals.
const (
	// causeOverShare means that the limit of the caller's team does not cover the request.
	causeOverShare cause = "over_share"
	// causeNoRoom means that no server can start the request while its caller waits.
	causeNoRoom cause = "no_room"
	// causeNoTurn means that each server is at the rate that it names.
	causeNoTurn cause = "no_turn"
	// causeNoServer means that no server is there or that none could be reached.
	causeNoServer cause = "no_server"
	// causeCrashing means that the request has crashed servers.
	causeCrashing cause = "crashing"
	// causeDoubted means that servers fell silent under the request and a copy of it is on trial.
	causeDoubted cause = "doubted"
	// causeVersion means that a stream cannot go on at the software version at which it began.
	causeVersion cause = "version"
	// causeStop means that the entry stops before the request could end.
	causeStop cause = "stop"
	// causeMemory means that the bodies of requests hold as much memory as they may.
	causeMemory cause = "memory"
	// causeConfiguration means that the entry's configuration does not suffice to serve.
	causeConfiguration cause = "configuration"
)

var (
	// The counters of late answers by cause add up to lateCount.
	lateFirstCount = telemetry.Counter("gateway_late_first")
	latePauseCount = telemetry.Counter("gateway_late_pause")
	lateBothCount  = telemetry.Counter("gateway_late_both")

	refusedOverShareCount = telemetry.Counter("gateway_refused_over_share")
	refusedNoRoomCount    = telemetry.Counter("gateway_refused_no_room")
)

// countedRanks is the number of ranks that are counted one by one; the last one stands for all higher ranks too.
const countedRanks = 4

var (
	answeredByRank = [countedRanks]*expvar.Int{
		telemetry.Counter("gateway_answered_rank_0"), telemetry.Counter("gateway_answered_rank_1"),
		telemetry.Counter("gateway_answered_rank_2"), telemetry.Counter("gateway_answered_rank_3"),
	}
	refusedByRank = [countedRanks]*expvar.Int{
		telemetry.Counter("gateway_refused_rank_0"), telemetry.Counter("gateway_refused_rank_1"),
		telemetry.Counter("gateway_refused_rank_2"), telemetry.Counter("gateway_refused_rank_3"),
	}
)

// countRank counts a request of a rank.
func countRank(counters *[countedRanks]*expvar.Int, rank int) {
	counters[min(max(rank, 0), countedRanks-1)].Add(1)
}

// lateCause returns in which way the answer was late; empty if it was in time.
func (x *exchange) lateCause() cause {
	first, pause := x.first > x.route.Target, x.route.Gap > 0 && x.longestGap > x.route.Gap
	switch {
	case first && pause:
		return causeLateBoth
	case first:
		return causeLateFirst
	case pause:
		return causeLatePause
	}
	return ""
}

// countLate counts an answer that was late.
func countLate(c cause) {
	lateCount.Add(1)
	switch c {
	case causeLateFirst:
		lateFirstCount.Add(1)
	case causeLatePause:
		latePauseCount.Add(1)
	case causeLateBoth:
		lateBothCount.Add(1)
	}
}

// countRefused counts a refusal by its cause and by the rank of the request.
func (x *exchange) countRefused(c cause) {
	countRank(&refusedByRank, x.rank)
	switch c {
	case causeOverShare:
		refusedOverShareCount.Add(1)
	case causeNoRoom:
		refusedNoRoomCount.Add(1)
	}
}

// refuseFor returns the answer to a request that has not run and will not run.
func (x *exchange) refuseFor(c cause, reason string, after time.Duration) answer.Answer {
	x.countRefused(c)
	return x.refuseWith(&x.call, reason, after, x.causeFields(c)...)
}

// causeFields returns the log fields that explain a late or refused request.
func (x *exchange) causeFields(c cause) []zap.Field {
	return []zap.Field{zap.String("cause", string(c)), zap.Int("rank", x.rank), zap.Int("slowPercent", x.slowPercent())}
}

// slowPercent returns how long work took on the machine of the request's server, in percent of the usual time: by the
// server's answer, else as known when the server was chosen; 0 where it is unknown.
func (x *exchange) slowPercent() int {
	if x.slow > 0 {
		return percent(x.slow)
	}
	return percent(x.picked.Slow)
}

// startCause returns the cause of a refusal that follows from an agent's refusal to start the request.
func startCause(reply *wire.StartReply) cause {
	switch residency.Reason(reply.Reason) {
	case residency.ReasonLeaving, residency.ReasonRestarted:
		return causeNoServer
	}
	if !reply.State.Known {
		// The agent has no report of its engine.
		return causeNoServer
	}
	return causeNoRoom
}
