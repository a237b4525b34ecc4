package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/answer"
)

// journey is one request on its way.
type journey struct {
	*Gateway
	ctx      context.Context
	call     Call
	route    *route.Route
	service  *route.Service
	arrived  time.Time
	deadline time.Time
	// version is that of the configuration by which it was routed.
	version uint64

	tried map[string]bool
	// tries counts the offers to servers, arrivals the servers that it was sent to,
	// runs those that may have run it.
	tries    int
	arrivals int
	runs     int
	// last is why the last try did not end well, comeBack when a caller that is
	// refused should come back.
	last     string
	comeBack time.Duration
	// seen is the chosen server as it looked; waited is how long the start took,
	// first the time to the first event, longestGap the longest pause behind it.
	seen       dispatch.Candidate
	waited     time.Duration
	first      time.Duration
	longestGap time.Duration
	eventAt    time.Time
	// starts counts the starts that were asked for.
	starts int
	// grantedBy is the agent that granted the start, nil when none was asked.
	grantedBy *agentClient
	// lastEvent is the last event that the caller has.
	lastEvent string
	// told is the status that the caller was given, 0 before its header went out;
	// opened is the header that an open stream began with.
	told   int
	opened http.Header
}

// step is what to do after a try.
type step uint8

const (
	stepDone step = iota
	stepAgain
	stepFail
)

const (
	// maxTries bounds how often one request is offered, starts that agents
	// refused included.
	maxTries = 5
	// leastLeft is the time below which a try cannot end well any more: two
	// ways between data centres and the shortest run.
	leastLeft = 15 * time.Millisecond
)

// refuseCrashing is when a request that crashes servers may be asked for again.
const refuseCrashing = time.Minute

// run returns what the caller gets: a server's answer, or why there is none.
func (j *journey) run() answer.Answer {
	if refused, ok := j.refusedAtOnce(); ok {
		return refused
	}
	j.budget.began(j.service.Name, j.arrived)
	if j.service.Engine != nil && j.call.Model != "" {
		j.mesh.NoteDemand(j.call.Model)
	}
	for r := j.next(); r != nil; r = j.next() {
		opened, next := j.open(r)
		switch next {
		case stepDone:
			return opened
		case stepFail:
			return j.giveUp()
		}
	}
	return j.giveUp()
}

// refusedAtOnce refuses what no server should be asked for.
func (j *journey) refusedAtOnce() (answer.Answer, bool) {
	switch {
	case j.service == nil:
		return j.refuse(&j.call, "the route's service is not known", retrySoon), true
	case j.stopsTooSoon():
		return j.refuse(&j.call, "this entry stops", 0), true
	case j.strikes.held(&j.call):
		heldCount.Add(1)
		return j.refuse(&j.call, "this request has crashed several backend servers", refuseCrashing), true
	}
	return answer.Answer{}, false
}

// next offers the request to servers until one of them answers. It returns nil
// when the request is to be given up.
func (j *journey) next() *reply {
	for j.tries < maxTries && j.ctx.Err() == nil {
		j.tries++
		if time.Until(j.startBy()) < leastLeft {
			j.last = "the time was up"
			return nil
		}
		r, next := j.try()
		if r != nil {
			return r
		}
		if next == stepFail {
			return nil
		}
	}
	return nil
}

// try offers the request to one server. Without a reply the step says whether
// another one may be tried.
func (j *journey) try() (*reply, step) {
	v, seen := j.choose()
	if v == nil && j.runs == 0 {
		found := func() bool {
			v, seen = j.choose()
			return v != nil
		}
		j.room.await(j.ctx, j.startBy().Add(-leastLeft), found)
	}
	j.seen = seen
	if v == nil {
		j.last, j.comeBack = "no backend server of the service is there", j.untilServers()
		return nil, stepFail
	}
	if left := time.Until(j.startBy()); seen.Residence == dispatch.Absent && j.call.Adapter != "" && seen.Delay+seen.LoadTime > left {
		j.last, j.comeBack = "the adapter cannot be brought while its caller waits", seen.LoadTime
		return nil, stepFail
	}
	if seen.Delay > time.Until(j.startBy()) {
		j.last, j.comeBack = "the queues of all engines are longer than its caller waits", seen.Delay
		return nil, stepFail
	}
	j.tried[v.entry.ID] = true
	asked := time.Now()
	granted, ok := j.start(v)
	j.waited += time.Since(asked)
	if !ok {
		return nil, stepAgain
	}
	j.grantedBy = nil
	release := func() {}
	if granted {
		j.grantedBy = v.agent
		start := j.starts
		release = func() { v.agent.ended(j.call.ID, start, j.longestGap, j.route.Gap) }
	}
	r, next := j.offer(v)
	if r == nil {
		release()
		return nil, next
	}
	r.held = append(r.held, release)
	return r, next
}

// stopsTooSoon is true when a stream may not end before this entry does. Of a route
// without streams so far no more is known than how long it allows them.
func (j *journey) stopsTooSoon() bool {
	until := j.stopping.Load()
	if until == 0 || j.route.Kind != route.KindStream {
		return false
	}
	most := j.lengths.most(j.route.Name)
	if most == 0 {
		most = j.route.Timeout
	}
	return time.Until(time.Unix(0, until)) < most
}
