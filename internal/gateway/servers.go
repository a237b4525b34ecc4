package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/residency"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/coord/serverrate"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/sharedlimit"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/upstream"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// servers is this entry's view of the backend servers: the directory, the reports of the
// agents, and the results of its own requests.
type servers struct {
	options Options
	mesh    *mesh.Mesh
	pool    *upstream.Pool
	log     *zap.Logger

	mu     sync.Mutex
	change uint64
	byID   map[string]*server
	// byService lists the servers of each service in the order of their IDs.
	byService map[string][]*server
	// agents are keyed by address and outlive the incarnations of their engines.
	agents map[string]*agentClient
	// candidates is the memory of choose, which is used for each request.
	candidates []dispatch.Candidate
	// shortages are the refusals for want of a turn, by service.
	shortages map[string]*shortage
}

// server is one incarnation of a backend server. Requests read announced, agent and rateName at any time; servers.mu
// protects the other fields.
type server struct {
	// announced is what it announced last; it is replaced as a whole.
	announced atomic.Pointer[roster.Entry]
	// agent is nil for plain services.
	agent *agentClient
	// rateName is the name under which its rate is limited.
	rateName string

	health dispatch.Health
	// speed holds the speed of its machine as its answers told it.
	speed dispatch.Speed
	// inflight counts this entry's requests that were sent to the server and have not ended.
	inflight int
	// running and slots are the load that the server reported with its last answer, at loadAt.
	running int
	slots   int
	loadAt  time.Time
	// sentSinceLoad counts this entry's requests that were sent to the server since loadAt.
	sentSinceLoad int
	// answeredAt is the time of the last answer's header.
	answeredAt time.Time
	// awaiting counts the requests that have chosen it while it names a rate and have no turn yet.
	awaiting int
	// atRate counts the requests that were sent while the server named a rate and not logged yet, since
	// atRateSince; rateFaultAt is when a rate that cannot be read was logged last.
	atRate      int
	atRateSince time.Time
	rateFaultAt time.Time
	// loadFaultLogged is set once a reported load that cannot be read was logged.
	loadFaultLogged bool
}

// newServer returns a server as it was announced, with the agent beside it.
func newServer(e roster.Entry, agent *agentClient) *server {
	v := &server{agent: agent}
	v.announced.Store(&e)
	v.rateName = sharedlimit.ServerName(v.life())
	return v
}

// entry returns what the server announced last.
func (v *server) entry() *roster.Entry { return v.announced.Load() }

func targetOf(v *server) upstream.Target {
	return upstream.Target{Address: v.entry().Address, ID: v.entry().ID}
}

// life identifies the incarnation.
func (v *server) life() serverrate.Life {
	return serverrate.Life{ID: v.entry().ID, Born: v.entry().Born}
}

func newServers(options Options, m *mesh.Mesh, pool *upstream.Pool, log *zap.Logger) *servers {
	return &servers{options: options, mesh: m, pool: pool, log: log, byID: make(map[string]*server), agents: make(map[string]*agentClient), shortages: make(map[string]*shortage)}
}

// start begins to watch the agents of the known servers before the first request.
func (s *servers) start(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(ctx)
}

// refresh applies the directory when it has changed. The caller holds mu.
func (s *servers) refresh(ctx context.Context) {
	change := s.mesh.RosterChange()
	table := s.mesh.Documents().Current().Table
	if change == s.change || table == nil {
		return
	}
	s.change = change
	seen := make(map[string]bool)
	serving := s.mesh.Serving()
	if len(serving) > 0 {
		serverKnown.Reach()
	}
	for i := range serving {
		e := &serving[i]
		seen[e.ID] = true
		known, engine := s.byID[e.ID], hasEngine(table, e.Service)
		if known == nil || known.entry().Born != e.Born || known.entry().Address != e.Address || engine && known.agent == nil {
			s.byID[e.ID] = newServer(*e, s.watchEngine(ctx, engine, e))
			continue
		}
		known.announced.Store(e)
	}
	watched := make(map[*agentClient]bool)
	s.byService = make(map[string][]*server)
	for _, id := range slices.Sorted(maps.Keys(s.byID)) {
		known := s.byID[id]
		if !seen[id] {
			delete(s.byID, id)
			continue
		}
		watched[known.agent] = true
		s.byService[known.entry().Service] = append(s.byService[known.entry().Service], known)
	}
	local, remote := 0, 0
	for address, agent := range s.agents {
		switch {
		case !watched[agent]:
			agent.stop()
			delete(s.agents, address)
		case agent.sameDataCentre:
			local++
		default:
			remote++
		}
	}
	s.setPauses(local, remote)
}

// watchEngine returns the client of the agent beside an engine whose memory is unknown; nil for other servers.
func (s *servers) watchEngine(ctx context.Context, engine bool, e *roster.Entry) *agentClient {
	if !engine {
		return nil
	}
	agent := s.watch(ctx, e.Address, e.DataCentre == s.options.DataCentre)
	agent.resetHeld()
	return agent
}

func hasEngine(table *route.Table, service string) bool {
	found := table.Service(service)
	return found != nil && found.Engine != nil
}

// choose selects a server for a request; it returns nil when there is none.
func (s *servers) choose(ctx context.Context, service *route.Service, r dispatch.Request, model string, l *lineage) (*server, pick) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(ctx)
	known := s.byService[service.Name]
	candidates := s.candidates[:0]
	l.unconfirmed = false
	full := false
	turns := s.turnsOf(service.Name, r.Rank, now)
	for _, v := range known {
		may, unconfirmed := s.mayServeStream(v, l)
		l.unconfirmed = l.unconfirmed || unconfirmed
		c := s.candidate(v, service, &r, model, now)
		c.Connected = s.pool.Idle(targetOf(v)) > 0
		rated, hasTurn := turns.judge(v, c.Model && may)
		c.Excluded = !may || !hasTurn
		if v.full() {
			c.Excluded, full = true, full || c.Model && may && !r.Tried[c.ID]
		}
		c.Due = rated && now.Sub(v.answeredAt) >= rateDueTime
		candidates = append(candidates, c)
	}
	s.candidates = candidates
	if full {
		serversFullCount.Add(1)
	}
	choice := dispatch.Pick(candidates, r, rand.Float64)
	if choice.Index < 0 {
		return nil, pick{noTurnUntil: turns.earliest, full: full}
	}
	p := pick{Choice: choice, Candidate: candidates[choice.Index]}
	p.otherDelay, p.hasOther = dispatch.OtherHolderDelay(candidates, choice.Index)
	return known[choice.Index], p
}

// pick is a chosen server as seen at the choice.
type pick struct {
	dispatch.Choice
	dispatch.Candidate
	// otherDelay is the least delay of another server that holds the adapter, where
	// hasOther is set.
	otherDelay time.Duration
	hasOther   bool
	// noTurnUntil is when a turn is expected at a server that could serve the request but for the rate that it
	// names; zero where there is no such server.
	noTurnUntil time.Time
	// full is set if no server was chosen and at least one was excluded by maxPerSlot.
	full bool
}

// maxPerSlot is the number of this entry's requests, running and waiting, that a plain server may have for each slot that
// it reports. Further ones would wait longer than their callers do, and hold bodies and connections meanwhile.
const maxPerSlot = 3

var serversFullCount = telemetry.Counter("gateway_servers_full")

// full reports whether the server has as many of this entry's requests as maxPerSlot allows. It is false for engines,
// whose agents bound their requests, and for servers that report no slots. servers.mu must be held.
func (v *server) full() bool {
	return v.agent == nil && v.slots > 0 && v.inflight >= maxPerSlot*v.slots
}

func (s *servers) candidate(v *server, service *route.Service, r *dispatch.Request, model string, now time.Time) dispatch.Candidate {
	c := dispatch.Candidate{
		ID: v.entry().ID, DataCentre: v.entry().DataCentre, Batch: v.entry().Slots, Running: v.inflight, Residence: dispatch.Resident, Model: true,
		Answer: v.health.Answer(), FailureShare: v.health.FailureShare(now), InBackoff: v.health.InBackoff(now),
		WarmUp: time.Duration(v.entry().ColdMillis)*time.Millisecond - now.Sub(v.entry().LastHeard),
	}
	c.WarmUp = max(c.WarmUp, 0)
	if service.Engine == nil {
		applySpeed(v, &c, now)
		c.SetReportedLoad(dispatch.ReportedLoad{Running: v.running, At: v.loadAt, Sent: v.sentSinceLoad}, v.inflight, v.health.Answer() > 0, now)
		return c
	}
	if !v.agent.describe(&c, r, model, now) {
		applySpeed(v, &c, now)
		c.Silent = v.agent.silentAfter(v.answeredAt)
		s.applyAnnouncement(v, &c, r, model)
	}
	return c
}

func loadOf(state *wire.EngineState) dispatch.Load {
	delay := make([]time.Duration, 0, len(state.DelayMillis))
	for _, ms := range state.DelayMillis {
		delay = append(delay, millis(ms))
	}
	return dispatch.Load{
		Running: state.Running, Waiting: state.Waiting, Batch: state.Batch, Tokens: state.Tokens, MemoryTokens: state.MemoryTokens,
		Delay: delay, PromptTime: millis(state.PromptMillis), PlaceTime: millis(state.PlaceMillis),
		SlotDelay: millis(state.SlotMillis), LoadTime: millis(state.LoadMillis),
		Slow: dispatch.FactorOf(state.SlowPercent), HoldAbove: state.HoldAbove, Hold: millis(state.HoldMillis),
	}
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// applyAnnouncement fills in the state of an engine without a known agent state from the
// engine's own announcements.
func (s *servers) applyAnnouncement(v *server, c *dispatch.Candidate, r *dispatch.Request, model string) {
	announced, _ := s.mesh.Announced(v.entry().ID)
	c.Model = holds(announced.Models, model)
	c.Residence = dispatch.Absent
	if r.Adapter == "" {
		c.Residence = dispatch.Resident
		return
	}
	if s.announcesAdapter(&announced.Server, r.Adapter, time.Now()) {
		c.Residence = dispatch.Resident
	}
	// Without an agent no adapter can be loaded at this engine.
	c.Model = c.Model && c.Residence == dispatch.Resident
}

// announcesAdapter reports whether an engine has announced that it holds an adapter in a version on which
// requests may start. An agent would see to the version; without one the entry has to.
func (s *servers) announcesAdapter(announced *roster.Server, adapter string, now time.Time) bool {
	config := s.mesh.Documents().Current()
	newest, age := config.State.Adapters[adapter], config.VersionAge(adapter, now)
	for _, held := range announced.Adapters {
		name, text, _ := strings.Cut(held, "@")
		if name != adapter {
			continue
		}
		// A version that cannot be read is 0, older than any that was announced.
		version, _ := strconv.ParseInt(text, 10, 64)
		return residency.MayStart(version, newest, age, s.options.VersionGrace)
	}
	return false
}

// mayStartUnasked reports whether a request for an adapter may be sent to a server without asking an agent:
// at every plain server, and at an engine that has announced a version on which it may start.
func (s *servers) mayStartUnasked(v *server, adapter string) bool {
	if v.agent == nil || adapter == "" {
		return true
	}
	announced, _ := s.mesh.Announced(v.entry().ID)
	return s.announcesAdapter(&announced.Server, adapter, time.Now())
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

// requestSent counts a request in flight at a server until requestEnded. It returns false if the server has as many as it
// may: others may have been sent since it was chosen.
func (s *servers) requestSent(v *server) bool {
	rated := s.isRated(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.full() {
		return false
	}
	v.inflight++
	v.sentSinceLoad++
	if rated {
		s.countAtRate(v, time.Now())
	}
	return true
}

func (s *servers) requestEnded(v *server) {
	s.mu.Lock()
	v.inflight--
	s.mu.Unlock()
}

// serves reports whether this entry's requests are in flight at a server.
func (s *servers) serves(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byID[id]
	return v != nil && v.inflight > 0
}

func (s *servers) headerReceived(v *server, now time.Time) {
	s.mu.Lock()
	v.answeredAt = now
	s.mu.Unlock()
}

// heardAfter reports whether a server, or the agent beside it of its engine, was heard after a time.
func (s *servers) heardAfter(v *server, at time.Time) bool {
	s.mu.Lock()
	answeredAt, agent := v.answeredAt, v.agent
	s.mu.Unlock()
	return answeredAt.After(at) || agent.reportedAfter(at)
}

// agentReports reports whether an agent that is not silent reports the state of the server's engine.
func (s *servers) agentReports(v *server) bool {
	s.mu.Lock()
	answeredAt, agent := v.answeredAt, v.agent
	s.mu.Unlock()
	return agent.isKnown() && !agent.silentAfter(answeredAt)
}

// observe records the load and the health that an answer showed.
func (s *servers) observe(v *server, verdict Verdict, f func(*dispatch.Health)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if verdict.HasLoad {
		v.running, v.slots, v.loadAt = verdict.Running+verdict.Waiting, verdict.Slots, time.Now()
		v.sentSinceLoad = 0
	}
	if f != nil {
		f(&v.health)
	}
}

// keep reports whether connections to a server can still be used.
func (s *servers) keep(target upstream.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byID[target.ID]
	return v != nil && v.entry().Address == target.Address
}
