package entry

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// inbound is one request of a caller, from its arrival until its answer is complete
// or cut.
type inbound struct {
	// id identifies the request on every hop.
	id string
	// readDeadline sets the deadline for reading the caller's body.
	readDeadline func(time.Time) error
	// cleanups are run in reverse order when the answer is complete or cut.
	cleanups []func()
	meter    meter
	// complete is true once a server's answer was relayed completely.
	complete bool
}

// addCleanup registers a function to run when the answer is complete or cut.
// Resources that a streamed answer uses must not be released when the handler
// returns.
func (in *inbound) addCleanup(cleanup func()) { in.cleanups = append(in.cleanups, cleanup) }

func (in *inbound) cleanUp() {
	for len(in.cleanups) > 0 {
		last := len(in.cleanups) - 1
		cleanup := in.cleanups[last]
		in.cleanups = in.cleanups[:last]
		cleanup()
	}
}

// reply is an answer to a caller and the outcome that it reports.
type reply struct {
	answer.Answer
	outcome outcome.Outcome
}

// handlerFunc answers one kind of request.
type handlerFunc func(in *inbound, r *http.Request) reply

// serve is the only function with access to a caller's connection: the answer that
// a handler returns is written by the answer package.
func (e *Entry) serve(h handlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		in := &inbound{id: uuid.NewString(), readDeadline: http.NewResponseController(w).SetReadDeadline}
		// Deferred, because an answer that is cut panics with http.ErrAbortHandler.
		defer in.cleanUp()
		answered := func(r *http.Request) answer.Answer {
			return e.receive(in, r, h).WithWriteTimeout(e.options.WriteTimeout)
		}
		answer.Handler(answered).ServeHTTP(w, r)
	})
}

// receive registers a request with the drain gate, checks the entry's freshness and
// calls the handler.
func (e *Entry) receive(in *inbound, r *http.Request, h handlerFunc) reply {
	requestCount.Add(1)
	if answer.CallerGone(r.Context()) {
		return reply{}
	}
	ctx, span := telemetry.StartServer(r, telemetry.SpanEntryRequest)
	in.addCleanup(func() { span.End() })
	dropInternal(r.Header)
	r.Header.Set(wire.HeaderRequestID, in.id)
	span.SetAttributes(telemetry.AttributeRequest.String(in.id))
	if !e.gate.Enter() {
		return in.fail(failure{status: http.StatusServiceUnavailable, code: codeDraining, message: "this entry is stopping", retryAfter: 1})
	}
	in.addCleanup(e.gate.Leave)
	if problem := e.checkFreshness(); problem != nil {
		return in.fail(*problem)
	}
	ctx, cancel, problem := withTimeout(ctx, r.Header)
	if problem != nil {
		return in.fail(*problem)
	}
	in.addCleanup(cancel)
	return h(in, r.WithContext(ctx))
}
