package agent_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/agent"
	"github.com/rosemarypass/rosemarypass/internal/standin/engine"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

const pollInterval = 5 * time.Millisecond

// eventually polls for a condition. Its time limit is reached only if the test
// fails.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 4000 {
		if condition() {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("condition not met in time: %s", description)
}

// refusedAddress is an address that refuses connections.
const refusedAddress = "127.0.0.1:1"

type backend struct {
	engine    *engine.Engine
	engineURL string
	server    string
	// loadTimeout is the agent's load timeout; 0 means defaultLoadTimeout,
	// which is so long that no test reaches it even on a busy machine.
	loadTimeout time.Duration
}

const defaultLoadTimeout = time.Minute

func newBackend(t *testing.T, options engine.Options) *backend {
	t.Helper()
	options.BaseModel, options.EnforceFencing = "base", true
	e := engine.New(options)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return &backend{engine: e, engineURL: server.URL, server: "floor-assist-1"}
}

// startAgent starts an agent beside the engine. stop ends its goroutines
// immediately, as a crash would.
func (b *backend) startAgent(t *testing.T, slots int, peers ...string) (url string, stop func()) {
	t.Helper()
	if len(peers) == 0 {
		peers = []string{refusedAddress}
	}
	ctx, cancel := context.WithCancel(t.Context())
	a := agent.New(agent.Options{
		Server: b.server, BaseModel: "base", Address: "127.0.0.1:1", Engine: b.engineURL,
		Slots: slots, Queue: 32, LoadTimeout: cmp.Or(b.loadTimeout, defaultLoadTimeout), AnnounceInterval: 20 * time.Millisecond, ControlPeers: peers,
	}, &http.Client{}, zap.NewNop())
	server := httptest.NewServer(a.Handler())
	var wg sync.WaitGroup
	wg.Go(func() { a.Run(ctx) })
	stop = sync.OnceFunc(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
		wg.Wait()
	})
	t.Cleanup(stop)
	return server.URL, stop
}

type answer struct {
	id      string
	status  int
	model   string
	outcome string
	body    string
}

var requestCount atomic.Uint64

func complete(ctx context.Context, url, model, tokens string) answer {
	body := strings.NewReader(`{"model":"` + model + `","prompt":"x","max_tokens":` + tokens + `}`)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", body)
	if err != nil {
		return answer{body: err.Error()}
	}
	request.Header.Set(wire.HeaderModel, model)
	id := fmt.Sprint("request-", requestCount.Add(1))
	request.Header.Set(wire.HeaderRequestID, id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{body: err.Error()}
	}
	return answer{id: id, status: response.StatusCode, model: response.Header.Get(wire.HeaderServedModel), outcome: response.Header.Get(outcome.Header), body: string(data)}
}

func (b *backend) mustAnswer(t *testing.T, url, model string) {
	t.Helper()
	got := complete(t.Context(), url, model, "2")
	if got.status != http.StatusOK || got.model != model || !strings.Contains(got.body, engine.TokenText(model, got.id, 1)) {
		t.Fatalf("request for %s: got %+v, want an answer of that model", model, got)
	}
}

// The engine restarts without adapters while its agent keeps running. If the
// agent still counted the adapters as loaded, callers would get errors.
func TestAgentSurvivesEngineRestart(t *testing.T) {
	b := newBackend(t, engine.Options{Slots: 2, TokenTime: time.Millisecond})
	url, _ := b.startAgent(t, 2)
	for range 3 {
		for _, model := range []string{"a@1", "b@1", "c@2", "a@1"} {
			eventually(t, "answer from "+model, func() bool {
				got := complete(t.Context(), url, model, "2")
				if strings.Contains(got.body, "load_failed") || got.status != http.StatusOK && got.outcome != outcome.NotRun.String() {
					t.Fatalf("request for %s: got %+v, want an answer or not-run", model, got)
				}
				return got.status == http.StatusOK && got.model == model
			})
		}
		b.engine.Restart()
	}
	if n := b.engine.EvictedInUse(); n != 0 {
		t.Errorf("%d adapters were unloaded while in use", n)
	}
}

// The agent restarts while its engine is full and still serves a request of the
// previous agent. Evicting the adapter of that request would cut its answer
// off.
func TestRestartedAgentAdoptsLoadedAdapters(t *testing.T) {
	b := newBackend(t, engine.Options{Slots: 2, TokenTime: time.Millisecond})
	url, stop := b.startAgent(t, 2)
	b.mustAnswer(t, url, "a@1")
	b.mustAnswer(t, url, "b@1")
	long, endLong := context.WithCancel(t.Context())
	defer endLong()
	// The request bypasses the agent, so that it continues after the agent has
	// stopped.
	finished := make(chan answer, 1)
	go func() { finished <- complete(long, b.engineURL, "a@1", "3000") }()
	eventually(t, "long request is running", func() bool { return len(b.engine.Started()) == 3 })
	stop()

	url, _ = b.startAgent(t, 2)
	var others sync.WaitGroup
	for _, model := range []string{"c@1", "d@1", "b@1"} {
		others.Go(func() {
			eventually(t, model+" is answered", func() bool {
				got := complete(t.Context(), url, model, "2")
				return got.status == http.StatusOK && got.model == model
			})
		})
	}
	others.Wait()
	if n := b.engine.EvictedInUse(); n != 0 {
		t.Errorf("%d adapters were unloaded while in use", n)
	}
	if len(finished) > 0 {
		t.Errorf("the long request ended early: %+v", <-finished)
	}
}

// The broker's instance is partitioned: it accepts connections but does not
// answer. Callers must still get their adapters.
func TestAgentLoadsWithoutBroker(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	b := newBackend(t, engine.Options{Slots: 2, TokenTime: time.Millisecond})
	url, _ := b.startAgent(t, 2, silent.Addr().String())
	for _, model := range []string{"a@1", "b@1", "c@1"} {
		b.mustAnswer(t, url, model)
	}
}

// A load exceeds its timeout and is carried out only after the agent has
// ordered its undo. The adapter then occupies the engine's only slot without
// the agent's knowledge, and every later load is refused. Callers of the
// timed-out load must be answered not-run.
func TestLoadTimeoutFreesCallersAndSlot(t *testing.T) {
	b := newBackend(t, engine.Options{
		Slots: 1, TokenTime: time.Millisecond,
		SlowLoads: map[string]time.Duration{"slow@1": 400 * time.Millisecond},
	})
	b.loadTimeout = 100 * time.Millisecond
	url, _ := b.startAgent(t, 1)
	// Before the engine's first report the agent refuses all requests.
	eventually(t, "agent answers", func() bool { return complete(t.Context(), url, "a@1", "2").status == http.StatusOK })
	got := complete(t.Context(), url, "slow@1", "2")
	if got.status != http.StatusServiceUnavailable || got.outcome != outcome.NotRun.String() {
		t.Fatalf("request for a load that timed out: got %+v, want 503 and not-run", got)
	}
	eventually(t, "late load occupies the slot", func() bool { return slices.Contains(b.engine.Loaded(), "slow@1") })
	eventually(t, "request for another adapter is answered", func() bool {
		got := complete(t.Context(), url, "a@1", "2")
		return got.status == http.StatusOK && got.model == "a@1"
	})
}

// Callers repeatedly give up while their adapter loads. None of these requests
// may leave a pin behind, or the slots would stay occupied forever.
func TestCancelledRequestsLeaveNoPins(t *testing.T) {
	b := newBackend(t, engine.Options{Slots: 1, TokenTime: time.Millisecond, LoadTime: 10 * time.Millisecond})
	url, _ := b.startAgent(t, 1)
	var callers sync.WaitGroup
	for i := range 40 {
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*time.Millisecond)
			defer cancel()
			complete(ctx, url, []string{"a@1", "b@1", "c@1"}[i%3], "50")
		})
	}
	callers.Wait()
	for _, model := range []string{"a@1", "b@1", "c@1"} {
		b.mustAnswer(t, url, model)
	}
	if n := b.engine.EvictedInUse(); n != 0 {
		t.Errorf("%d adapters were unloaded while in use", n)
	}
}
