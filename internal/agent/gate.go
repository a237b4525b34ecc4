package agent

import (
	"context"
	"io"
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

// maxBodyBytes bounds a request's body; entries refuse larger ones by a lower
// bound from their settings.
const maxBodyBytes = 64 << 20

// HeaderSource carries the adapter's place in the weight store from the entry.
const HeaderSource = "Rosemarypass-Source"

// weightOf is the weight of a request among those that wait for loads. It
// grows with the logarithm of the contract's share: a load for a large contract
// goes first, but not so far that a small one would wait for minutes.
func weightOf(header http.Header) float64 {
	share, err := strconv.Atoi(header.Get(wire.HeaderShare))
	if err != nil || share < 1 {
		return 1
	}
	return 1 + math.Log2(float64(share))
}

// Handler serves requests from entries.
func (a *Agent) Handler() http.Handler {
	router := chi.NewRouter()
	serve := a.admitted(answer.Handler(a.serve))
	router.Method(http.MethodPost, "/v1/completions", serve)
	router.Method(http.MethodPost, "/v1/chat/completions", serve)
	router.Method(http.MethodGet, wire.PathRuns+"{request}", a.counted(answer.Handler(a.resume)))
	router.Method(http.MethodDelete, wire.PathRuns+"{request}", answer.Handler(a.cancelRun))
	router.Method(http.MethodGet, "/healthz", answer.Handler(func(*http.Request) answer.Answer { return answer.Full(http.StatusOK, nil, nil) }))
	return router
}

// Ready reports whether entries may send requests here.
func (a *Agent) Ready() bool { return !a.gate.Closed() && !a.closed.Load() }

// Leave refuses new work from now on.
func (a *Agent) Leave() { a.gate.Close() }

// Wait refuses new work, returns when no request is in flight or ctx ends, and
// says how many are left.
func (a *Agent) Wait(ctx context.Context) int { return a.gate.Wait(ctx) }

// admitted lets a request in until its answer is out, unless the agent leaves.
func (a *Agent) admitted(next http.Handler) http.Handler {
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

// counted lets the agent stop only behind an answer, also when it refuses new
// requests.
func (a *Agent) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.gate.Join()
		defer a.gate.Leave()
		next.ServeHTTP(w, r)
	})
}

func (a *Agent) serve(r *http.Request) answer.Answer {
	if a.closed.Load() {
		return refusal(http.StatusServiceUnavailable, "operators want no work here")
	}
	if err := a.awaitEngine(r.Context()); err != nil {
		return refusal(http.StatusServiceUnavailable, err.Error())
	}
	ref, err := catalogue.ParseRef(r.Header.Get(wire.HeaderModel))
	if err != nil {
		return refusal(http.StatusBadRequest, err.Error())
	}
	body, err := readWhole(r)
	if err != nil {
		// On a connection that goes on, the refusal would wait for the rest.
		return refusal(http.StatusBadRequest, err.Error()).WithConnectionClose()
	}
	leave, err := a.isolation.enter(r.Context(), r.Header.Get(wire.HeaderAlone) != "")
	if err != nil {
		return refusal(http.StatusServiceUnavailable, err.Error())
	}
	id := slots.RequestID(requestIDs.Add(1))
	if err := a.await(r, id, ref); err != nil {
		leave()
		return unstarted(err)
	}
	admittedCount.Add(1)
	started := a.start(r, ref, body, func() {
		a.finish(id)
		leave()
	})
	return started.answerFrom(r.Context(), 0)
}

// await waits until the adapter is pinned and the engine has a seat for the
// request, for the contract's longest wait in all.
func (a *Agent) await(r *http.Request, id slots.RequestID, ref catalogue.Ref) error {
	item := itemOf(r.Header, fairqueue.ID(id), time.Now())
	ctx, cancel := context.WithDeadline(r.Context(), item.Deadline)
	defer cancel()
	err := a.acquire(r.WithContext(ctx), id, ref)
	if err == nil {
		if err = a.seats.take(ctx, item); err == nil {
			return nil
		}
		a.release(id)
	}
	var over *waitError
	if !errors.As(err, &over) && r.Context().Err() == nil && ctx.Err() != nil {
		seatExpiredCount.Add(1)
		return &waitError{reason: fairqueue.ReasonExpired}
	}
	return err
}

// readWhole reads a request's body before anything is done for it. net/http
// notices that a peer left only once the body is read, and half a request must
// never reach the engine.
func readWhole(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	return body, errors.Wrap(err, "read body")
}

// refusal answers a request that did not run and will not.
func refusal(status int, message string) answer.Answer {
	refusedCount.Add(1)
	return answer.Text(status, http.Header{outcome.Header: {outcome.NotRun.String()}}, message)
}

// acquire waits until the adapter is loaded and pinned for the request.
func (a *Agent) acquire(r *http.Request, id slots.RequestID, ref catalogue.Ref) error {
	_, span := telemetry.Tracer().Start(r.Context(), telemetry.SpanAgentWait)
	defer span.End()
	span.SetAttributes(telemetry.AttributeModel.String(ref.String()))
	reply := make(chan verdict, 1)
	asked := requested{
		id: id, ref: ref, source: r.Header.Get(HeaderSource), weight: weightOf(r.Header),
		patient: r.Header.Get(wire.HeaderMayDecline) == "", reply: reply,
	}
	select {
	case a.requests <- asked:
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
		// The request may have been started meanwhile: cancelled follows
		// requested through the same ring and releases it in either case.
		a.sendCancel(cancelled{id: id})
		return errors.Wrap(errNotRun, "the caller left")
	}
}

// finish gives back the seat and the pin of a request that ran.
func (a *Agent) finish(id slots.RequestID) {
	a.seats.free(fairqueue.ID(id))
	a.release(id)
}

func (a *Agent) release(id slots.RequestID) { a.sendEnd(released{id: id}) }
