package agent

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/fairqueue"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/slots"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/intake"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var requestIDs atomic.Uint64

var (
	admittedCount = telemetry.Counter("agent_requests_admitted")
	refusedCount  = telemetry.Counter("agent_requests_refused")
	declinedCount = telemetry.Counter("agent_requests_declined")
	unknownCount  = telemetry.Counter("agent_requests_unknown")
)

// maxBodyBytes is the maximum size of a request body. Entries refuse bodies
// above a lower limit from their settings.
const maxBodyBytes = 64 << 20

// HeaderSource is the header in which an entry sends the adapter's location in
// the weight store.
const HeaderSource = "Rosemarypass-Source"

// loadWeight returns the weight of a request among those that wait for loads.
// It grows with the logarithm of the contract's share: a load for a large
// contract goes first, but not at the price of a wait of minutes for a small
// contract.
func loadWeight(header http.Header) float64 {
	share, err := strconv.Atoi(header.Get(wire.HeaderShare))
	if err != nil || share < 1 {
		return 1
	}
	return 1 + math.Log2(float64(share))
}

// Handler returns the HTTP handler that serves requests from entries.
func (a *Agent) Handler() http.Handler {
	router := chi.NewRouter()
	serve := a.withAdmission(answer.Handler(a.serve))
	router.Method(http.MethodPost, "/v1/completions", serve)
	router.Method(http.MethodPost, "/v1/chat/completions", serve)
	router.Method(http.MethodGet, wire.PathRuns+"{request}", a.withInFlight(answer.Handler(a.resume)))
	router.Method(http.MethodDelete, wire.PathRuns+"{request}", answer.Handler(a.cancelRun))
	router.Method(http.MethodGet, "/healthz", answer.Handler(func(*http.Request) answer.Answer { return answer.Full(http.StatusOK, nil, nil) }))
	return router
}

// Ready reports whether entries may send requests to this agent.
func (a *Agent) Ready() bool { return !a.gate.Closed() && !a.operatorClosed.Load() }

// Leave makes the agent refuse new requests.
func (a *Agent) Leave() { a.gate.Close() }

// Wait makes the agent refuse new requests, waits until no request is in flight
// or ctx ends, and returns the number of requests still in flight.
func (a *Agent) Wait(ctx context.Context) int { return a.gate.Wait(ctx) }

// withAdmission counts a request as in flight until its answer is written. It
// refuses the request if the agent is shutting down.
func (a *Agent) withAdmission(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.gate.Enter() {
			answer.Handler(refuseLeaving).ServeHTTP(w, r)
			return
		}
		defer a.gate.Leave()
		ctx, span := telemetry.StartServer(r, telemetry.SpanAgentServe)
		defer span.End()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func refuseLeaving(*http.Request) answer.Answer {
	return refusal(http.StatusServiceUnavailable, "the server is leaving")
}

// withInFlight counts a request as in flight until its answer is written, so
// that the agent does not stop before. Unlike withAdmission it also admits
// requests while the agent is shutting down.
func (a *Agent) withInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.gate.Join()
		defer a.gate.Leave()
		next.ServeHTTP(w, r)
	})
}

func (a *Agent) serve(r *http.Request) answer.Answer {
	if a.operatorClosed.Load() {
		return refusal(http.StatusServiceUnavailable, "operators want no work here")
	}
	if err := a.awaitEngine(r.Context()); err != nil {
		return refusal(http.StatusServiceUnavailable, err.Error())
	}
	ref, err := catalogue.ParseRef(r.Header.Get(wire.HeaderModel))
	if err != nil {
		return refusal(http.StatusBadRequest, err.Error())
	}
	holding := a.options.Intake.Begin(func() { answer.EndRead(r.Context()) })
	body, err := a.readBody(r, holding)
	if err != nil {
		holding.Release()
		// The rest of the body is unread. On a kept-alive connection the server
		// would have to read it before the refusal could be sent.
		return refusal(bodyStatus(err), err.Error()).WithConnectionClose()
	}
	leaveIsolation, err := a.isolation.enter(r.Context(), r.Header.Get(wire.HeaderIsolated) != "")
	if err != nil {
		holding.Release()
		return refusal(http.StatusServiceUnavailable, err.Error())
	}
	leave := func() {
		leaveIsolation()
		holding.Release()
	}
	id := slots.RequestID(requestIDs.Add(1))
	if err := a.awaitAdmission(r, id, ref); err != nil {
		leave()
		return admissionRefusal(err)
	}
	if answer.CallerGone(r.Context()) {
		a.finish(id)
		leave()
		return answer.Answer{}
	}
	admittedCount.Add(1)
	started := a.start(r, ref, body, func() {
		a.finish(id)
		leave()
	})
	return started.answerFrom(r.Context(), 0)
}

// awaitAdmission waits until the adapter is pinned and the request has a seat
// at the engine. Both waits together are bounded by the contract's maximum
// wait.
func (a *Agent) awaitAdmission(r *http.Request, id slots.RequestID, ref catalogue.Ref) error {
	item := queueItem(r.Header, fairqueue.ID(id), time.Now())
	ctx, cancel := context.WithDeadline(r.Context(), item.Deadline)
	defer cancel()
	err := a.acquireSlot(r.WithContext(ctx), id, ref)
	if err == nil {
		if err = a.seats.acquire(ctx, item); err == nil {
			return nil
		}
		a.releaseSlot(id)
	}
	var waitErr *waitError
	if !errors.As(err, &waitErr) && r.Context().Err() == nil && ctx.Err() != nil {
		seatExpiredCount.Add(1)
		return &waitError{reason: fairqueue.ReasonExpired}
	}
	return err
}

// readBody reads the whole request body before any other work is done for the
// request. net/http detects a disconnected client only after the body has been
// read, and a partial request must never reach the engine. A body for which the
// memory limit leaves no room even if it is alone counts as too large.
func (a *Agent) readBody(r *http.Request, holding *intake.Holding) ([]byte, error) {
	limit := int64(maxBodyBytes)
	if largest := a.options.Intake.LargestBody(); largest > 0 {
		limit = min(limit, largest)
	}
	body, err := holding.ReadRequest(r, limit)
	return body, errors.Wrap(err, "read body")
}

// bodyStatus returns the status of the refusal of a request whose body could not be read.
func bodyStatus(err error) int {
	if errors.Is(err, intake.ErrNoRoom) {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// refusal returns the answer to a request that has not run and will not run.
func refusal(status int, message string) answer.Answer {
	refusedCount.Add(1)
	return answer.Text(status, http.Header{outcome.Header: {outcome.NotRun.String()}}, message)
}

// acquireSlot waits until the adapter is loaded and pinned for the request.
func (a *Agent) acquireSlot(r *http.Request, id slots.RequestID, ref catalogue.Ref) error {
	_, span := telemetry.Tracer().Start(r.Context(), telemetry.SpanAgentWait)
	defer span.End()
	span.SetAttributes(telemetry.AttributeModel.String(ref.String()))
	reply := make(chan verdict, 1)
	request := requested{
		id: id, ref: ref, source: r.Header.Get(HeaderSource), weight: loadWeight(r.Header),
		waitForSlot: r.Header.Get(wire.HeaderMayDecline) == "", reply: reply,
	}
	select {
	case a.requests <- request:
	default:
		return errors.Wrap(errNotRun, string(slots.ReasonQueueFull))
	}
	select {
	case v := <-reply:
		if v.reason == slots.ReasonNoSlot {
			declinedCount.Add(1)
			return errNoSlot
		}
		if !v.start {
			return errors.Wrap(errNotRun, string(v.reason))
		}
		return nil
	case <-r.Context().Done():
		// The request may have been started in the meantime. The cancelled
		// event follows the requested event through the same queue and releases
		// the slot in either case.
		a.sendCancel(cancelled{id: id})
		return errors.Wrap(errNotRun, "the caller left")
	}
}

// finish releases the seat and the pin of a request that ran.
func (a *Agent) finish(id slots.RequestID) {
	a.seats.release(fairqueue.ID(id))
	a.releaseSlot(id)
}

func (a *Agent) releaseSlot(id slots.RequestID) { a.sendPriority(released{id: id}) }
