package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/broker"
	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/placement"
	"github.com/rosemarypass/rosemarypass/coord/prefixcache"
	"github.com/rosemarypass/rosemarypass/coord/slots"
)

const (
	baseModel   = "base"
	servicePool = "desk"
)

// world is the state of one simulation run.
type world struct {
	clock
	deployment Deployment
	scenario   Scenario
	policy     Policy
	arrivals   *rand.Rand
	routing    *rand.Rand
	popularity *zipf
	store      *store
	permits    Permits
	servers    []*server
	byName     map[string]*server
	entries    []*entry
	announced  []membership.Announcement
	version    int
	lastID     slots.RequestID
	meter      *meter
	prompts    *promptSource
	losses     *rand.Rand
}

// request is one request in progress.
type request struct {
	ref      catalogue.Ref
	service  bool
	contract int
	length   time.Duration
	arrived  time.Duration
	// stall is the time spent waiting for an adapter so far.
	stall    time.Duration
	attempts int
	// declined lists the servers that had no free slot.
	declined []string
	tried    []string
	entry    *entry
	prompt   []prefixcache.Block
}

// entry passes new load reports to its chooser before it picks a server.
type entry struct {
	Chooser
	version int
}

func newWorld(d Deployment, s Scenario, p Policy, seed uint64) *world {
	w := &world{
		deployment: d,
		scenario:   s,
		policy:     p,
		arrivals:   newRand(seed, 1),
		routing:    newRand(seed, 2),
		permits:    p.Permits(),
		byName:     make(map[string]*server),
		meter:      newMeter(),
	}
	w.popularity = newZipf(d.Adapters, d.Skew, newRand(seed, 3))
	w.losses = newRand(seed, 5)
	w.prompts = newPromptSource(newRand(seed, 4), d.Conversations)
	w.store = newStore(&w.clock)
	for i := range d.Engines + d.Services {
		server := newServer(w, i)
		w.servers = append(w.servers, server)
		w.byName[server.name] = server
		w.announced = append(w.announced, server.announcement())
	}
	for i := range s.Entries {
		w.entries = append(w.entries, &entry{Chooser: p.Chooser(d, uint64(i))})
	}
	return w
}

func (w *world) start() {
	w.version++
	for i, server := range w.servers {
		w.startReports(i, server)
	}
	w.every(tickEvery, func() {
		w.deliver(w.permits.Tick(w.now()))
		for _, server := range w.servers {
			server.perform(server.table.Tick(w.now()))
		}
	})
	w.every(renewEvery, func() {
		for _, server := range w.servers {
			server.renew()
		}
	})
	w.every(time.Second, w.meter.sample(w))
	w.nextArrival(false)
	w.nextArrival(true)
	w.after(w.scenario.At, w.triggerEvent)
}

// startReports publishes a server's load periodically.
func (w *world) startReports(i int, server *server) {
	interval := w.scenario.ReportEvery
	if w.scenario.StaleEvery > 0 && i%2 == 0 {
		interval = w.scenario.StaleEvery
	}
	offset := time.Duration(0)
	if !w.scenario.Together {
		offset = interval * time.Duration(i) / time.Duration(len(w.servers))
	}
	w.after(offset, func() {
		w.every(interval, func() {
			report := server.announcement()
			w.publishCache(server)
			w.after(reportDelay, func() {
				w.announced[i] = report
				w.version++
			})
		})
	})
}

// reportDelay is the time from the creation of a report to its arrival at the
// entries.
const reportDelay = 100 * time.Millisecond

// triggerEvent applies the scenario's event.
func (w *world) triggerEvent() {
	if w.scenario.Shift {
		w.popularity.shuffle()
	}
	if w.scenario.Restart {
		for i := 0; i < w.deployment.Engines; i += 3 {
			w.servers[i].restart()
		}
	}
	if w.scenario.SlowStore {
		w.store.setKnee(1)
		w.after(2*time.Minute, func() { w.store.setKnee(storeKnee) })
	}
}

// fadingShare is the share of the demand that remains at the end of a Fading
// scenario.
const fadingShare = 0.25

func (w *world) rate(service bool) float64 {
	rate := w.deployment.Rate
	if service {
		rate = w.deployment.ServiceRate
	}
	if w.scenario.Fading {
		rate *= 1 - (1-fadingShare)*w.at.Seconds()/w.scenario.Length.Seconds()
	}
	return rate
}

func (w *world) nextArrival(service bool) {
	gap := time.Duration(w.arrivals.ExpFloat64() / w.rate(service) * float64(time.Second))
	w.after(gap, func() {
		w.send(w.newRequest(service))
		w.nextArrival(service)
	})
}

func (w *world) newRequest(service bool) *request {
	r := &request{service: service, arrived: w.at, entry: w.entries[w.arrivals.IntN(len(w.entries))]}
	if service {
		r.contract = w.arrivals.IntN(contracts)
		r.length = time.Duration(w.arrivals.ExpFloat64() * float64(serviceTime))
		return r
	}
	adapter := w.popularity.draw(w.arrivals)
	r.ref = catalogue.Ref{Adapter: fmt.Sprintf("adapter-%d", adapter), Version: "1"}
	r.contract = adapter % contracts
	tokens := math.Ceil(w.arrivals.ExpFloat64() * w.deployment.Tokens)
	r.length = time.Duration(tokens) * tokenTime
	w.meter.recordArrival(w, r)
	if w.deployment.Conversations > 0 {
		r.prompt = w.prompts.prompt(r.ref)
	}
	return r
}

// send picks a server for a request and sends the request there, as an entry does.
func (w *world) send(r *request) {
	query := placement.Request{Kind: membership.KindEngine, Ref: r.ref, BaseModel: baseModel, Prefix: r.prompt, Exclude: slices.Concat(r.tried, r.declined)}
	if r.service {
		query = placement.Request{Kind: membership.KindService, Pool: servicePool, Exclude: r.tried}
	}
	if r.entry.version != w.version {
		r.entry.version = w.version
		r.entry.Observe(w.announced, w.now())
	}
	chosen, ok := r.entry.Pick(query, w.now())
	if !ok || r.attempts == maxAttempts {
		w.meter.failed(w, r)
		return
	}
	r.attempts++
	r.entry.Dispatched(chosen.Server, r.ref, w.now())
	r.entry.DispatchedPrompt(chosen.Server, r.prompt)
	w.after(hop, func() { w.byName[chosen.Server].receive(r) })
}

// refused retries a request that a server did not run.
func (w *world) refused(r *request, s *server, reason slots.Reason) {
	w.after(hop, func() {
		if reason == slots.ReasonNoSlot {
			r.entry.Declined(s.name, w.now())
			r.declined = append(r.declined, s.name)
			r.attempts--
		} else {
			r.entry.Finished(s.name, r.ref, 0, w.now())
			r.tried = append(r.tried, s.name)
		}
		w.send(r)
	})
}

func (w *world) deliver(grants []broker.Grant) {
	for _, g := range grants {
		w.after(hop, func() { w.byName[g.Agent].granted(g) })
	}
}

// server is a backend server with its agent.
type server struct {
	world    *world
	name     string
	engine   bool
	table    *slots.Table
	batch    *batch
	prefixes *prefixes
	// starts and events are the epoch and the sequence number of the engine's
	// cache events.
	starts, events uint64
	waiting        map[slots.RequestID]*waiter
	loads          map[slots.OrderID]func()
	incarnation    uint64
	sequence       uint64
	loadTime       time.Duration
	requestedAt    map[slots.OrderID]time.Duration
	// pendingAsks are the loads that wait for a permit.
	pendingAsks []slots.PermitRequest
}

type waiter struct {
	request *request
	since   time.Duration
}

func newServer(w *world, i int) *server {
	options := w.policy.Slots
	options.Slots, options.Queue = w.deployment.Slots, queueBound
	return &server{
		world:       w,
		name:        fmt.Sprintf("server-%02d", i),
		engine:      i < w.deployment.Engines,
		table:       slots.NewTable(options),
		batch:       newBatch(&w.clock, w.deployment.Capacity),
		prefixes:    newPrefixes(),
		waiting:     make(map[slots.RequestID]*waiter),
		loads:       make(map[slots.OrderID]func()),
		requestedAt: make(map[slots.OrderID]time.Duration),
	}
}

func (s *server) announcement() membership.Announcement {
	s.sequence++
	a := membership.Announcement{Server: s.name, Kind: membership.KindService, Pool: servicePool, Sequence: s.sequence}
	a.Load = membership.Load{Running: s.batch.running, Waiting: len(s.batch.queue), Capacity: s.batch.capacity}
	if !s.engine {
		return a
	}
	report := s.table.Report(s.world.now())
	a.Kind, a.Pool, a.BaseModel, a.Slots = membership.KindEngine, "llm", baseModel, s.world.deployment.Slots
	a.Load.Running, a.Load.Waiting = report.Running, report.Waiting
	a.Load.Resident, a.Load.Loading = report.Resident, report.Loading
	a.Load.Obtainable, a.Load.VictimUse = report.Obtainable, report.VictimUse
	a.Load.LoadMillis = int(s.loadTime.Milliseconds())
	return a
}

func (s *server) receive(r *request) {
	w := s.world
	if r.service {
		s.runJob(r, 0)
		return
	}
	w.lastID++
	s.waiting[w.lastID] = &waiter{request: r, since: w.at}
	s.perform(s.table.Request(slots.Claim{Request: w.lastID, Ref: r.ref, Weight: 1, WaitForSlot: w.policy.WaitForSlot || len(r.declined) == maxDeclines}, w.now()))
}

func (s *server) perform(actions []slots.Action) {
	w := s.world
	for _, action := range actions {
		switch a := action.(type) {
		case slots.Start:
			s.begin(a.Request)
		case slots.Refuse:
			r := s.dequeue(a.Request)
			w.refused(r, s, a.Reason)
		case slots.PermitRequest:
			if _, again := s.requestedAt[a.Order]; !again {
				s.requestedAt[a.Order] = w.at
			}
			s.dropAsk(a.Order)
			s.pendingAsks = append(s.pendingAsks, a)
			s.ask(a)
		case slots.Return:
			s.returnPermit(a.Order)
		case slots.Load:
			s.load(a)
		case slots.Unload:
			w.after(hop, func() { s.perform(s.table.Unloaded(a.Order, w.now())) })
		}
	}
}

func (s *server) ask(a slots.PermitRequest) {
	w := s.world
	ask := broker.Ask{Key: s.key(a.Order), Demand: a.Demand, Waited: w.now().Sub(a.Since)}
	w.after(hop, func() { w.deliver(w.permits.Ask(ask, w.now())) })
}

// renew repeats the requests for permits, as agents do, because the broker drops
// requests that are not renewed.
func (s *server) renew() {
	for _, a := range s.pendingAsks {
		s.ask(a)
	}
}

func (s *server) dropAsk(order slots.OrderID) {
	s.pendingAsks = slices.DeleteFunc(s.pendingAsks, func(a slots.PermitRequest) bool { return a.Order == order })
}

func (s *server) key(order slots.OrderID) broker.Key {
	return broker.Key{Agent: s.name, Incarnation: s.incarnation, Order: uint64(order)}
}

func (s *server) dequeue(id slots.RequestID) *request {
	waiting := s.waiting[id]
	delete(s.waiting, id)
	waiting.request.stall += s.world.at - waiting.since
	return waiting.request
}

func (s *server) begin(id slots.RequestID) {
	s.runJob(s.dequeue(id), id)
}

func (s *server) runJob(r *request, id slots.RequestID) {
	w := s.world
	j := &job{length: r.length}
	j.started = func() {
		w.meter.started(w, r)
		held := s.prefixes.compute(r.prompt)
		w.meter.computed(w, r, held)
		j.length += time.Duration(len(r.prompt)-held) * blockTime
	}
	j.aborted = func() { w.refused(r, s, slots.ReasonEngineRestarted) }
	j.done = func() {
		s.perform(s.table.Release(id, w.now()))
		w.after(hop, func() { r.entry.Finished(s.name, r.ref, j.length, w.now()) })
	}
	s.batch.add(j)
}

func (s *server) granted(g broker.Grant) {
	if g.Incarnation == s.incarnation {
		s.dropAsk(slots.OrderID(g.Order))
		s.perform(s.table.Granted(slots.OrderID(g.Order), s.world.now()))
	}
}

func (s *server) returnPermit(order slots.OrderID) {
	w, key := s.world, s.key(order)
	delete(s.requestedAt, order)
	s.dropAsk(order)
	if cancel, loading := s.loads[order]; loading {
		cancel()
		delete(s.loads, order)
	}
	w.after(hop, func() { w.deliver(w.permits.Return(key, w.now())) })
}

// loadGain is the weight of a new measurement in the moving average of the load
// time.
const loadGain = 0.2

func (s *server) load(a slots.Load) {
	w, key, began := s.world, s.key(a.Order), s.world.at
	s.loads[a.Order] = w.store.begin(func() {
		delete(s.loads, a.Order)
		took := w.at - began
		total := w.at - s.requestedAt[a.Order]
		delete(s.requestedAt, a.Order)
		s.loadTime += time.Duration(loadGain * float64(total-s.loadTime))
		w.after(hop, func() { w.deliver(w.permits.Loaded(key, took, w.now())) })
		s.perform(s.table.Loaded(a.Order, w.now()))
	})
}

// restart restarts the engine with empty slots and caches. Its requests are aborted,
// and the entries send them to other servers.
func (s *server) restart() {
	s.batch.crash()
	s.prefixes = newPrefixes()
	s.starts++
	s.events = 0
	s.perform(s.table.EngineRestarted())
}
