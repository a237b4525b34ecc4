// Package engine is a small stand-in for a model engine that speaks the OpenAI
// completion protocol and the LoRA load and unload orders. It serves tests,
// benchmarks and the demo; it models no hardware.
package engine

import (
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

// Options shape the stand-in.
type Options struct {
	// BaseModel is the model that answers without an adapter.
	BaseModel string
	// Slots is the number of adapters held at once.
	Slots int
	// Capacity is the most requests in one batch; others wait.
	Capacity int
	// Tokens is the length of an answer that names no max_tokens.
	Tokens int
	// TokenTime is the time between tokens.
	TokenTime time.Duration
	// LoadTime is the time that a load takes.
	LoadTime time.Duration
	// EnforceFencing refuses orders with a number below the highest seen.
	EnforceFencing bool
	// SlowLoads gives some names a load time of their own.
	SlowLoads map[string]time.Duration
	// FailLoads makes loads of these names fail.
	FailLoads []string
	// ReportLag delays the load report.
	ReportLag time.Duration
	// CrashMarker makes the engine restart when a prompt contains it.
	CrashMarker string
}

// Ran records one request that the engine began to run.
type Ran struct {
	RequestID string
	Model     string
	Prompt    string
}

// Engine is the stand-in's state across incarnations.
type Engine struct {
	options Options

	mu          sync.Mutex
	incarnation uint64
	loaded      []string
	inUse       map[string]int
	running     int
	waiting     int
	maxFencing  uint64
	ran         []Ran
	cancelled   int
	evicted     int
	report      Report
	reportAt    time.Time
	dead        chan struct{}
	batch       chan struct{}
}

// Report is the engine's view of its own load, served at /load.
type Report struct {
	Incarnation uint64   `json:"incarnation"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	Capacity    int      `json:"capacity"`
	Adapters    []string `json:"adapters"`
	// InUse lists the adapters that serve requests now.
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
	return &Engine{
		options:     options,
		incarnation: 1,
		inUse:       make(map[string]int),
		dead:        make(chan struct{}),
		batch:       make(chan struct{}, options.Capacity),
	}
}

// Handler serves the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/completions", e.complete)
	router.Post("/v1/chat/completions", e.complete)
	router.Post("/v1/load_lora_adapter", e.load)
	router.Post("/v1/unload_lora_adapter", e.unload)
	router.Get("/load", e.reportLoad)
	return router
}

// Restart empties the engine and cuts every request in flight.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

func (e *Engine) restart() {
	close(e.dead)
	e.dead = make(chan struct{})
	e.batch = make(chan struct{}, e.options.Capacity)
	e.incarnation++
	e.loaded = nil
	e.maxFencing = 0
	e.running, e.waiting = 0, 0
	clear(e.inUse)
}

// Ran returns the requests that the engine began to run, in order.
func (e *Engine) Ran() []Ran {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.ran)
}

// Loaded returns the adapters that the engine holds.
func (e *Engine) Loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.loaded)
}

// Cancelled counts requests whose caller left before the end.
func (e *Engine) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

// EvictedInUse counts unloads of adapters that were serving; it must stay 0.
func (e *Engine) EvictedInUse() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.evicted
}

type order struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	o, ok := e.readOrder(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	dead := e.dead
	e.mu.Unlock()
	select {
	case <-time.After(e.loadTime(o.Name)):
	case <-dead:
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.options.FailLoads, o.Name) {
		http.Error(w, "load failed", http.StatusInternalServerError)
		return
	}
	if slices.Contains(e.loaded, o.Name) {
		w.WriteHeader(http.StatusOK)
		return
	}
	if len(e.loaded) >= e.options.Slots {
		http.Error(w, "no free adapter slot", http.StatusConflict)
		return
	}
	e.loaded = append(e.loaded, o.Name)
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) loadTime(name string) time.Duration {
	if slow, ok := e.options.SlowLoads[name]; ok {
		return slow
	}
	return e.options.LoadTime
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	o, ok := e.readOrder(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inUse[o.Name] > 0 {
		e.evicted++
	}
	e.loaded = slices.DeleteFunc(e.loaded, func(name string) bool { return name == o.Name })
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) readOrder(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return o, false
	}
	number, _ := strconv.ParseUint(r.Header.Get(wire.HeaderFencing), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.EnforceFencing && number < e.maxFencing {
		http.Error(w, "fencing number is old", http.StatusPreconditionFailed)
		return o, false
	}
	e.maxFencing = max(e.maxFencing, number)
	return o, true
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

// servingAdapters lists the adapters in use. The caller holds mu.
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
	dead, batch, ok := e.admit(q.Model, r.Header.Get(wire.HeaderRequestID), q.text())
	if !ok {
		writeError(w, http.StatusNotFound, "the model "+q.Model+" does not exist")
		return
	}
	defer e.leave(q.Model, dead)
	select {
	case batch <- struct{}{}:
	case <-r.Context().Done():
		e.countCancelled()
		return
	case <-dead:
		panic(http.ErrAbortHandler)
	}
	defer func() { <-batch }()
	e.generate(w, r, q, dead)
}

// admit checks the model and pins it for the request.
func (e *Engine) admit(model, id, prompt string) (<-chan struct{}, chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if model != e.options.BaseModel && !slices.Contains(e.loaded, model) {
		return nil, nil, false
	}
	e.ran = append(e.ran, Ran{RequestID: id, Model: model, Prompt: prompt})
	dead, batch := e.dead, e.batch
	if e.options.CrashMarker != "" && strings.Contains(prompt, e.options.CrashMarker) {
		e.restart()
		return dead, batch, true
	}
	e.inUse[model]++
	e.running++
	return dead, batch, true
}

func (e *Engine) leave(model string, dead <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if dead != e.dead {
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

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, q completionRequest, dead <-chan struct{}) {
	writer := newAnswerWriter(w, r, q)
	ticker := time.NewTicker(max(e.options.TokenTime, time.Microsecond))
	defer ticker.Stop()
	for i := range q.MaxTokens {
		abortIfDead(dead)
		select {
		case <-dead:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			e.countCancelled()
			return
		case <-ticker.C:
		}
		// With a short token time both channels are ready, and select takes
		// either: an engine that crashed would answer after all.
		select {
		case <-dead:
			panic(http.ErrAbortHandler)
		default:
		}
		writer.token(i)
	}
	writer.finish()
}

// abortIfDead keeps a crashed engine from choosing its next token over its end.
func abortIfDead(dead <-chan struct{}) {
	select {
	case <-dead:
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

// TokenText is the text of the i-th token of an answer. It names the model and
// the request, so that a test sees when an answer reached the wrong caller.
func TokenText(model, requestID string, i int) string {
	return fmt.Sprintf("%s/%s/%d ", model, requestID, i)
}
