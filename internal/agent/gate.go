package agent

import (
	"net/http"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/propagation"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/slots"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var requestIDs atomic.Uint64

var (
	admittedCount = telemetry.Counter("agent_requests_admitted")
	refusedCount  = telemetry.Counter("agent_requests_refused")
)

// HeaderSource carries the adapter's place in the weight store from the entry.
const HeaderSource = "Rosemarypass-Source"

// Handler serves requests from entries.
func (a *Agent) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/completions", a.serve)
	router.Post("/v1/chat/completions", a.serve)
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return router
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Done()
	ctx := telemetry.Propagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := telemetry.Tracer().Start(ctx, "agent.serve")
	defer span.End()
	r = r.WithContext(ctx)

	ref, err := catalogue.ParseRef(r.Header.Get(wire.HeaderModel))
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if a.refusesWork() {
		refuse(w, http.StatusServiceUnavailable, "the server is leaving")
		return
	}
	a.sources.Store(ref, r.Header.Get(HeaderSource))
	id := slots.RequestID(requestIDs.Add(1))
	if err := a.acquire(r, id, ref); err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	defer a.release(id)
	admittedCount.Add(1)
	a.dispatch(w, r, ref)
}

func refuse(w http.ResponseWriter, status int, message string) {
	refusedCount.Add(1)
	w.Header().Set(outcome.Header, outcome.NotRun.String())
	http.Error(w, message, status)
}

// acquire waits until the adapter is loaded and pinned for the request.
func (a *Agent) acquire(r *http.Request, id slots.RequestID, ref catalogue.Ref) error {
	reply := make(chan verdict, 1)
	select {
	case a.requests <- requested{id: id, ref: ref, reply: reply}:
	default:
		return errors.Wrap(errNotRun, string(slots.ReasonQueueFull))
	}
	select {
	case v := <-reply:
		if !v.start {
			return errors.Wrap(errNotRun, string(v.reason))
		}
		return nil
	case <-r.Context().Done():
		a.sendCancel(cancelled{id: id})
		return errors.Wrap(errNotRun, "the caller left")
	}
}

func (a *Agent) release(id slots.RequestID) { a.sendEnd(released{id: id}) }

func (a *Agent) dispatch(w http.ResponseWriter, r *http.Request, ref catalogue.Ref) {
	request, err := relay.NewRequest(r.Context(), r.Method, a.options.Engine+r.URL.Path, r.Body, r.ContentLength)
	if err != nil {
		refuse(w, http.StatusInternalServerError, err.Error())
		return
	}
	relay.CopyHeader(request.Header, r.Header)
	telemetry.Propagator().Inject(r.Context(), propagation.HeaderCarrier(request.Header))
	response, err := a.client.Do(request)
	if err != nil {
		w.Header().Set(outcome.Header, outcome.Unknown.String())
		http.Error(w, "the engine gave no answer", http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		a.sendEnd(adapterLost{ref: ref})
		refuse(w, http.StatusServiceUnavailable, "the engine lost the adapter")
		return
	}
	relay.CopyHeader(w.Header(), response.Header)
	w.Header().Set(wire.HeaderRan, ref.String())
	w.WriteHeader(response.StatusCode)
	if _, err := relay.Stream(w, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
