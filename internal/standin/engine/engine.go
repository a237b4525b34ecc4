// Package engine is a small stand-in for a model engine. It implements the OpenAI
// completion protocol and the requests that load and unload LoRA adapters. It is
// used by tests, benchmarks and the demo and does not model hardware.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Options configure the stand-in.
type Options struct {
	// BaseModel is the name of the model that is served without an adapter.
	BaseModel string
	// Slots is the maximum number of adapters that are loaded at the same time.
	Slots int
	// Capacity is the maximum number of requests in one batch; further requests wait.
	// 0 means 16.
	Capacity int
	// Tokens is the length, in tokens, of the answer to a request without
	// max_tokens; 0 means 16.
	Tokens int
	// TokenTime is the time between tokens.
	TokenTime time.Duration
	// LoadTime is the duration of an adapter load.
	LoadTime time.Duration
	// EnforceFencing rejects load and unload requests with a fencing number below
	// the highest number seen.
	EnforceFencing bool
	// SlowLoads maps adapter names to load times that replace LoadTime.
	SlowLoads map[string]time.Duration
	// FailLoads lists the names of adapters that fail to load.
	FailLoads []string
	// ReportLag is how long a load report is cached before it is refreshed.
	ReportLag time.Duration
	// CrashMarker makes the engine restart when a prompt contains it.
	CrashMarker string
}

// StartedRequest records one request that the engine started to run.
type StartedRequest struct {
	RequestID string
	Model     string
	Prompt    string
}

// Engine is the stand-in engine. Its counters and its record of requests persist
// across restarts, each of which begins a new incarnation.
type Engine struct {
	options Options

	mu           sync.Mutex
	incarnation  uint64
	loaded       []string
	inUse        map[string]int
	running      int
	waiting      int
	maxFencing   uint64
	started      []StartedRequest
	cancelled    int
	evictedInUse int
	report       Report
	reportAt     time.Time
	restarted    chan struct{}
	batch        chan struct{}
	// resumed is closed unless the engine is held.
	resumed chan struct{}
}

// Report is the engine's view of its own load, served at /load.
type Report struct {
	Incarnation uint64   `json:"incarnation"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	Capacity    int      `json:"capacity"`
	Adapters    []string `json:"adapters"`
	// InUse lists the adapters that are serving requests.
	InUse []string `json:"inUse"`
}

// New returns an engine in its first incarnation.
func New(options Options) *Engine {
	if options.Capacity == 0 {
		options.Capacity = 16
	}
	if options.Tokens == 0 {
		options.Tokens = 16
	}
	resumed := make(chan struct{})
	close(resumed)
	return &Engine{
		options:     options,
		resumed:     resumed,
		incarnation: 1,
		inUse:       make(map[string]int),
		restarted:   make(chan struct{}),
		batch:       make(chan struct{}, options.Capacity),
	}
}

// Handler returns the handler for the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/completions", e.complete)
	router.Post("/v1/chat/completions", e.complete)
	router.Post("/v1/load_lora_adapter", e.load)
	router.Post("/v1/unload_lora_adapter", e.unload)
	router.Get("/load", e.reportLoad)
	return router
}

// Hold makes the engine give no more tokens until resume is called. Requests that run go on to do so.
func (e *Engine) Hold() (resume func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	resumed := make(chan struct{})
	e.resumed = resumed
	return sync.OnceFunc(func() { close(resumed) })
}

func (e *Engine) awaitResumed(ctx context.Context) {
	e.mu.Lock()
	resumed := e.resumed
	e.mu.Unlock()
	select {
	case <-resumed:
	case <-ctx.Done():
	}
}

// Restart simulates a restart: it unloads all adapters and aborts every request in
// flight.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

func (e *Engine) restart() {
	close(e.restarted)
	e.restarted = make(chan struct{})
	e.batch = make(chan struct{}, e.options.Capacity)
	e.incarnation++
	e.loaded = nil
	e.maxFencing = 0
	e.running, e.waiting = 0, 0
	clear(e.inUse)
}

// Started returns the requests that the engine started to run, in order.
func (e *Engine) Started() []StartedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.started)
}

// Loaded returns the names of the loaded adapters.
func (e *Engine) Loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.loaded)
}

// Cancelled returns the number of requests that callers cancelled before the end.
func (e *Engine) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

// EvictedInUse returns the number of unloads of adapters that were serving
// requests. It must stay 0.
func (e *Engine) EvictedInUse() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.evictedInUse
}

type loraRequest struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	request, ok := e.readLoRARequest(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	restarted := e.restarted
	e.mu.Unlock()
	select {
	case <-time.After(e.loadTime(request.Name)):
	case <-restarted:
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.options.FailLoads, request.Name) {
		http.Error(w, "load failed", http.StatusInternalServerError)
		return
	}
	if slices.Contains(e.loaded, request.Name) {
		w.WriteHeader(http.StatusOK)
		return
	}
	if len(e.loaded) >= e.options.Slots {
		http.Error(w, "no free adapter slot", http.StatusConflict)
		return
	}
	e.loaded = append(e.loaded, request.Name)
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) loadTime(name string) time.Duration {
	if slow, ok := e.options.SlowLoads[name]; ok {
		return slow
	}
	return e.options.LoadTime
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	request, ok := e.readLoRARequest(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inUse[request.Name] > 0 {
		e.evictedInUse++
	}
	e.loaded = slices.DeleteFunc(e.loaded, func(name string) bool { return name == request.Name })
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) readLoRARequest(w http.ResponseWriter, r *http.Request) (loraRequest, bool) {
	var request loraRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return request, false
	}
	fencing, _ := strconv.ParseUint(r.Header.Get(wire.HeaderFencing), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.EnforceFencing && fencing < e.maxFencing {
		http.Error(w, "fencing number is old", http.StatusPreconditionFailed)
		return request, false
	}
	e.maxFencing = max(e.maxFencing, fencing)
	return request, true
}

func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.reportAt.IsZero() || now.Sub(e.reportAt) >= e.options.ReportLag || e.report.Incarnation != e.incarnation {
		e.reportAt = now
		e.report = Report{
			Incarnation: e.incarnation,
			Running:     e.running,
			Waiting:     e.waiting,
			Capacity:    e.options.Capacity,
			Adapters:    slices.Clone(e.loaded),
			InUse:       e.servingAdapters(),
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.report)
}

// servingAdapters returns the sorted names of the adapters in use. The caller must
// hold mu.
func (e *Engine) servingAdapters() []string {
	names := []string{}
	for name, users := range e.inUse {
		if users > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (q completionRequest) text() string { return string(q.Prompt) + string(q.Messages) }

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	_, span := telemetry.StartServer(r, telemetry.SpanEngine)
	defer span.End()
	var q completionRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = e.options.Tokens
	}
	restarted, batch, ok := e.admit(q.Model, r.Header.Get(wire.HeaderRequestID), q.text())
	if !ok {
		writeError(w, http.StatusNotFound, "the model "+q.Model+" does not exist")
		return
	}
	defer e.release(q.Model, restarted)
	select {
	case batch <- struct{}{}:
	case <-r.Context().Done():
		e.countCancelled()
		return
	case <-restarted:
		panic(http.ErrAbortHandler)
	}
	defer func() { <-batch }()
	e.generate(w, r, q, restarted)
}

// admit checks that the model is loaded, records the request and marks the model
// as in use. It returns the channel that is closed when the engine restarts, the
// batch semaphore, and whether the model is loaded.
func (e *Engine) admit(model, id, prompt string) (<-chan struct{}, chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if model != e.options.BaseModel && !slices.Contains(e.loaded, model) {
		return nil, nil, false
	}
	e.started = append(e.started, StartedRequest{RequestID: id, Model: model, Prompt: prompt})
	restarted, batch := e.restarted, e.batch
	if e.options.CrashMarker != "" && strings.Contains(prompt, e.options.CrashMarker) {
		e.restart()
		return restarted, batch, true
	}
	e.inUse[model]++
	e.running++
	return restarted, batch, true
}

func (e *Engine) release(model string, restarted <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if restarted != e.restarted {
		return
	}
	e.inUse[model]--
	e.running--
}

func (e *Engine) countCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled++
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, q completionRequest, restarted <-chan struct{}) {
	writer := newAnswerWriter(w, r, q)
	ticker := time.NewTicker(max(e.options.TokenTime, time.Microsecond))
	defer ticker.Stop()
	for i := range q.MaxTokens {
		abortIfRestarted(restarted)
		e.awaitResumed(r.Context())
		select {
		case <-restarted:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			e.countCancelled()
			return
		case <-ticker.C:
		}
		// With a short token time both channels can be ready, and select picks one
		// at random: without this check a crashed engine could still answer.
		select {
		case <-restarted:
			panic(http.ErrAbortHandler)
		default:
		}
		writer.token(i)
	}
	writer.finish()
}

// abortIfRestarted aborts the request if the engine has restarted, so that a
// crashed engine does not generate another token.
func abortIfRestarted(restarted <-chan struct{}) {
	select {
	case <-restarted:
		panic(http.ErrAbortHandler)
	default:
	}
}

type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	var body errorBody
	body.Error.Message = message
	body.Error.Type = "invalid_request_error"
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// TokenText returns the text of the i-th token of an answer. The text contains the
// model and the request ID, so that a test can detect an answer that reached the
// wrong caller.
func TokenText(model, requestID string, i int) string {
	return fmt.Sprintf("%s/%s/%d ", model, requestID, i)
}
