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

// eventually polls for a condition; the deadline only ends a broken run.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 4000 {
		if condition() {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("never: %s", what)
}

// refusing is an address that takes no connections.
const refusing = "127.0.0.1:1"

type bench struct {
	engine    *engine.Engine
	engineURL string
	server    string
	// loadTimeout is the agent's; patientTimeout by default, which no test
	// waits for, however busy the machine is.
	loadTimeout time.Duration
}

const patientTimeout = time.Minute

func newBench(t *testing.T, options engine.Options) *bench {
	t.Helper()
	options.BaseModel, options.EnforceFencing = "base", true
	e := engine.New(options)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return &bench{engine: e, engineURL: server.URL, server: "floor-assist-1"}
}

// startAgent starts an agent beside the engine; stop ends its duties at once,
// as a crash would.
func (b *bench) startAgent(t *testing.T, slots int, peers ...string) (url string, stop func()) {
	t.Helper()
	if len(peers) == 0 {
		peers = []string{refusing}
	}
	ctx, cancel := context.WithCancel(t.Context())
	a := agent.New(agent.Options{
		Server: b.server, BaseModel: "base", Address: "127.0.0.1:1", Engine: b.engineURL,
		Slots: slots, Queue: 32, LoadTimeout: cmp.Or(b.loadTimeout, patientTimeout), AnnounceInterval: 20 * time.Millisecond, ControlPeers: peers,
	}, &http.Client{}, zap.NewNop())
	server := httptest.NewServer(a.Handler())
	var duties sync.WaitGroup
	duties.Go(func() { a.Run(ctx) })
	stop = sync.OnceFunc(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
		duties.Wait()
	})
	t.Cleanup(stop)
	return server.URL, stop
}

type answer struct {
	id     string
	status int
	ran    string
	said   string
	body   string
}

var requests atomic.Uint64

func ask(ctx context.Context, url, model, tokens string) answer {
	body := strings.NewReader(`{"model":"` + model + `","prompt":"x","max_tokens":` + tokens + `}`)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", body)
	if err != nil {
		return answer{body: err.Error()}
	}
	request.Header.Set(wire.HeaderModel, model)
	id := fmt.Sprint("request-", requests.Add(1))
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
	return answer{id: id, status: response.StatusCode, ran: response.Header.Get(wire.HeaderRan), said: response.Header.Get(outcome.Header), body: string(data)}
}

func (b *bench) mustAnswer(t *testing.T, url, model string) {
	t.Helper()
	got := ask(t.Context(), url, model, "2")
	if got.status != http.StatusOK || got.ran != model || !strings.Contains(got.body, engine.TokenText(model, got.id, 1)) {
		t.Fatalf("%s: %+v", model, got)
	}
}

// An engine restarts, cold, while its agent runs on. Callers would get errors
// from an agent that still believes the adapters loaded.
func TestAgentOutlivesARestartOfItsEngine(t *testing.T) {
	b := newBench(t, engine.Options{Slots: 2, TokenTime: time.Millisecond})
	url, _ := b.startAgent(t, 2)
	for range 3 {
		for _, model := range []string{"a@1", "b@1", "c@2", "a@1"} {
			eventually(t, "an answer by "+model, func() bool {
				got := ask(t.Context(), url, model, "2")
				if strings.Contains(got.body, "load_failed") || got.status != http.StatusOK && got.said != outcome.NotRun.String() {
					t.Fatalf("%s: %+v", model, got)
				}
				return got.status == http.StatusOK && got.ran == model
			})
		}
		b.engine.Restart()
	}
	if n := b.engine.EvictedInUse(); n != 0 {
		t.Errorf("%d adapters were unloaded in use", n)
	}
}

// An agent restarts while its engine runs on, full, and still serves a request
// of the agent before. Evicting that adapter would cut the answer off.
func TestRestartedAgentAdoptsWhatItsEngineHolds(t *testing.T) {
	b := newBench(t, engine.Options{Slots: 2, TokenTime: time.Millisecond})
	url, stop := b.startAgent(t, 2)
	b.mustAnswer(t, url, "a@1")
	b.mustAnswer(t, url, "b@1")
	long, endLong := context.WithCancel(t.Context())
	defer endLong()
	// The request goes to the engine by another way than the agent's, so
	// that it outlives the agent.
	finished := make(chan answer, 1)
	go func() { finished <- ask(long, b.engineURL, "a@1", "3000") }()
	eventually(t, "the long request runs", func() bool { return len(b.engine.Ran()) == 3 })
	stop()

	url, _ = b.startAgent(t, 2)
	var others sync.WaitGroup
	for _, model := range []string{"c@1", "d@1", "b@1"} {
		others.Go(func() {
			eventually(t, model+" is answered", func() bool {
				got := ask(t.Context(), url, model, "2")
				return got.status == http.StatusOK && got.ran == model
			})
		})
	}
	others.Wait()
	if n := b.engine.EvictedInUse(); n != 0 {
		t.Errorf("%d adapters were unloaded in use", n)
	}
	if len(finished) > 0 {
		t.Errorf("the long request ended early: %+v", <-finished)
	}
}

// The broker's instance is cut off silently: it takes connections and answers
// nothing. Callers must still get their adapters.
func TestAgentLoadsWithoutItsBroker(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	b := newBench(t, engine.Options{Slots: 2, TokenTime: time.Millisecond})
	url, _ := b.startAgent(t, 2, silent.Addr().String())
	for _, model := range []string{"a@1", "b@1", "c@1"} {
		b.mustAnswer(t, url, model)
	}
}

// A load hangs past its timeout and happens after all, once the agent has
// ordered it undone: the adapter takes the engine's only slot unseen, and every
// later load is refused. Callers of the hung load are told that it was not run.
func TestHangingLoadFreesItsCallersAndItsSlot(t *testing.T) {
	b := newBench(t, engine.Options{
		Slots: 1, TokenTime: time.Millisecond,
		SlowLoads: map[string]time.Duration{"slow@1": 400 * time.Millisecond},
	})
	b.loadTimeout = 100 * time.Millisecond
	url, _ := b.startAgent(t, 1)
	// The agent must have seen its engine: without that it refuses, too.
	eventually(t, "the agent answers", func() bool { return ask(t.Context(), url, "a@1", "2").status == http.StatusOK })
	got := ask(t.Context(), url, "slow@1", "2")
	if got.status != http.StatusServiceUnavailable || got.said != outcome.NotRun.String() {
		t.Fatalf("a hanging load gave %+v", got)
	}
	eventually(t, "the late load takes the slot", func() bool { return slices.Contains(b.engine.Loaded(), "slow@1") })
	eventually(t, "another adapter is answered", func() bool {
		got := ask(t.Context(), url, "a@1", "2")
		return got.status == http.StatusOK && got.ran == "a@1"
	})
}

// Callers give up while their adapter loads, again and again. Each must leave
// nothing pinned behind, or the slots fill up for ever.
func TestCallersThatGiveUpLeaveNoPins(t *testing.T) {
	b := newBench(t, engine.Options{Slots: 1, TokenTime: time.Millisecond, LoadTime: 10 * time.Millisecond})
	url, _ := b.startAgent(t, 1)
	var callers sync.WaitGroup
	for i := range 40 {
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*time.Millisecond)
			defer cancel()
			ask(ctx, url, []string{"a@1", "b@1", "c@1"}[i%3], "50")
		})
	}
	callers.Wait()
	for _, model := range []string{"a@1", "b@1", "c@1"} {
		b.mustAnswer(t, url, model)
	}
	if n := b.engine.EvictedInUse(); n != 0 {
		t.Errorf("%d adapters were unloaded in use", n)
	}
}
