package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// fakeEngine answers orders and completions after a random virtual time.
type fakeEngine struct {
	mu       sync.Mutex
	random   *rand.Rand
	loaded   map[string]bool
	inUse    map[string]int
	evicted  int
	unloaded int
}

func (e *fakeEngine) RoundTrip(r *http.Request) (*http.Response, error) {
	var data []byte
	if r.Body != nil {
		data, _ = io.ReadAll(r.Body)
	}
	var body struct {
		Name  string `json:"lora_name"`
		Model string `json:"model"`
	}
	_ = json.Unmarshal(data, &body)
	if err := e.pause(r.Context(), body.Model); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch r.URL.Path {
	case "/v1/load_lora_adapter":
		e.loaded[body.Name] = true
	case "/v1/unload_lora_adapter":
		e.unloaded++
		if e.inUse[body.Name] > 0 {
			e.evicted++
		}
		delete(e.loaded, body.Name)
	case "/v1/completions":
		if !e.loaded[body.Model] {
			return engineAnswer(http.StatusNotFound, ""), nil
		}
		return engineAnswer(http.StatusOK, fmt.Sprintf(`{"model":%q}`, body.Model)), nil
	}
	return engineAnswer(http.StatusOK, `{"incarnation":1,"capacity":4}`), nil
}

func (e *fakeEngine) pause(ctx context.Context, model string) error {
	e.mu.Lock()
	d := time.Duration(e.random.IntN(50)) * time.Millisecond
	e.inUse[model]++
	e.mu.Unlock()
	_ = wait.For(ctx, d)
	e.mu.Lock()
	e.inUse[model]--
	e.mu.Unlock()
	return ctx.Err()
}

func engineAnswer(status int, body string) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}
}

func engineRequest(ctx context.Context, model string) *http.Request {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", strings.NewReader(fmt.Sprintf(`{"model":%q}`, model)))
	r.Header.Set(wire.HeaderModel, model)
	return r
}

// Callers leave while queued, while being started and while their request runs.
// A pin that remained after its request would occupy a slot forever, until the
// engine could load no further adapter.
func TestPinsAreReleasedWithTheirRequests(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			random := rand.New(rand.NewPCG(seed, 1))
			engine := &fakeEngine{random: rand.New(rand.NewPCG(seed, 2)), loaded: map[string]bool{}, inUse: map[string]int{}}
			a := New(Options{Server: "s", Slots: 2, Queue: 64, LoadTimeout: time.Second, AnnounceInterval: time.Second}, &http.Client{Transport: engine}, zap.NewNop())
			go a.runSlots(ctx)
			go a.watchEngine(ctx)
			go a.permits.run(ctx, a.sendPriority)
			var requests sync.WaitGroup
			for range 100 {
				model := fmt.Sprintf("m%d@1", random.IntN(5))
				callerCtx, cancelCaller := context.WithTimeout(ctx, time.Duration(random.IntN(120))*time.Millisecond)
				requests.Go(func() {
					defer cancelCaller()
					defer recoverAbort()
					a.Handler().ServeHTTP(httptest.NewRecorder(), engineRequest(callerCtx, model))
				})
				time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
			}
			requests.Wait()
			time.Sleep(time.Second)
			a.sendPriority(ticked{})
			synctest.Wait()
			if load := a.status.Load(); load.Running != 0 || load.Waiting != 0 {
				t.Errorf("seed %d: %d running and %d waiting requests are left", seed, load.Running, load.Waiting)
			}
			if engine.evicted != 0 || engine.unloaded == 0 {
				t.Errorf("seed %d: %d of %d evictions hit an adapter in use", seed, engine.evicted, engine.unloaded)
			}
			cancel()
		})
	}
}

// recoverAbort recovers from a handler's panic as net/http does:
// http.ErrAbortHandler closes the connection, any other panic is a fault.
func recoverAbort() {
	if reason := recover(); reason != nil && reason != http.ErrAbortHandler {
		panic(reason)
	}
}

// The agent is stopping, and a request arrives from an entry that does not know
// that yet. It must be refused as not-run, so that the entry retries on
// another server.
func TestLeavingAgentAnswersNotRun(t *testing.T) {
	a := New(Options{Server: "s", Slots: 1, Queue: 1}, &http.Client{}, zap.NewNop())
	a.Leave()
	recorder := httptest.NewRecorder()
	a.Handler().ServeHTTP(recorder, engineRequest(t.Context(), "m@1"))
	if got := recorder.Header().Get(outcome.Header); got != outcome.NotRun.String() {
		t.Errorf("got outcome %q, want not-run", got)
	}
	if left := a.Wait(t.Context()); left != 0 {
		t.Errorf("%d requests are in flight, want none", left)
	}
}

// An engine that lost its adapters answers with another model. The agent must
// not relay any byte of that answer, even if the entry checks it too.
func TestAnswerFromWrongModelIsNotRelayed(t *testing.T) {
	for _, body := range []string{`{"model":"base","choices":[]}`, "data: {\"model\":\"base\"}\n\n"} {
		engine := roundTripper(func(*http.Request) (*http.Response, error) { return engineAnswer(http.StatusOK, body), nil })
		a := New(Options{Server: "s", Slots: 1, Queue: 1}, &http.Client{Transport: engine}, zap.NewNop())
		recorder := httptest.NewRecorder()
		r := engineRequest(t.Context(), "m@1")
		ref, err := catalogue.ParseRef("m@1")
		if err != nil {
			t.Fatal(err)
		}
		answer.Handler(func(r *http.Request) answer.Answer {
			return a.start(r, ref, []byte(`{}`), func() {}).answerFrom(r.Context(), 0)
		}).ServeHTTP(recorder, r)
		if recorder.Header().Get(outcome.Header) != outcome.Unknown.String() || strings.Contains(recorder.Body.String(), "base") {
			t.Errorf("got outcome %q and body %s, want unknown without the other model's answer", recorder.Header().Get(outcome.Header), recorder.Body)
		}
	}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
