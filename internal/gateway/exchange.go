package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

// exchange is the state of one request while it is being served.
type exchange struct {
	*Gateway
	ctx context.Context
	// cancel ends ctx; givenUp is set before that where the entry itself ends the request.
	cancel  context.CancelFunc
	givenUp atomic.Bool
	call    Call
	route   *route.Route
	// team is the caller's; nil where the route needs no key. rank is the rank of its requests on the route.
	team *route.Team
	rank int
	// charged is what the request has taken from its team's limit.
	charged  float64
	table    *route.Table
	service  *route.Service
	arrived  time.Time
	deadline time.Time
	// version is the version of the configuration that routed the request.
	version uint64
	// known is what the request is known by; zero until it is needed.
	known suspicion.Request

	tried map[string]bool
	// tries counts the servers to which the request was offered, sends those to which it was
	// sent, and runs those that may have run it.
	tries int
	sends int
	runs  int
	// left is set once the caller was found to have left.
	left bool
	// lastReason is the reason why the last try failed; retryDelay is the time after which a
	// refused caller should retry.
	lastReason string
	retryDelay time.Duration
	// cause is the cause of the refusal if the request is refused for lastReason.
	cause cause
	// slow is the factor by which the last server's machine is slower than usual by its answer; 0 for none.
	slow float64
	// teamShare is the share of the request's team in percent; 0 until it is needed.
	teamShare int
	// behindUntil is the time until which the request goes behind others because its caller returned too soon; zero
	// for other requests.
	behindUntil time.Time
	// lacksRoom is set while the last reason is that no server had room in time. roomDelay is the expected delay of
	// the start at that moment.
	lacksRoom bool
	roomDelay time.Duration
	// crashes is set once the request is refused for the servers that it has crashed.
	crashes bool
	// picked is the chosen server as seen at the choice, offers counts the agents that declined
	// the request. waited is the time that starts took, first the time to the first event, and longestGap the longest gap
	// between events after it.
	picked     pick
	offers     dispatch.Offers
	waited     time.Duration
	first      time.Duration
	longestGap time.Duration
	eventAt    time.Time
	// starts counts the starts that were requested.
	starts int
	// denials counts the servers that were chosen and had no turn, turn is the server of which it has taken one;
	// nil where it names no rate.
	denials int
	turn    *server
	// awaitsTurnAt is the server that was chosen and of which no turn was taken yet; nil where it names no rate.
	awaitsTurnAt *server
	// grantedBy is the agent that granted the start; nil when none was asked.
	grantedBy *agentClient
	// awaited is the server to which the request was sent at sentAt and whose answer has not begun;
	// nil while there is none.
	awaited *server
	sentAt  time.Time
	// lineage binds a stream to the software version at which it began.
	lineage lineage
	// lastEvent is the ID of the last event that the caller has received.
	lastEvent string
	// status is the status that was sent to the caller, 0 before its header was sent;
	// streamHeader is the header with which an open stream began.
	status       int
	streamHeader http.Header
	// answered is set once a server's complete answer was recorded.
	answered bool
}

// step is the action that follows an offer to a server.
type step uint8

const (
	stepDone step = iota
	stepRetry
	stepFail
)

const (
	// maxTries limits the servers to which one request is offered, including those whose agents
	// refused the start.
	maxTries = 5
	// minRemaining is the time below which a try can no longer succeed: two one-way trips
	// between data centres and the shortest run.
	minRemaining = 15 * time.Millisecond
)

// crashRetryAfter is the retry delay for a request that crashes servers.
const crashRetryAfter = time.Minute

// run returns the answer for the caller: a server's answer, or the reason why there is none.
func (x *exchange) run() answer.Answer {
	if x.callerLeft() {
		return x.giveUp()
	}
	if refused, ok := x.precheck(); ok {
		return refused
	}
	if refused, ok := x.chargeTeam(); ok {
		return refused
	}
	x.checkReturn()
	x.budget.credit(x.service.Name, x.arrived)
	if x.service.Engine != nil && x.call.Model != "" {
		x.mesh.RecordDemand(x.call.Model)
	}
	for r := x.nextReply(); r != nil; r = x.nextReply() {
		opened, next := x.open(r)
		switch next {
		case stepDone:
			return opened
		case stepFail:
			return x.giveUp()
		}
	}
	return x.giveUp()
}

// callerLeft reports whether nobody waits for the answer any more. The context alone ends too late
// for a request that waited unread, or whose wait ended in the same moment.
func (x *exchange) callerLeft() bool {
	x.left = x.left || answer.CallerGone(x.ctx)
	return x.left
}

// precheck refuses requests that must not be sent to any server.
func (x *exchange) precheck() (answer.Answer, bool) {
	switch {
	case x.service == nil:
		return x.refuseFor(causeConfiguration, "the route's service is not known", minRetryAfter), true
	case x.mayOutlastStop():
		return x.refuseFor(causeStop, "this entry stops", 0), true
	case x.refusedForCrashes():
		return x.giveUp(), true
	case !x.findLineage():
		return x.giveUp(), true
	}
	return answer.Answer{}, false
}

// identity returns what the request, whose body has been read, is known by.
func (x *exchange) identity() suspicion.Request {
	if x.known.Fingerprint == 0 {
		x.known = x.call.request()
	}
	return x.known
}

func (x *exchange) fingerprint() uint64 { return x.identity().Fingerprint }

// refusedForCrashes reports whether the request must not be sent to another server: it has crashed
// too many, or several fell silent under it and another copy of it is on trial.
func (x *exchange) refusedForCrashes() bool {
	verdict := x.judge()
	return verdict == suspicion.Refuse || verdict == suspicion.Wait
}

// mayRun reports whether the request may be sent now, and begins its trial where it must run alone.
func (x *exchange) mayRun() bool {
	switch x.judge() {
	case suspicion.Run:
		return true
	case suspicion.RunAlone:
		return x.beginTrial()
	default:
		return false
	}
}

// judge asks what may be done with the request, and notes why it must not be sent.
func (x *exchange) judge() suspicion.Verdict {
	d := x.mesh.Decide(x.identity(), x.strikes.grace())
	switch d.Verdict {
	case suspicion.Refuse:
		x.refuseCrashing(d)
	case suspicion.Wait:
		x.refuseTried(d)
	}
	return d.Verdict
}

// beginTrial begins the trial of the request and reports whether this entry has it.
func (x *exchange) beginTrial() bool {
	if trials := x.mesh.BeginTrials(x.identity(), x.strikes.grace()); len(trials) > 0 {
		_ = wait.For(x.ctx, trialSettle)
		if x.mesh.HasTrials(trials) {
			return true
		}
	}
	x.refuseTried(suspicion.Decision{Left: minRetryAfter})
	return false
}

// refuseCrashing notes that the request, or a part of its prompt, has crashed too many servers.
func (x *exchange) refuseCrashing(d suspicion.Decision) {
	refusedCrashingCount.Add(1)
	x.crashes, x.cause = true, causeCrashing
	x.lastReason = "this request has crashed several backend servers"
	if d.Part != "" {
		refusedPartCount.Add(1)
		x.lastReason = "a part of this prompt has crashed several backend servers"
	}
	x.log.Info("request has crashed backend servers", zap.String("request", x.call.ID), zap.Uint64("fingerprint", x.fingerprint()), zap.String("part", d.Part))
}

// refuseTried notes that the request must wait for the trial of another one.
func (x *exchange) refuseTried(d suspicion.Decision) {
	refusedDoubtedCount.Add(1)
	x.cause = causeDoubted
	x.lastReason = "several backend servers fell silent while running this request, and a copy of it is on trial"
	if d.Part != "" {
		x.lastReason = "several backend servers ended or fell silent under a part of this prompt, and another request with it is on trial"
	}
	x.retryDelay = d.Left
	x.log.Info("request waits for the trial of a copy", zap.String("request", x.call.ID), zap.Uint64("fingerprint", x.fingerprint()), zap.String("part", d.Part),
		zap.Duration("wait", d.Left))
}

// trialSettle is the time in which entries that begin the same trial hear of each other.
const trialSettle = 25 * time.Millisecond

// nextReply offers the request to servers until one of them answers. It returns nil when the
// request is to be given up.
func (x *exchange) nextReply() *reply {
	for x.tries < maxTries && x.ctx.Err() == nil {
		x.tries++
		if time.Until(x.startDeadline()) < minRemaining {
			x.lastReason = "the time was up"
			if x.cause == "" {
				x.cause = causeNoRoom
			}
			return nil
		}
		r, next := x.tryServer()
		if r != nil {
			return r
		}
		if next == stepFail {
			return nil
		}
	}
	return nil
}

// tryServer offers the request to one server. If it returns no reply, the step says whether
// another server may be tried.
func (x *exchange) tryServer() (*reply, step) {
	x.lacksRoom = false
	v, picked := x.awaitConfirmed()
	if v == nil && x.runs == 0 {
		chosen := func() bool {
			v, picked = x.choose()
			return v != nil || picked.full
		}
		x.startupQueue.await(x.ctx, x.startDeadline().Add(-minRemaining), chosen)
	}
	x.picked = picked
	if v == nil && x.awaitTurn(picked.noTurnUntil) {
		x.tries--
		return nil, stepRetry
	}
	if v == nil {
		x.lastReason, x.retryDelay = x.noServerReason()
		return nil, stepFail
	}
	if x.originRestarted() {
		return nil, stepFail
	}
	query := x.query()
	if wait, hopeless := x.offers.Hopeless(&x.picked.Candidate, &query, time.Until(x.startDeadline())); hopeless {
		x.lastReason, x.retryDelay = "no engine can start it while its caller waits", wait
		x.cause = causeNoRoom
		x.recordNoRoom(wait)
		return nil, stepFail
	}
	x.tried[v.entry().ID] = true
	x.awaitTurnAt(v)
	defer x.endAwait()
	requestedAt := time.Now()
	granted, ok := x.start(v)
	x.waited += time.Since(requestedAt)
	if !ok {
		return nil, stepRetry
	}
	x.grantedBy = nil
	release := func() {}
	if granted {
		x.grantedBy = v.agent
		start := x.starts
		release = func() { v.agent.notifyEnded(x.call.ID, start, x.longestGap, x.route.Gap) }
	}
	r, next := x.offer(v)
	if r == nil {
		release()
		return nil, next
	}
	r.releases = append(r.releases, release)
	return r, next
}
