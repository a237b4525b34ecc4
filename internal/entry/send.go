package entry

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/placement"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
)

// call is a request that may be sent to servers.
type call struct {
	request placement.Request
	// contract is the ID of the caller's contract.
	contract string
	// admission is the call's request for admission under its contract.
	admission  AdmissionRequest
	path       string
	body       []byte
	idempotent bool
	// fingerprint identifies the request for suspicions of a crash; it is empty for
	// calls of plain services, which are never suspected. suspect is true if the
	// request ran on a server that crashed.
	fingerprint suspicion.Fingerprint
	suspect     bool
	// claim is set if the call must run at most once.
	claim *claimAttempt
	// wait is the remaining part of the contract's longest wait.
	wait *waitBudget
	// declined lists the servers that had no free adapter slot for the call.
	// waitForSlot is true once the call waits at a server for a slot.
	declined    []string
	waitForSlot bool
}

// send sends the call to one server after another until one answers, one may have
// run a call that must not run twice, or no further attempt is allowed.
func (e *Entry) send(in *inbound, r *http.Request, c call) reply {
	e.retries.recordRequest(c.contract)
	inDoubt := false
	for attempt := 1; ; attempt++ {
		server, ok := e.pickServer(&c)
		if !ok {
			break
		}
		declinedBefore := len(c.declined)
		result, problem := e.tryServer(in, r, &c, server)
		if problem != nil {
			return in.fail(problem.withDoubt(inDoubt))
		}
		if len(c.declined) > declinedBefore && r.Context().Err() == nil {
			attempt--
			continue
		}
		if result.outcome == outcome.Answered {
			return reply{result.answer, result.outcome}
		}
		inDoubt = inDoubt || result.outcome == outcome.Unknown
		if c.wait.exhausted() || !e.retries.waitForRetry(r.Context(), c, attempt, result.outcome) {
			break
		}
		c.request.Exclude = append(c.request.Exclude, server.Server)
	}
	problem := noAnswer(r.Context(), inDoubt)
	if refused, ok := c.wait.failure(); ok && problem.code == codeNoServer {
		problem = refused
	}
	if inDoubt && !c.idempotent && c.claim == nil {
		// A resend could run this call twice, so the caller is not invited to
		// retry.
		problem.retryAfter = 0
	}
	return in.fail(problem)
}

// tryServer sends the call to a server, in a trial if the call is a suspect.
func (e *Entry) tryServer(in *inbound, r *http.Request, c *call, server placement.Server) (attemptResult, *failure) {
	attempt := func(r *http.Request) attemptResult {
		result := e.attempt(in, r, *c, server)
		c.suspect = c.suspect || result.crashed
		if result.declined {
			declinedCount.Add(1)
			c.declined = append(c.declined, server.Server)
		}
		return result
	}
	if !c.suspect || e.options.Suspicions == nil {
		return attempt(r), nil
	}
	t, problem := e.beginTrial(r.Context(), c.fingerprint)
	if problem != nil {
		e.placer.finished(server.Server, c.request.Ref, 0)
		return attemptResult{outcome: outcome.NotRun}, problem
	}
	if t == nil {
		c.suspect = false
		return attempt(r), nil
	}
	return e.runTrial(in, r, t, attempt), nil
}

// noAnswer returns the failure for a call that no attempt answered. inDoubt is true
// if a server may have run the call. The failure is sent immediately and has a
// retry time for the caller.
func noAnswer(ctx context.Context, inDoubt bool) failure {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case inDoubt && late:
		return failure{status: http.StatusGatewayTimeout, code: codeUnknownOutcome, message: "the time that the caller set is over; the call may have run", retryAfter: 1}
	case inDoubt:
		return failure{status: http.StatusBadGateway, code: codeUnknownOutcome, message: "no server gave an answer; the call may have run", retryAfter: 1}
	case late:
		return failure{status: http.StatusGatewayTimeout, code: codeDeadline, message: "the time that the caller set is over", retryAfter: 1}
	default:
		return failure{status: http.StatusServiceUnavailable, code: codeNoServer, message: "no backend server can take the request now", retryAfter: 1}
	}
}

// hasAgent reports whether the server is reached through an agent of this system.
// Only an agent's report of a request's outcome is trusted, because a plain service
// may set any header.
func hasAgent(server membership.Announcement) bool { return server.Agent }
