package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// speedEdge is a plainEdge whose servers tell a factor in the header Slow, and Load where they tell one.
type speedEdge struct{ plainEdge }

func (e speedEdge) Classify(status int, header http.Header) Verdict {
	v := e.plainEdge.Classify(status, header)
	v.Slow, _ = strconv.ParseFloat(header.Get("Slow"), 64)
	if header.Get("Load") != "" {
		v.Running, v.LoadFault = strconv.Atoi(header.Get("Load"))
		v.HasLoad = v.LoadFault == nil
	}
	return v
}

// tellSpeed returns a handler whose answers tell a factor and a load; the body is the given one.
func tellSpeed(slow, load, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Slow", slow)
		w.Header().Set("Load", load)
		respond(http.StatusOK, "Signed", body)(w, r)
	}
}

// serverOf returns a server as the gateway knows it.
func serverOf(t *testing.T, g *Gateway, id string) *server {
	t.Helper()
	g.servers.start(t.Context())
	g.servers.mu.Lock()
	defer g.servers.mu.Unlock()
	if g.servers.byID[id] == nil {
		t.Fatalf("the server %s is not known", id)
	}
	return g.servers.byID[id]
}

// Guards against a plain server that is picked by its speed of another time, and against one whose reported load is
// not counted.
func TestPlainServerIsChosenByItsSpeed(t *testing.T) {
	g := newTestGateway(t, nil)
	v, now := serverOf(t, g, "s0"), time.Now()
	for range 50 {
		verdict := Verdict{Signed: true, HasLoad: true, Running: 3, Waiting: 2, Slots: 8, Slow: 2.5}
		g.servers.observeSpeed(v, verdict, now)
		g.servers.observe(v, verdict, func(h *dispatch.Health) { h.Answered(250*time.Millisecond, verdict.Slow) })
	}
	for _, test := range []struct {
		after, answer time.Duration
		slow          float64
	}{
		{0, 250 * time.Millisecond, 2.5}, {300 * time.Millisecond, 175 * time.Millisecond, 1.75}, {10 * time.Second, 100 * time.Millisecond, 1},
	} {
		g.servers.mu.Lock()
		c := g.servers.candidate(v, &route.Service{Name: "desk"}, &dispatch.Request{}, "", now.Add(test.after))
		g.servers.mu.Unlock()
		if (c.Answer-test.answer).Abs() > time.Millisecond || c.Slow < test.slow-0.01 || c.Slow > test.slow+0.01 {
			t.Errorf("after %v it answers in %v at the factor %v, want %v at %v", test.after, c.Answer, c.Slow, test.answer, test.slow)
		}
		if want := 5; test.after < time.Second && c.Running != want {
			t.Errorf("after %v it runs %d, want %d", test.after, c.Running, want)
		}
	}
}

// Guards against a change in what the choice sees of servers that tell no factor. The expected values are computed as
// they were at d1ea191.
func TestServerWithoutFactorIsSeenAsBefore(t *testing.T) {
	g := newTestGateway(t, nil)
	v, now := serverOf(t, g, "s0"), time.Now()
	usual := time.Duration(0)
	for i := range 200 {
		took := time.Duration(1+i*7919%401) * time.Millisecond
		verdict := Verdict{Signed: true, HasLoad: true, Running: i % 7, Waiting: i % 3, Slots: 8}
		g.servers.observeSpeed(v, verdict, now)
		g.servers.observe(v, verdict, func(h *dispatch.Health) { h.Answered(took, verdict.Slow) })
		if usual == 0 {
			usual = took
		} else {
			usual += time.Duration(0.12 * float64(took-usual))
		}
		g.servers.mu.Lock()
		got := g.servers.candidate(v, &route.Service{Name: "desk"}, &dispatch.Request{Prompt: 1000}, "", now)
		g.servers.mu.Unlock()
		want := dispatch.Candidate{LoadSource: dispatch.LoadReported, ID: "s0", Batch: 8, Running: i%7 + i%3, Residence: dispatch.Resident, Model: true, Answer: usual}
		if got != want {
			t.Fatalf("after %d answers it is seen as %+v, want %+v", i+1, got, want)
		}
	}
	state := wire.EngineState{Known: true, Running: 3, Waiting: 1, Batch: 48, Tokens: 900, MemoryTokens: 9000, DelayMillis: []int64{20, 40}, PromptMillis: 50, PlaceMillis: 10, SlotMillis: 5, LoadMillis: 280, Models: []string{"base"}}
	engine := newServer(roster.Entry{Server: roster.Server{ID: "e", Slots: 48}}, &agentClient{})
	engine.agent.setState(state)
	engine.agent.receivedAt = now
	got := g.servers.candidate(engine, &route.Service{Name: "llm", Engine: &route.Engine{}}, &dispatch.Request{Rank: 1, Prompt: 1000}, "base", now.Add(50*time.Millisecond))
	want := dispatch.Candidate{
		ID: "e", Batch: 48, Running: 3, Waiting: 1, Residence: dispatch.Resident, Model: true, Delay: 40 * time.Millisecond, SlotDelay: 5 * time.Millisecond,
		LoadTime: 280 * time.Millisecond, Tokens: 900, MemoryTokens: 9000, PromptTime: 50 * time.Millisecond, Age: 50 * time.Millisecond,
	}
	if got != want {
		t.Errorf("the engine is seen as %+v, want %+v", got, want)
	}
}

// Guards against an engine's hold and factor that do not reach the choice, and against a percentage out of the
// range of the choice.
func TestEngineIsSeenWithHoldAndFactor(t *testing.T) {
	g, now := newTestGateway(t, nil), time.Now()
	for percent, want := range map[int]float64{-100: 0, 0: 0, 60: 0.6, 250: 2.5, 1 << 40: 8} {
		engine := newServer(roster.Entry{Server: roster.Server{ID: "e"}}, &agentClient{})
		engine.agent.setState(wire.EngineState{Known: true, PromptMillis: 50, SlowPercent: percent, HoldAbove: 800, HoldMillis: 300})
		engine.health.Answered(100*time.Millisecond, 0)
		engine.speed.Tell(2, now)
		c := g.servers.candidate(engine, &route.Service{Name: "llm", Engine: &route.Engine{}}, &dispatch.Request{}, "", now)
		// The agent reports the reading time at the current speed.
		usual := 50 * time.Millisecond
		if want > 0 {
			usual = time.Duration(float64(usual) / want)
		}
		if c.Slow != want || c.HoldAbove != 800 || c.Hold != 300*time.Millisecond || c.PromptTime != usual {
			t.Errorf("at %d percent the engine is seen as %+v, want the factor %v and %v for 1,000 tokens", percent, c, want, usual)
		}
		// The engine's own factor multiplies the reading of the prompt and must not count twice.
		if c.Answer != 100*time.Millisecond {
			t.Errorf("at %d percent it answers in %v", percent, c.Answer)
		}
	}
}

// Guards against servers in a slow phase that are taken for silent, and against a later doubt of one that is gone and
// had told no factor, or an old one.
func TestSilenceLastsLongerInSlowPhase(t *testing.T) {
	for _, test := range []struct {
		name string
		// told is the factor that the server told before the call was sent, 0 for none; reported is its agent's,
		// which came at the same time.
		told     float64
		before   time.Duration
		reported int
		want     time.Duration
	}{
		{"no factor", 0, 0, 0, silentAfter},
		{"the usual speed", 1, 0, 0, silentAfter},
		{"a fast phase", 0.6, 0, 0, silentAfter},
		{"a slow phase", 2.5, 0, 0, 2500 * silentAfter / 1000},
		{"a slow phase, told 1 s before", 2.5, slowReportAge, 0, 2500 * silentAfter / 1000},
		{"a slow phase, told earlier", 2.5, slowReportAge + 1, 0, silentAfter},
		{"a factor that cannot be", 100, 0, 0, 8 * silentAfter},
		{"a slow phase that the agent told", 0, 0, 300, 3 * silentAfter},
		{"a slow phase that the agent told earlier", 0, slowReportAge + 1, 300, agentPatience},
	} {
		t.Run(test.name, func(t *testing.T) {
			g, sentAt := newTestGateway(t, nil), time.Now()
			var agent *agentClient
			if test.reported > 0 {
				agent = &agentClient{}
				agent.setState(wire.EngineState{Known: true, SlowPercent: test.reported})
				agent.receivedAt = sentAt.Add(-test.before)
			}
			v := newServer(roster.Entry{}, agent)
			g.servers.observeSpeed(v, Verdict{Signed: true, Slow: test.told}, sentAt.Add(-test.before))
			g.strikes.sent(suspicion.Request{Fingerprint: 1}, v, sentAt)
			for _, at := range []time.Duration{silentAfter - 1, test.want - 1, test.want} {
				g.strikes.lookedAt = sentAt.Add(at)
				g.strikes.lookUnanswered(sentAt.Add(at))
				if got, want := g.mesh.Suspected(1), at >= test.want; got != want {
					t.Errorf("after %v it is doubted: %t, want %t", at, got, want)
				}
			}
		})
	}
}

// Guards against answers of a slow phase that count as the server's usual ones, and against lines of late answers that
// do not tell of the slow phase.
func TestAnswerInSlowPhase(t *testing.T) {
	const took = 250 * time.Millisecond
	g := newTestGateway(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(took)
		tellSpeed("2.5", "", "body")(w, r)
	}})
	g.edge = speedEdge{}
	lines := watchLines(g)
	g.mesh.Documents().Current().Table.Lookup("h", "/look/").Target = took / 2
	g.ServeHTTP(httptest.NewRecorder(), newPrompt("/look/"))
	checkLine(t, lines, "request answered late", map[string]any{"cause": causeLateFirst, "slowPercent": 250})
	answered := 0
	for i := range 4 {
		v := serverOf(t, g, fmt.Sprint("s", i))
		if usual := v.health.Answer(); usual > 0 {
			answered++
			if usual < took*2/5 || usual >= took {
				t.Errorf("its usual answer takes %v, want %v", usual, took*2/5)
			}
		}
	}
	if answered != 1 {
		t.Errorf("%d servers answered one request", answered)
	}
}

// Guards against a factor that comes from something on the way to the server.
func TestFactorOfUnsignedAnswerIsNotUsed(t *testing.T) {
	g, now := newTestGateway(t, nil), time.Now()
	for _, test := range []struct {
		verdict Verdict
		want    float64
	}{
		{Verdict{Slow: 2}, 0}, {Verdict{Slow: 2, Signed: true}, 2}, {Verdict{Slow: 2, NotRun: true}, 2},
	} {
		v := newServer(roster.Entry{}, nil)
		g.servers.observeSpeed(v, test.verdict, now)
		if got := v.speed.Factor(now); got != test.want {
			t.Errorf("%+v: the factor is %v, want %v", test.verdict, got, test.want)
		}
	}
}

// Guards against a server that is passed by for a fault in what it reports of its load, and against a line for each of
// its answers.
func TestUnreadableLoadIsLoggedOnce(t *testing.T) {
	g := newTestGateway(t, []http.HandlerFunc{tellSpeed("1.5", "many", "body")})
	g.edge = speedEdge{}
	core, lines := observer.New(zap.WarnLevel)
	g.servers.log = zap.New(core)
	before := loadFaultCount.Value()
	const requests = 24
	for range requests {
		recorder := httptest.NewRecorder()
		g.ServeHTTP(recorder, newPrompt("/look/"))
		if recorder.Code != http.StatusOK {
			t.Fatalf("got %d", recorder.Code)
		}
	}
	if got := loadFaultCount.Value() - before; got != requests {
		t.Errorf("%d loads were counted as unreadable, want %d", got, requests)
	}
	servers := make(map[string]int)
	for _, line := range lines.All() {
		servers[fmt.Sprint(line.ContextMap()["server"])]++
	}
	if len(servers) == 0 {
		t.Error("nothing was logged")
	}
	for id, count := range servers {
		if count != 1 {
			t.Errorf("%d lines about %s", count, id)
		}
	}
	for i := range 4 {
		v := serverOf(t, g, fmt.Sprint("s", i))
		g.servers.mu.Lock()
		c := g.servers.candidate(v, &route.Service{Name: "desk"}, &dispatch.Request{}, "", time.Now())
		g.servers.mu.Unlock()
		if c.Excluded || c.InBackoff || c.FailureShare > 0 {
			t.Errorf("after the fault the server is seen as %+v", c)
		}
	}
}

// testAgent is an agent beside an engine.
type testAgent struct {
	*agentClient
	// refuses is the reason for which it refuses starts; empty to grant them.
	refuses string
	// starts and firstEvents are the messages that it has received; those beyond the channel's size are dropped.
	starts      chan wire.StartRequest
	firstEvents chan wire.StartDone
}

// startAgent serves an agent with a client that knows its state.
func startAgent(t *testing.T) *testAgent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &testAgent{
		agentClient: &agentClient{client: rpc.NewClient(listener.Addr().String()), state: wire.EngineState{Known: true}},
		starts:      make(chan wire.StartRequest, 8), firstEvents: make(chan wire.StartDone, 8),
	}
	server := rpc.NewServer(map[string]rpc.Handler{
		wire.MethodStartAdmit: rpc.Typed(func(_ context.Context, in wire.StartRequest) (wire.StartReply, error) {
			select {
			case a.starts <- in:
			default:
			}
			return wire.StartReply{Start: a.refuses == "", Reason: a.refuses, State: wire.EngineState{Known: true}}, nil
		}),
		wire.MethodStartFirstEvent: rpc.Typed(func(_ context.Context, in wire.StartDone) (wire.Empty, error) {
			select {
			case a.firstEvents <- in:
			default:
			}
			return wire.Empty{}, nil
		}),
		wire.MethodStartDone: rpc.Typed(func(context.Context, wire.StartDone) (wire.Empty, error) { return wire.Empty{}, nil }),
	})
	go func() { _ = server.Serve(t.Context(), listener) }()
	t.Cleanup(func() {
		a.client.Close()
		_ = listener.Close()
		server.Close()
	})
	return a
}

// received returns the next message, and fails if none comes.
func received[T any](t *testing.T, messages <-chan T) T {
	t.Helper()
	select {
	case m := <-messages:
		return m
	case <-time.After(10 * time.Second):
		t.Fatal("the agent received nothing")
		panic("unreachable")
	}
}

// Guards against an agent that does not learn the factor that its engine tells, or learns a wrong age of it.
func TestFactorIsPassedOnWithFirstEvent(t *testing.T) {
	agent := startAgent(t)
	for _, test := range []struct {
		slow            float64
		age             time.Duration
		percent, millis int64
	}{
		{0, 80 * time.Millisecond, 0, 0}, {2.5, 80 * time.Millisecond, 250, 80}, {1.125, 0, 113, 0}, {0.001, time.Millisecond, 1, 1}, {100, 0, 10_000, 0},
	} {
		agent.notifyFirstEvent("r", 2, test.slow, test.age)
		want := wire.StartDone{ID: "r", Attempt: 2, SlowPercent: int(test.percent), SlowAgeMillis: test.millis}
		if got := received(t, agent.firstEvents); got != want {
			t.Errorf("the agent was told %+v, want %+v", got, want)
		}
	}
}

// Guards against a stream whose engine tells a factor that stays at the entry, and against a start without the gap that
// its route allows.
func TestStreamTellsItsAgentFactorAndGap(t *testing.T) {
	const wait = 60 * time.Millisecond
	g := newTestGateway(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		tellSpeed("2.5", "", "")(w, r)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(wait)
		_, _ = fmt.Fprint(w, "id: 1\ndata: word\n\n")
	}})
	g.edge = speedEdge{}
	agent := startAgent(t)
	for i := range 4 {
		v := serverOf(t, g, fmt.Sprint("s", i))
		v.agent = agent.agentClient
	}
	g.mesh.Documents().Current().Table.Lookup("h", "/draft/").Gap = 300 * time.Millisecond
	g.ServeHTTP(httptest.NewRecorder(), newPrompt("/draft/"))
	if got := received(t, agent.starts); got.GapMillis != 300 {
		t.Errorf("the start names the gap %d ms, want 300", got.GapMillis)
	}
	got := received(t, agent.firstEvents)
	if age := time.Duration(got.SlowAgeMillis) * time.Millisecond; got.SlowPercent != 250 || age < wait-2*time.Millisecond || age > 10*time.Second {
		t.Errorf("the agent was told %+v, want 250 percent and an age of %v", got, wait)
	}
}
