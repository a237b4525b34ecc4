package gateway

import (
	"context"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

func (x *exchange) choose() (*server, pick) {
	return x.servers.choose(context.Background(), x.service, x.query(), x.call.Model, &x.lineage)
}

// query describes the request to the choice of a server.
func (x *exchange) query() dispatch.Request {
	return dispatch.Request{
		Adapter: x.call.Adapter, DataCentre: x.options.DataCentre, Prompt: x.call.PromptTokens, Tokens: x.tokens(), Tried: x.tried,
		Rank: x.rank, Target: x.route.Target, Spent: time.Since(x.arrived), Left: max(time.Until(x.startDeadline()), 0), WithinShare: x.withinShare(),
	}
}

func (x *exchange) tokens() int { return x.call.PromptTokens + x.call.OutputTokens }

// start requests a start from the agent of the picked server. granted is false when there is no
// agent to ask and the engine holds what the request needs; the request may then be sent without
// a start. ok is false when another server should be tried.
func (x *exchange) start(v *server) (granted, ok bool) {
	if !v.agent.isKnown() {
		if x.servers.mayStartUnasked(v, x.call.Adapter) {
			return false, true
		}
		// The agent was there when the engine was chosen.
		x.lastReason, x.cause = "the engine's agent is gone, and the engine has not announced the adapter in a version that may start", causeNoServer
		return false, false
	}
	left := time.Until(x.startDeadline())
	if left <= 0 {
		x.lastReason, x.cause = "no engine could start it while its caller waits", causeNoRoom
		x.recordNoRoom(x.picked.Delay)
		return false, false
	}
	ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
	defer cancel()
	x.starts++
	query := x.query()
	conditions := x.offers.Conditions(x.picked.Choice, &x.picked.Candidate, left)
	requestedAt := time.Now()
	config := x.mesh.Documents().Current()
	reply, err := v.agent.admit(ctx, wire.StartRequest{
		ID: x.call.ID, Attempt: x.starts, Engine: v.entry().ID, Born: v.entry().Born, Adapter: x.call.Adapter,
		Version: config.State.Adapters[x.call.Adapter], VersionAgeMillis: config.VersionAge(x.call.Adapter, requestedAt).Milliseconds(),
		Rank: x.rank, Team: x.teamName(), Prompt: x.call.PromptTokens, Tokens: x.tokens(),
		TargetMillis: max(x.route.Target-query.Spent, 0).Milliseconds(), GapMillis: x.route.Gap.Milliseconds(), WaitMillis: x.offers.Wait(&x.picked.Candidate, &query, left).Milliseconds(),
		MaxDelayMillis: conditions.MaxDelay.Milliseconds(), OnlyIfHeld: conditions.OnlyIfHeld,
		Share: x.share(), BehindMillis: x.behind().Milliseconds(),
	})
	if err == nil {
		v.agent.recordOffer(&x.picked, conditions, x.rank, x.call.PromptTokens, time.Since(requestedAt), &reply)
	}
	switch {
	case err != nil:
		x.lastReason, x.cause = "the engine's agent did not answer", causeNoServer
		return false, false
	case reply.Declined:
		x.offers.Declined()
		x.tries--
		delete(x.tried, v.entry().ID)
		fallthrough
	case !reply.Start:
		if startCause(&reply) == causeNoRoom {
			x.recordNoRoom(max(x.picked.Delay, announcedDelay(&reply.State, x.rank)))
		}
		x.lastReason, x.cause = "the engine's agent refused the start: "+reply.Reason, startCause(&reply)
		return false, false
	case x.lineage.bound && !v.agent.runs(v.entry().Born):
		v.agent.notifyDone(x.call.ID, x.starts)
		x.lastReason, x.cause = "the engine has restarted", causeNoServer
		return false, false
	}
	x.shares.started(x.teamName(), x.tokens(), time.Now())
	return true, true
}

// A caller abandons a stream that has delivered no event for its timeout. As documented for the
// platform, that is the longest of a fixed time, a multiple of the target, and a multiple of the
// route's gap.
const (
	minCallerTimeout       = 2 * time.Second
	callerTimeoutPerTarget = 4
	callerTimeoutPerGap    = 8
	// firstEventReserve is the part of that timeout that is reserved for the first event
	// after the start.
	firstEventReserve = 350 * time.Millisecond
)

// startDeadline returns the time by which a start must be granted. For a stream that is resumed
// at another server, the caller's timeout counts from the last event.
func (x *exchange) startDeadline() time.Time {
	if x.route.Kind != route.KindStream {
		return x.deadline
	}
	timeout := max(minCallerTimeout, callerTimeoutPerTarget*x.route.Target, callerTimeoutPerGap*x.route.Gap)
	from := x.arrived
	if x.eventAt.After(from) {
		from = x.eventAt
	}
	deadline := from.Add(timeout - firstEventReserve)
	if deadline.After(x.deadline) {
		return x.deadline
	}
	return deadline
}

// serversRetryAfter returns the time in which servers of the service may be back. Engines that
// lost everything first load the base model from their disks.
func (x *exchange) serversRetryAfter() time.Duration {
	if x.service.Engine == nil {
		return minRetryAfter
	}
	longest := minRetryAfter
	for _, m := range x.service.Engine.Models {
		longest = max(longest, m.DiskTime)
	}
	return longest
}
