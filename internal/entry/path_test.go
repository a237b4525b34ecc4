package entry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/agent"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/standin/engine"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

func startHandler(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// startAgent runs an agent in front of an engine and returns it with its address.
func startAgent(t *testing.T, engineHandler http.Handler) (*agent.Agent, string) {
	return startReportingAgent(t, "floor-1", engineHandler, nil)
}

func startReportingAgent(t *testing.T, name string, engineHandler http.Handler, suspicions agent.Suspicions) (*agent.Agent, string) {
	t.Helper()
	a := agent.New(agent.Options{
		Server: name, Suspicions: suspicions, BaseModel: baseModel, Engine: "http://" + startHandler(t, engineHandler),
		Slots: 2, Queue: 256, LoadTimeout: 5 * time.Second, AnnounceInterval: 20 * time.Millisecond, ControlPeers: []string{"127.0.0.1:1"},
	}, relay.NewClient(time.Second), zap.NewNop())
	go a.Run(t.Context())
	return a, startHandler(t, a.Handler())
}

func completion(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%v}`, model, prompt, tokens, stream)
}

// Concurrent answers share the connections between entry and agent and end in a
// different order than they started. If they were mixed up, one customer would
// receive another customer's draft.
func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	e := engine.New(engine.Options{BaseModel: baseModel, Slots: 2, Capacity: 64, TokenTime: time.Millisecond})
	_, address := startAgent(t, e.Handler())
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", address)))
	var callers sync.WaitGroup
	for i := range 48 {
		callers.Go(func() {
			tokens := 1 + (i*7)%23
			got := call(t, server, http.MethodPost, "/v1/completions", "", completion("x", tokens, i%2 == 0))
			id := got.header.Get(wire.HeaderRequestID)
			for token := range tokens {
				if !strings.Contains(got.body, engine.TokenText(model, id, token)) {
					t.Errorf("caller %d: token %d of its own answer is missing in %q", i, token, got.body)
				}
			}
			if strings.Count(got.body, model+"/") != tokens || got.outcome != outcome.Answered {
				t.Errorf("caller %d: outcome %v, body %q", i, got.outcome, got.body)
			}
		})
	}
	callers.Wait()
}

// The engine restarts without adapters after its adapter was loaded and just before
// the request arrives. An engine that falls back to its base model would answer a
// quote request in the wrong style without anyone noticing.
func TestEngineWithLostAdapterNeverAnswersWithBaseModel(t *testing.T) {
	fallsBack := func(e *engine.Engine) http.Handler {
		inner := e.Handler()
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/completions") {
				e.Restart()
				fmt.Fprintf(w, `{"id":"x","model":%q,"choices":[{"text":"secret"}]}`, baseModel)
				return
			}
			inner.ServeHTTP(w, r)
		})
	}
	refuses := func(e *engine.Engine) http.Handler {
		inner := e.Handler()
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/completions") {
				e.Restart()
			}
			inner.ServeHTTP(w, r)
		})
	}
	cases := []struct {
		name string
		wrap func(*engine.Engine) http.Handler
		want outcome.Outcome
	}{{"falls back", fallsBack, outcome.Unknown}, {"refuses", refuses, outcome.NotRun}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := engine.New(engine.Options{BaseModel: baseModel, Slots: 2})
			_, address := startAgent(t, c.wrap(e))
			_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", address)))
			got := call(t, server, http.MethodPost, "/v1/completions", "", completion("x", 2, false))
			if got.outcome != c.want || got.status < http.StatusInternalServerError || strings.Contains(got.body, "secret") {
				t.Errorf("outcome %v, status %d: %s", got.outcome, got.status, got.body)
			}
			if len(e.Started()) != 0 {
				t.Errorf("the engine ran %v, want no request", e.Started())
			}
		})
	}
}

// An engine without an agent answers with its base model. No agent verifies the
// model, so the entry must.
func TestModelOfEngineWithoutAgentIsVerified(t *testing.T) {
	for ran, want := range map[string]outcome.Outcome{baseModel: outcome.Unknown, model: outcome.Answered} {
		address := startHandler(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"id":"x","model":%q,"choices":[{"text":"words"}]}`, ran)
		}))
		bare := engineServer("floor-1", address)
		bare.Agent = false
		_, server := newEntry(t, entry.Options{}, newSource(bare))
		got := call(t, server, http.MethodPost, "/v1/completions", "", completion("x", 2, false))
		if got.outcome != want || strings.Contains(got.body, "words") != (want == outcome.Answered) {
			t.Errorf("%s: outcome %v: %s", ran, got.outcome, got.body)
		}
	}
}

// The caller disconnects in the middle of a stream. An engine that continues to
// generate wastes batch capacity on an answer that nobody reads.
func TestCallerDisconnectCancelsEngineWork(t *testing.T) {
	e := engine.New(engine.Options{BaseModel: baseModel, Slots: 2, TokenTime: 2 * time.Millisecond})
	_, address := startAgent(t, e.Handler())
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", address)))
	request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/completions", strings.NewReader(completion("x", 1<<20, true)))
	request.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := response.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	eventually(t, "the engine's request is cancelled", func() bool { return e.Cancelled() == 1 })
}

// A stream ends at the engine before its last token. If the caller's connection
// were closed orderly, the partial answer would look complete.
func TestCallerDetectsStreamCutAtEngine(t *testing.T) {
	e := engine.New(engine.Options{BaseModel: baseModel, Slots: 2, TokenTime: 2 * time.Millisecond})
	_, address := startAgent(t, e.Handler())
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", address)))
	done := make(chan callResult, 1)
	go func() {
		done <- call(t, server, http.MethodPost, "/v1/completions", "", completion("x", 1<<20, true))
	}()
	eventually(t, "the stream starts", func() bool { return len(e.Started()) == 1 })
	time.Sleep(20 * time.Millisecond)
	e.Restart()
	if got := <-done; !got.cut && got.outcome == outcome.Answered {
		t.Errorf("the answer looks complete: status %d", got.status)
	}
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", description)
}
