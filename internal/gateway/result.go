package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/answer"
)

// giveUp returns the answer to a request that no server has answered.
func (x *exchange) giveUp() answer.Answer {
	x.returnCharge()
	if x.callerLeft() {
		x.callerGone()
		return answer.Answer{}
	}
	if x.runs == 0 {
		after := x.retryAfter()
		x.logResult("request not run", x.cause, nil, http.StatusServiceUnavailable)
		return x.refuseFor(x.cause, x.lastReason, after)
	}
	failedCount.Add(1)
	x.status = http.StatusBadGateway
	if time.Until(x.deadline) < minRemaining {
		x.status = http.StatusGatewayTimeout
	}
	x.logResult("request failed", "", nil, x.status)
	return answer.Text(x.status, x.ownHeader(&x.call), x.lastReason)
}

// abortStream ends an open stream before it is complete.
func (x *exchange) abortStream() answer.End {
	if x.answered {
		// The whole answer was recorded before it was passed on.
		return answer.Cut
	}
	if x.callerLeft() {
		x.callerGone()
		return answer.Cut
	}
	failedCount.Add(1)
	x.logResult("stream cut", "", nil, 0)
	return answer.Cut
}

func (x *exchange) callerGone() {
	callersGoneCount.Add(1)
	if x.awaited != nil {
		goneUnansweredCount.Add(1)
	}
	x.logResult("caller gone", "", x.awaited, 0)
}

// retryAfterDivisor limits the retry delay: a caller is asked to wait at most this fraction (one
// third) of the time that its request has left.
const retryAfterDivisor = 3

// retryAfter returns the delay after which the caller should retry. It adds jitter so that
// callers do not all return at the moment at which the service may work again.
func (x *exchange) retryAfter() time.Duration {
	if x.crashes {
		return crashRetryAfter
	}
	if x.lacksRoom {
		return x.retryAfterRoom()
	}
	base := max(x.retryDelay, minRetryAfter)
	spread := time.Duration(rand.Int64N(int64(base)/2 + 1))
	return min(base+spread, max(time.Until(x.deadline)/retryAfterDivisor, 0))
}

// logResult logs the outcome of the request together with the values that decided it. c is the cause of a late answer or
// a refusal, empty for other outcomes.
func (x *exchange) logResult(msg string, c cause, v *server, status int) {
	server := ""
	if v != nil {
		server = v.entry().ID
	}
	unanswered := time.Duration(0)
	if x.awaited != nil {
		unanswered = time.Since(x.sentAt)
	}
	fields := []zap.Field{zap.String("request", x.call.ID), zap.String("route", x.route.Name), zap.String("team", x.teamName()), zap.Int("share", x.teamShare), zap.String("service", x.service.Name),
		zap.Uint64("configuration", x.version), zap.String("adapter", x.call.Adapter), zap.String("server", server), zap.Int("status", status), zap.Int("told", x.status),
		zap.Int("arrivals", x.sends), zap.Int("runs", x.runs), zap.Duration("took", time.Since(x.arrived)),
		zap.Duration("first", x.first), zap.Duration("waited", x.waited), zap.Duration("longestGap", x.longestGap), zap.Duration("unanswered", unanswered),
		zap.Int("prompt", x.call.PromptTokens), zap.Int("output", x.call.OutputTokens), zap.Strings("parts", x.call.SharedParts),
		zap.String("lastEvent", x.lastEvent), zap.String("began", x.lineage.began), zap.String("resumes", x.call.Resumes),
		zap.Uint8("residence", uint8(x.picked.Residence)), zap.Int("running", x.picked.Running), zap.Int("waiting", x.picked.Waiting),
		zap.Duration("delay", x.picked.Delay), zap.Duration("age", x.picked.Age), zap.Int("declined", x.offers.DeclinedCount()), zap.String("reason", x.lastReason),
		zap.Int("holdAbove", x.picked.HoldAbove), zap.Duration("hold", x.picked.Hold)}
	x.log.Info(msg, append(fields, x.causeFields(c)...)...)
}

func (x *exchange) recordAnswer(r *reply) {
	v, status := r.server, r.response.Status
	answeredCount.Add(1)
	countRank(&answeredByRank, x.rank)
	x.answered = true
	x.proveWhole(r)
	if x.route.Kind == route.KindStream && status < http.StatusMultipleChoices {
		x.durations.record(x.route.Name, time.Since(x.arrived))
	}
	if x.first == 0 {
		x.first = time.Since(x.arrived)
	}
	if status < http.StatusMultipleChoices {
		firstServed.Reach()
	}
	firstLatency.Record(x.first)
	if x.grantedBy != nil {
		startLatency.Record(x.waited)
	}
	late := x.lateCause()
	switch {
	case late != "":
		countLate(late)
		x.logResult("request answered late", late, v, status)
	case x.sends > 1 || sampled(x.call.ID):
		x.logResult("request answered", "", v, status)
	}
}

// logSampling is the sampling rate of the log: one in this many successful answers within the
// target is logged, so that an entry's log volume follows its failures and not its load.
const logSampling = 16

// sampled reports whether the log sample contains the request. Every entry selects the same
// requests.
func sampled(id string) bool { return xxhash.Sum64String(id)%logSampling == 0 }

// recordEvent measures the time to the first event of a stream and the gaps between later ones, when a reply has
// delivered events.
func (x *exchange) recordEvent(r *reply, now time.Time) {
	if x.eventAt.IsZero() {
		x.first = now.Sub(x.arrived)
		firstServed.Reach()
		if x.grantedBy != nil {
			x.grantedBy.notifyFirstEvent(x.call.ID, x.starts, r.verdict.Slow, now.Sub(r.headerAt))
		}
	} else {
		x.longestGap = max(x.longestGap, now.Sub(x.eventAt))
	}
	x.eventAt = now
}
