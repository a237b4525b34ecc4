package gateway

import (
	"context"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

func (j *journey) choose() (*server, dispatch.Candidate) {
	return j.servers.choose(context.Background(), j.service, dispatch.Request{
		Adapter: j.call.Adapter, DataCentre: j.options.DataCentre, Tokens: j.tokens(), Tried: j.tried,
		Rank: j.route.Priority, Target: j.route.Target, Spent: time.Since(j.arrived),
	}, j.call.Model)
}

func (j *journey) tokens() int { return j.call.PromptTokens + j.call.OutputTokens }

// start asks the agent for a start. granted is false where no agent could be
// asked and the engine holds what is needed; ok is false when another server
// should be tried.
func (j *journey) start(v *server) (granted, ok bool) {
	if v.agent == nil {
		return false, true
	}
	state, _ := v.agent.snapshot()
	if !state.Known {
		return false, true
	}
	left := time.Until(j.startBy())
	if j.seen.Residence == dispatch.Resident {
		left = min(left, longestStart)
	}
	if left <= 0 {
		j.last = "no engine could start it while its caller waits"
		return false, false
	}
	ctx, cancel := context.WithDeadline(j.ctx, j.deadline)
	defer cancel()
	j.starts++
	reply, err := v.agent.admit(ctx, wire.StartRequest{
		ID: j.call.ID, Try: j.starts, Adapter: j.call.Adapter, Version: j.mesh.Documents().Current().State.Adapters[j.call.Adapter],
		Rank: j.route.Priority, Prompt: j.call.PromptTokens, Tokens: j.tokens(), Parts: j.call.Parts,
		TargetMillis: max(j.route.Target-time.Since(j.arrived), 0).Milliseconds(), WaitMillis: left.Milliseconds(),
	})
	switch {
	case err != nil:
		j.last = "the engine's agent did not answer"
		return false, false
	case !reply.Start:
		j.last = "the engine's agent refused the start: " + reply.Reason
		return false, false
	}
	return true, true
}

// longestStart is how long a request waits at one agent for its turn; another
// engine may be free by then. For an adapter under way it waits on: another
// engine would only ask the store for the same adapter again.
const longestStart = 1200 * time.Millisecond

// Callers leave a stream that shows nothing for the longest of these, as the
// platform's pages have it: a pause of their own, a multiple of the target, a
// multiple of the longest pause they hope for.
const (
	patienceLeast   = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
	// readReserve is what is kept of that for the first event after the start.
	readReserve = 350 * time.Millisecond
)

// startBy is when a start is of no use any more. A stream that goes on at another
// server has its caller's patience anew from its last event.
func (j *journey) startBy() time.Time {
	if j.route.Kind != route.KindStream {
		return j.deadline
	}
	patience := max(patienceLeast, patienceTargets*j.route.Target, patienceGaps*j.route.Gap)
	from := j.arrived
	if j.eventAt.After(from) {
		from = j.eventAt
	}
	by := from.Add(patience - readReserve)
	if by.After(j.deadline) {
		return j.deadline
	}
	return by
}

// untilServers is when servers of the service may be back: engines that lost
// all they held bring the base model from their disks first.
func (j *journey) untilServers() time.Duration {
	if j.service.Engine == nil {
		return retrySoon
	}
	longest := retrySoon
	for _, m := range j.service.Engine.Models {
		longest = max(longest, m.DiskTime)
	}
	return longest
}
