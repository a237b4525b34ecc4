// Package entry is the thin role behind the platform's balancer: it
// authenticates callers, admits requests under their contracts, chooses a
// backend server and relays the answer.
package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/propagation"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/placement"
	"github.com/rosemarypass/rosemarypass/internal/agent"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	requestCount  = telemetry.Counter("entry_requests")
	answeredCount = telemetry.Counter("entry_answered")
	notRunCount   = telemetry.Counter("entry_not_run")
	unknownCount  = telemetry.Counter("entry_unknown")
)

// Options configure an entry.
type Options struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// MaxAttempts is the most servers that one request is offered to.
	MaxAttempts int
	// Placement tunes the choice of backend servers.
	Placement placement.SelectorOptions
}

const defaultMaxAttempts = 3

// Entry serves callers.
type Entry struct {
	options  Options
	log      *zap.Logger
	follower *follow.Follower
	client   *http.Client
	placer   *placer
	inFlight sync.WaitGroup
	draining atomic.Bool
}

// New returns an entry that reads its configuration from the follower.
func New(options Options, follower *follow.Follower, client *http.Client, log *zap.Logger) *Entry {
	if options.MaxAttempts == 0 {
		options.MaxAttempts = defaultMaxAttempts
	}
	return &Entry{
		options:  options,
		log:      log,
		follower: follower,
		client:   client,
		placer:   newPlacer(options.Placement, follower.Servers),
	}
}

// Handler serves callers and the platform.
func (e *Entry) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", e.ready)
	router.Group(func(callers chi.Router) {
		callers.Use(e.trackRequest)
		callers.Post("/v1/completions", e.complete)
		callers.Post("/v1/chat/completions", e.complete)
		callers.HandleFunc("/services/{service}/*", e.callService)
	})
	return router
}

// Drain makes the entry not ready and refuses new requests.
func (e *Entry) Drain() { e.draining.Store(true) }

// Wait returns when no request is in flight.
func (e *Entry) Wait() { e.inFlight.Wait() }

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.draining.Load() || !e.follower.Freshness().MayAdmit() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Entry) trackRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Done()
		requestCount.Add(1)
		ctx := telemetry.Propagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := telemetry.Tracer().Start(ctx, "entry.request")
		defer span.End()
		id := uuid.NewString()
		r.Header.Set(wire.HeaderRequestID, id)
		w.Header().Set(wire.HeaderRequestID, id)
		if e.draining.Load() {
			fail(w, failure{status: http.StatusServiceUnavailable, code: codeDraining, message: "this entry is stopping"})
			return
		}
		if problem := e.unconfirmed(); problem != nil {
			fail(w, *problem)
			return
		}
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

type callerBody struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

func (e *Entry) complete(w http.ResponseWriter, r *http.Request) {
	customer, problem := e.authenticate(r)
	if problem != nil {
		fail(w, *problem)
		return
	}
	body, problem := e.readBody(w, r)
	if problem != nil {
		fail(w, *problem)
		return
	}
	adapter, problem := e.resolve(customer, body)
	if problem != nil {
		fail(w, *problem)
		return
	}
	r.Header.Set(wire.HeaderModel, adapter.Ref.String())
	r.Header.Set(agent.HeaderSource, adapter.Source)
	e.send(w, r, call{
		request:    placement.Request{Kind: membership.KindEngine, Ref: adapter.Ref, BaseModel: adapter.BaseModel},
		path:       r.URL.Path,
		body:       body,
		idempotent: true,
	})
}

func (e *Entry) authenticate(r *http.Request) (contract.Contract, *failure) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return contract.Contract{}, &failure{status: http.StatusUnauthorized, code: codeUnknownKey, message: "a key is required: Authorization: Bearer KEY"}
	}
	customer, ok := e.follower.Config().ContractByKey(key)
	if !ok {
		return contract.Contract{}, &failure{status: http.StatusUnauthorized, code: codeUnknownKey, message: "the key belongs to no contract"}
	}
	r.Header.Del("Authorization")
	return customer, nil
}

func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *failure) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.options.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &failure{status: http.StatusRequestEntityTooLarge, code: codeBodyTooLarge, message: "the body is larger than this entry accepts"}
	}
	if err != nil {
		return nil, &failure{status: http.StatusBadRequest, code: codeMalformed, message: "the body could not be read"}
	}
	return body, nil
}

func (e *Entry) resolve(customer contract.Contract, body []byte) (catalogue.Adapter, *failure) {
	var parsed callerBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return catalogue.Adapter{}, &failure{status: http.StatusBadRequest, code: codeMalformed, message: "the body is not valid JSON"}
	}
	ref, err := catalogue.ParseRef(parsed.Model)
	if err != nil {
		return catalogue.Adapter{}, &failure{status: http.StatusBadRequest, code: codeMalformed, message: err.Error()}
	}
	if !customer.AllowsAdapter(ref.Adapter) {
		return catalogue.Adapter{}, &failure{status: http.StatusForbidden, code: codeNotInContract, message: "the contract does not cover adapter " + ref.Adapter}
	}
	adapter, ok := e.follower.Config().Adapter(ref)
	if !ok {
		return catalogue.Adapter{}, &failure{status: http.StatusNotFound, code: codeUnknownModel, message: "there is no adapter " + ref.String()}
	}
	return adapter, nil
}

func (e *Entry) callService(w http.ResponseWriter, r *http.Request) {
	customer, problem := e.authenticate(r)
	if problem != nil {
		fail(w, *problem)
		return
	}
	name, path := chi.URLParam(r, "service"), "/"+chi.URLParam(r, "*")
	service, ok := e.follower.Config().Service(name)
	if !ok || !customer.AllowsService(name) {
		fail(w, failure{status: http.StatusNotFound, code: codeUnknownService, message: "the contract covers no service " + name})
		return
	}
	route, ok := service.Match(r.Method, path)
	if !ok {
		fail(w, failure{status: http.StatusNotFound, code: codeUnknownRoute, message: "the service declares no such route"})
		return
	}
	if route.RequireKey && r.Header.Get(wire.HeaderIdempotencyKey) == "" {
		fail(w, failure{status: http.StatusBadRequest, code: codeKeyRequired, message: "this route requires an Idempotency-Key"})
		return
	}
	body, problem := e.readBody(w, r)
	if problem != nil {
		fail(w, *problem)
		return
	}
	e.send(w, r, call{
		request:    placement.Request{Kind: membership.KindService, Pool: name},
		path:       path,
		body:       body,
		idempotent: route.Idempotent,
	})
}

// call is a request that was admitted and may be offered to servers.
type call struct {
	request    placement.Request
	path       string
	body       []byte
	idempotent bool
}

// send offers the call to servers until one may have run it.
func (e *Entry) send(w http.ResponseWriter, r *http.Request, c call) {
	for range e.options.MaxAttempts {
		server, ok := e.placer.pick(c.request)
		if !ok {
			break
		}
		if done := e.attempt(w, r, c, server); done {
			return
		}
		c.request.Exclude = append(c.request.Exclude, server.Server)
	}
	fail(w, failure{status: http.StatusServiceUnavailable, code: codeNoServer, message: "no backend server can take the request now", retryAfter: 1})
}

// attempt offers the call to one server. It returns false only when the server
// certainly did not run it and nothing was written to the caller.
func (e *Entry) attempt(w http.ResponseWriter, r *http.Request, c call, server placement.Server) bool {
	ran := time.Duration(0)
	defer func() { e.placer.finished(server.Server, c.request.Ref, ran) }()
	began := time.Now()
	response, err := e.forward(r.Context(), r, c, server)
	if err != nil {
		return e.afterError(w, c, err)
	}
	defer response.Body.Close()
	if said, _ := outcome.Parse(response.Header.Get(outcome.Header)); said == outcome.NotRun {
		return false
	}
	defer func() { ran = time.Since(began) }()
	e.relayAnswer(w, c, response)
	return true
}

func (e *Entry) forward(ctx context.Context, r *http.Request, c call, server placement.Server) (*http.Response, error) {
	url := "http://" + server.Address + c.path
	if r.URL.RawQuery != "" {
		url += "?" + r.URL.RawQuery
	}
	request, err := relay.NewRequest(ctx, r.Method, url, bytes.NewReader(c.body), int64(len(c.body)))
	if err != nil {
		return nil, err
	}
	relay.CopyHeader(request.Header, r.Header)
	telemetry.Propagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	return e.client.Do(request)
}

func (e *Entry) afterError(w http.ResponseWriter, c call, err error) bool {
	if neverSent(err) || c.idempotent {
		return false
	}
	fail(w, failure{status: http.StatusBadGateway, code: codeUnknownOutcome, message: "the server gave no answer; the call may have run"})
	return true
}

func (e *Entry) relayAnswer(w http.ResponseWriter, c call, response *http.Response) {
	if ran := response.Header.Get(wire.HeaderRan); c.request.Kind == membership.KindEngine && ran != c.request.Ref.String() {
		fail(w, failure{status: http.StatusBadGateway, code: codeWrongModel, message: "the answer came from another model"})
		return
	}
	id := w.Header().Get(wire.HeaderRequestID)
	relay.CopyHeader(w.Header(), response.Header)
	w.Header().Set(wire.HeaderRequestID, id)
	said := outcome.Answered
	if response.Header.Get(outcome.Header) == outcome.Unknown.String() {
		said = outcome.Unknown
	}
	w.Header().Set(outcome.Header, said.String())
	w.WriteHeader(response.StatusCode)
	if _, err := relay.Stream(w, response.Body); err != nil {
		unknownCount.Add(1)
		panic(http.ErrAbortHandler)
	}
	answeredCount.Add(1)
}
