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

// visit is one request of a caller, from its arrival until its answer is out.
type visit struct {
	// id identifies the request on every hop.
	id string
	// readDeadline bounds how long the caller may take to send its body.
	readDeadline func(time.Time) error
	// ends are run when the answer is out or was cut, the last one first.
	ends  []func()
	meter meter
	// whole is true once the whole of a server's answer was passed on.
	whole bool
}

// atEnd has a function run when the answer is out or was cut. What an answer
// needs on its way cannot be ended when a handler returns.
func (v *visit) atEnd(end func()) { v.ends = append(v.ends, end) }

func (v *visit) end() {
	for len(v.ends) > 0 {
		last := len(v.ends) - 1
		end := v.ends[last]
		v.ends = v.ends[:last]
		end()
	}
}

// reply is what a caller gets, and what that says of its request's fate.
type reply struct {
	answer.Answer
	said outcome.Outcome
}

// handle answers one kind of request.
type handle func(v *visit, r *http.Request) reply

// serve is the only place where a caller's connection is seen: what a handler
// returns is written by the answer package.
func (e *Entry) serve(h handle) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v := &visit{id: uuid.NewString(), readDeadline: http.NewResponseController(w).SetReadDeadline}
		// Deferred, because an answer that breaks off panics with
		// ErrAbortHandler.
		defer v.end()
		answered := func(r *http.Request) answer.Answer {
			return e.receive(v, r, h).WithWriteTimeout(e.options.WriteTimeout)
		}
		answer.Handler(answered).ServeHTTP(w, r)
	})
}

// receive lets a request in and handles it.
func (e *Entry) receive(v *visit, r *http.Request, h handle) reply {
	requestCount.Add(1)
	ctx, span := telemetry.StartServer(r, telemetry.SpanEntryRequest)
	v.atEnd(func() { span.End() })
	dropInternal(r.Header)
	r.Header.Set(wire.HeaderRequestID, v.id)
	span.SetAttributes(telemetry.AttributeRequest.String(v.id))
	if !e.gate.Enter() {
		return v.fail(failure{status: http.StatusServiceUnavailable, code: codeDraining, message: "this entry is stopping", retryAfter: 1})
	}
	v.atEnd(e.gate.Leave)
	if problem := e.unconfirmed(); problem != nil {
		return v.fail(*problem)
	}
	ctx, cancel, problem := withTimeout(ctx, r.Header)
	if problem != nil {
		return v.fail(*problem)
	}
	v.atEnd(cancel)
	return h(v, r.WithContext(ctx))
}
