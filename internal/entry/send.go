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

// call is a request that was admitted and may be offered to servers.
type call struct {
	request placement.Request
	// contract is the ID of the caller's contract.
	contract string
	// ask is what the call asks of its contract's limits.
	ask        Ask
	path       string
	body       []byte
	idempotent bool
	// fingerprint identifies the request when it is suspected of a crash;
	// it is empty where nothing is suspected. suspect is true when it was at
	// a server that crashed.
	fingerprint suspicion.Fingerprint
	suspect     bool
	// once is set for a call that must run at most once.
	once *once
	// wait is what is left of the contract's longest wait.
	wait *waitBudget
	// declined lists the servers that had no adapter slot for the call;
	// patient is true once it waits for one.
	declined []string
	patient  bool
}

// send offers the call to servers until one answers, one may have run a call
// that must not run twice, or no further attempt is allowed.
func (e *Entry) send(v *visit, r *http.Request, c call) reply {
	e.retries.began(c.contract)
	doubt := false
	for attempt := 1; ; attempt++ {
		server, ok := e.place(&c)
		if !ok {
			break
		}
		declines := len(c.declined)
		got, problem := e.try(v, r, &c, server)
		if problem != nil {
			return v.fail(problem.after(doubt))
		}
		if len(c.declined) > declines && r.Context().Err() == nil {
			attempt--
			continue
		}
		if got.said == outcome.Answered {
			return reply{got.answer, got.said}
		}
		doubt = doubt || got.said == outcome.Unknown
		if c.wait.over() || !e.retries.again(r.Context(), c, attempt, got.said) {
			break
		}
		c.request.Exclude = append(c.request.Exclude, server.Server)
	}
	problem := gaveUp(r.Context(), doubt)
	if refused, ok := c.wait.failure(); ok && problem.code == codeNoServer {
		problem = refused
	}
	if doubt && !c.idempotent && c.once == nil {
		// To resend this call could run it twice: invite nobody to do so.
		problem.retryAfter = 0
	}
	return v.fail(problem)
}

// try offers the call to a server, in a trial when it is a suspect.
func (e *Entry) try(v *visit, r *http.Request, c *call, server placement.Server) (attempted, *failure) {
	attempt := func(r *http.Request) attempted {
		got := e.attempt(v, r, *c, server)
		c.suspect = c.suspect || got.crashed
		if got.declined {
			declinedCount.Add(1)
			c.declined = append(c.declined, server.Server)
		}
		return got
	}
	if !c.suspect || e.options.Suspicions == nil {
		return attempt(r), nil
	}
	t, problem := e.beginTrial(r.Context(), c.fingerprint)
	if problem != nil {
		e.placer.finished(server.Server, c.request.Ref, 0)
		return attempted{said: outcome.NotRun}, problem
	}
	if t == nil {
		c.suspect = false
		return attempt(r), nil
	}
	return e.tryAlone(v, r, t, attempt), nil
}

// gaveUp is the answer when no attempt brought one. doubt is true when a
// server may have run the call. It goes out at once and tells when to come back.
func gaveUp(ctx context.Context, doubt bool) failure {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case doubt && late:
		return failure{status: http.StatusGatewayTimeout, code: codeUnknownOutcome, message: "the time that the caller set is over; the call may have run", retryAfter: 1}
	case doubt:
		return failure{status: http.StatusBadGateway, code: codeUnknownOutcome, message: "no server gave an answer; the call may have run", retryAfter: 1}
	case late:
		return failure{status: http.StatusGatewayTimeout, code: codeDeadline, message: "the time that the caller set is over", retryAfter: 1}
	default:
		return failure{status: http.StatusServiceUnavailable, code: codeNoServer, message: "no backend server can take the request now", retryAfter: 1}
	}
}

// gated reports whether a gate of this system stands before the server, whose
// word on a request's outcome counts. A plain service may set any header.
func gated(server membership.Announcement) bool { return server.Agent }
