package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/upstream"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// servers is what this entry knows of the backend servers: the directory, the
// agents' reports, and its own experience.
type servers struct {
	options Options
	mesh    *mesh.Mesh
	pool    *upstream.Pool
	log     *zap.Logger

	mu     sync.Mutex
	change uint64
	byID   map[string]*server
	// byService lists them in the order of their IDs.
	byService map[string][]*server
	// agents are followed by their address, and outlive the incarnations of
	// their engines.
	agents map[string]*agentClient
}

// server is one incarnation.
type server struct {
	entry  roster.Entry
	health dispatch.Health
	// inflight counts the own requests that were sent and have not ended.
	inflight int
	// running and slots are what it told with its last answer.
	running int
	slots   int
	toldAt  time.Time
	// agent is nil for plain services.
	agent *agentClient
}

func newServers(options Options, m *mesh.Mesh, pool *upstream.Pool, log *zap.Logger) *servers {
	return &servers{options: options, mesh: m, pool: pool, log: log, byID: make(map[string]*server), agents: make(map[string]*agentClient)}
}

// refresh takes over the directory when it has changed. The caller holds mu.
func (s *servers) refresh(ctx context.Context) {
	change := s.mesh.RosterChange()
	if change == s.change {
		return
	}
	s.change = change
	seen := make(map[string]bool)
	table := s.mesh.Documents().Current().Table
	for _, e := range s.mesh.Serving() {
		seen[e.ID] = true
		known := s.byID[e.ID]
		if known == nil || known.entry.Born != e.Born || known.entry.Address != e.Address {
			known = &server{}
			s.byID[e.ID] = known
		}
		known.entry = e
		if known.agent == nil && table != nil && hasEngine(table, e.Service) {
			known.agent = s.watch(ctx, e.Address, e.DataCentre == s.options.DataCentre)
		}
	}
	followed := make(map[*agentClient]bool)
	s.byService = make(map[string][]*server)
	for _, id := range slices.Sorted(maps.Keys(s.byID)) {
		known := s.byID[id]
		if !seen[id] {
			delete(s.byID, id)
			continue
		}
		followed[known.agent] = true
		s.byService[known.entry.Service] = append(s.byService[known.entry.Service], known)
	}
	near, far := 0, 0
	for address, agent := range s.agents {
		switch {
		case !followed[agent]:
			agent.stop()
			delete(s.agents, address)
		case agent.near:
			near++
		default:
			far++
		}
	}
	s.pace(near, far)
}

// pace shares the watches that an entry can afford among its agents.
func (s *servers) pace(near, far int) {
	nearPause, farPause := watchPauses(near, far)
	for _, agent := range s.agents {
		if agent.near {
			agent.pause.Store(int64(nearPause))
		} else {
			agent.pause.Store(int64(farPause))
		}
	}
}

// watchPauses are the pauses between two answers of an agent in the own data
// centre and in another one, for so many of each.
func watchPauses(near, far int) (nearPause, farPause time.Duration) {
	return max(watchPause, time.Duration(near)*time.Second/nearWatches), max(watchPauseFar, time.Duration(far)*time.Second/farWatches)
}

func hasEngine(table *route.Table, service string) bool {
	found := table.Service(service)
	return found != nil && found.Engine != nil
}

// watch follows the agent on an engine's machine. An engine that has restarted
// has the same agent: what is known of it stands, and the first requests to the
// new incarnation ask it as all others do.
func (s *servers) watch(ctx context.Context, engineAddress string, near bool) *agentClient {
	host, _, err := net.SplitHostPort(engineAddress)
	if err != nil {
		return nil
	}
	address := net.JoinHostPort(host, s.options.AgentPort)
	if known := s.agents[address]; known != nil {
		return known
	}
	ctx, stop := context.WithCancel(ctx)
	a := &agentClient{stop: stop, near: near, client: rpc.NewClient(address)}
	a.pause.Store(int64(watchPauseFar))
	s.agents[address] = a
	go a.run(ctx)
	return a
}

// choose picks a server for a request, nil when there is none.
func (s *servers) choose(ctx context.Context, service *route.Service, r dispatch.Request, model string) (*server, dispatch.Candidate) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(ctx)
	known := s.byService[service.Name]
	candidates := make([]dispatch.Candidate, 0, len(known))
	for _, v := range known {
		c := s.candidate(v, service, &r, model, now)
		c.Connected = s.pool.Idle(upstream.Target{Address: v.entry.Address, ID: v.entry.ID}) > 0
		candidates = append(candidates, c)
	}
	at := dispatch.Pick(candidates, r, rand.Float64)
	if at < 0 {
		return nil, dispatch.Candidate{}
	}
	return known[at], candidates[at]
}

// toldAge is how long the load that came with an answer counts.
const toldAge = time.Second

func (s *servers) candidate(v *server, service *route.Service, r *dispatch.Request, model string, now time.Time) dispatch.Candidate {
	c := dispatch.Candidate{
		ID: v.entry.ID, DataCentre: v.entry.DataCentre, Batch: v.entry.Slots, Running: v.inflight, Residence: dispatch.Resident, Model: true,
		Answer: v.health.Answer(), FailureShare: v.health.FailureShare(now), Barred: v.health.Barred(now),
		Cold: time.Duration(v.entry.ColdMillis)*time.Millisecond - now.Sub(v.entry.Heard),
	}
	c.Cold = max(c.Cold, 0)
	if service.Engine == nil {
		if now.Sub(v.toldAt) < toldAge {
			c.Running = max(c.Running, v.running)
		}
		return c
	}
	state, sent := v.agent.snapshot()
	if !state.Known {
		s.withoutAgent(v, &c, r, model)
		return c
	}
	c.Batch, c.MemoryTokens = state.Batch, state.MemoryTokens
	c.Running, c.Waiting, c.Tokens = state.Running+sent.count, state.Waiting, state.Tokens
	c.Delay = time.Duration(delayOf(state.DelayMillis, r.Rank)+state.PromptMillis*int64(sent.prompt)/promptUnit) * time.Millisecond
	c.Age = now.Sub(sent.since)
	c.LoadTime = time.Duration(state.LoadMillis) * time.Millisecond
	c.Model = holds(state.Models, model) && !state.Leaving
	c.Residence = residence(&state, r.Adapter)
	return c
}

func delayOf(delays []int64, rank int) int64 {
	if len(delays) == 0 {
		return 0
	}
	return delays[min(rank, len(delays)-1)]
}

// withoutAgent judges an engine by its own announcements.
func (s *servers) withoutAgent(v *server, c *dispatch.Candidate, r *dispatch.Request, model string) {
	said, _ := s.mesh.Announced(v.entry.ID)
	c.Model = holds(said.Models, model)
	c.Residence = dispatch.Absent
	if r.Adapter == "" {
		c.Residence = dispatch.Resident
		return
	}
	for _, held := range said.Adapters {
		if name, _, _ := strings.Cut(held, "@"); name == r.Adapter {
			c.Residence = dispatch.Resident
		}
	}
	// Nobody can load it there.
	c.Model = c.Model && c.Residence == dispatch.Resident
}

func holds(models []string, model string) bool {
	if model == "" {
		return true
	}
	return slices.Contains(models, model)
}

func residence(state *wire.EngineState, adapter string) dispatch.Residence {
	switch {
	case adapter == "" || slices.Contains(state.Held, adapter):
		return dispatch.Resident
	case slices.Contains(state.Stale, adapter):
		return dispatch.Stale
	default:
		return dispatch.Absent
	}
}

// sent and ended count a request at a server.
func (s *servers) sent(v *server) {
	s.mu.Lock()
	v.inflight++
	s.mu.Unlock()
}

func (s *servers) ended(v *server) {
	s.mu.Lock()
	v.inflight--
	s.mu.Unlock()
}

// learned records what an answer showed.
func (s *servers) learned(v *server, verdict Verdict, f func(*dispatch.Health)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if verdict.HasLoad {
		v.running, v.slots, v.toldAt = verdict.Running+verdict.Waiting, verdict.Slots, time.Now()
	}
	if f != nil {
		f(&v.health)
	}
}

// keep reports whether connections to a server are still of use.
func (s *servers) keep(target upstream.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byID[target.ID]
	return v != nil && v.entry.Address == target.Address
}

// agentClient speaks to one agent.
type agentClient struct {
	stop   context.CancelFunc
	client *rpc.Client
	// near is true in the own data centre; pause is that between two answers, in
	// nanoseconds.
	near  bool
	pause atomic.Int64

	mu    sync.Mutex
	state wire.EngineState
	// asked are the own starts since the state was taken.
	asked asked
}

// asked counts starts, and the tokens of their prompts, since a state was taken.
type asked struct {
	count, prompt int
	since         time.Time
}

// promptUnit is the number of tokens for which PromptMillis stands.
const promptUnit = 1000

const (
	watchWait    = 500 * time.Millisecond
	watchTimeout = watchWait + 500*time.Millisecond
	// watchPause lets news within it come together. Of engines in other data
	// centres, which get little of this entry's work, news may be older: bytes
	// between data centres are dear.
	watchPause    = 80 * time.Millisecond
	watchPauseFar = 250 * time.Millisecond
	// nearWatches and farWatches are the most answers a second of all agents in the
	// own data centre and in others together: each costs both ends some 0.1 ms, so
	// that watching takes under 2% of a core however many engines there are.
	nearWatches = 100
	farWatches  = 60
	// watchRetry follows a call that failed.
	watchRetry = 250 * time.Millisecond
)

func (a *agentClient) run(ctx context.Context) {
	defer a.client.Close()
	var known wire.EngineState
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, watchTimeout)
		var state wire.EngineState
		err := a.client.Call(call, wire.MethodStartWatch, wire.StartWatch{
			Change: known.Change, HeldChange: known.HeldChange, WaitMillis: watchWait.Milliseconds(),
		}, &state)
		cancel()
		pause := time.Duration(a.pause.Load())
		if err != nil {
			state, pause = wire.EngineState{}, watchRetry
		} else if state.HeldChange == known.HeldChange {
			state.Held, state.Stale = known.Held, known.Stale
		}
		known = state
		a.mu.Lock()
		a.state, a.asked = state, asked{since: time.Now()}
		a.mu.Unlock()
		sleep(ctx, pause)
	}
}

func (a *agentClient) snapshot() (wire.EngineState, asked) {
	if a == nil {
		return wire.EngineState{}, asked{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state, a.asked
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// grantMargin is what the call of a start may take beyond its own wait.
const grantMargin = time.Second

// admit asks for a start. The call goes on when ctx ends, and is taken back:
// ending it would close the connection that other requests share.
func (a *agentClient) admit(ctx context.Context, r wire.StartRequest) (wire.StartReply, error) {
	type result struct {
		reply wire.StartReply
		err   error
	}
	a.mu.Lock()
	a.asked.count++
	a.asked.prompt += r.Prompt
	a.mu.Unlock()
	done := make(chan result, 1)
	go func() {
		call, cancel := context.WithTimeout(context.Background(), time.Duration(r.WaitMillis)*time.Millisecond+grantMargin)
		defer cancel()
		var got result
		got.err = a.client.Call(call, wire.MethodStartAdmit, r, &got.reply)
		done <- got
	}()
	select {
	case got := <-done:
		return got.reply, got.err
	case <-ctx.Done():
		a.done(r.ID, r.Try)
		return wire.StartReply{}, ctx.Err()
	}
}

// begun tells that a request has produced its first event.
func (a *agentClient) begun(id string, try int) { a.tell(wire.MethodStartBegun, id, try) }

// done tells that a request has ended.
func (a *agentClient) done(id string, try int) { a.tell(wire.MethodStartDone, id, try) }

func (a *agentClient) tell(method, id string, try int) {
	go func() {
		call, cancel := context.WithTimeout(context.Background(), grantMargin)
		defer cancel()
		// An agent that cannot be told finds out by the engine's reports.
		_ = a.client.Call(call, method, wire.StartDone{ID: id, Try: try}, &wire.Empty{})
	}()
}
