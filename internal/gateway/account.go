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

// giveUp is what the caller gets when no server has an answer for it.
func (j *journey) giveUp() answer.Answer {
	if j.ctx.Err() != nil {
		j.gone()
		return answer.Answer{}
	}
	if j.runs == 0 {
		after := j.retryAfter()
		j.note("request not run", nil, http.StatusServiceUnavailable)
		return j.refuse(&j.call, j.last, after)
	}
	failedCount.Add(1)
	j.told = http.StatusBadGateway
	if time.Until(j.deadline) < leastLeft {
		j.told = http.StatusGatewayTimeout
	}
	j.note("request failed", nil, j.told)
	return answer.Text(j.told, j.ownHeader(&j.call), j.last)
}

// cut ends a stream in the middle.
func (j *journey) cut() answer.End {
	if j.ctx.Err() != nil {
		j.gone()
		return answer.Cut
	}
	failedCount.Add(1)
	j.note("stream cut", nil, 0)
	return answer.Cut
}

func (j *journey) gone() {
	goneCount.Add(1)
	j.note("caller gone", nil, 0)
}

// honouredShare is the most of its time left that a caller waits before it
// comes back.
const honouredShare = 3

// retryAfter spreads the callers that are told to come back, so that they do
// not all come at the moment at which it may work again.
func (j *journey) retryAfter() time.Duration {
	base := max(j.comeBack, retrySoon)
	spread := time.Duration(rand.Int64N(int64(base)/2 + 1))
	return min(base+spread, max(time.Until(j.deadline)/honouredShare, 0))
}

// note logs what became of the request, with what decided it.
func (j *journey) note(what string, v *server, status int) {
	server := ""
	if v != nil {
		server = v.entry.ID
	}
	j.log.Info(what, zap.String("request", j.call.ID), zap.String("route", j.route.Name), zap.String("service", j.service.Name),
		zap.Uint64("configuration", j.version), zap.String("adapter", j.call.Adapter), zap.String("server", server), zap.Int("status", status), zap.Int("told", j.told),
		zap.Int("arrivals", j.arrivals), zap.Int("runs", j.runs), zap.Duration("took", time.Since(j.arrived)),
		zap.Duration("first", j.first), zap.Duration("waited", j.waited), zap.Duration("longestGap", j.longestGap), zap.Int("prompt", j.call.PromptTokens), zap.Int("output", j.call.OutputTokens), zap.String("lastEvent", j.lastEvent),
		zap.Uint8("residence", uint8(j.seen.Residence)), zap.Int("running", j.seen.Running), zap.Int("waiting", j.seen.Waiting),
		zap.Duration("delay", j.seen.Delay), zap.Duration("age", j.seen.Age), zap.String("reason", j.last))
}

func (j *journey) answered(v *server, status int) {
	answeredCount.Add(1)
	if j.route.Kind == route.KindStream && status < http.StatusMultipleChoices {
		j.lengths.note(j.route.Name, time.Since(j.arrived))
	}
	if j.first == 0 {
		j.first = time.Since(j.arrived)
	}
	firstLatency.Record(j.first)
	if j.grantedBy != nil {
		startLatency.Record(j.waited)
	}
	late := j.first > j.route.Target || j.route.Gap > 0 && j.longestGap > j.route.Gap
	switch {
	case late:
		lateCount.Add(1)
		j.note("request answered late", v, status)
	case j.arrivals > 1 || ordinary(j.call.ID):
		j.note("request answered", v, status)
	}
}

// ordinaryShare is how many answers in time stand for one line in the log: an
// entry's volume then follows its failures, not its load.
const ordinaryShare = 16

// ordinary picks the same requests on every entry.
func ordinary(id string) bool { return xxhash.Sum64String(id)%ordinaryShare == 0 }

// noteEvent measures the time to the first event and the pauses behind it.
func (j *journey) noteEvent(now time.Time) {
	if j.eventAt.IsZero() {
		j.first = now.Sub(j.arrived)
		if j.grantedBy != nil {
			j.grantedBy.begun(j.call.ID, j.starts)
		}
	} else {
		j.longestGap = max(j.longestGap, now.Sub(j.eventAt))
	}
	j.eventAt = now
}
