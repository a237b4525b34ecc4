package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/residency"
)

// FleetLoad describes a fleet of engines, each with an agent that grants starts, and
// its callers: requests for many adapters, and between HotFrom and HotUntil also for
// one that is in demand.
type FleetLoad struct {
	Engines, Entries, DataCentres int
	// Batch and Slots are the requests and the adapters of an engine.
	Batch, Slots int
	Adapters     int
	Skew         float64
	// Rate is the number of requests per second without the adapter in demand,
	// HotRate that of requests for it.
	Rate, HotRate     float64
	HotFrom, HotUntil time.Duration
	Length            time.Duration
	// Run is the mean time from a request's first event to its last.
	Run time.Duration
	// ReportEvery is the interval between two reports of an engine to an entry.
	ReportEvery time.Duration
	// Target is the time within which the first event is due, Patience the time
	// after which a caller without one leaves.
	Target, Patience time.Duration
}

// LargeFleet returns a hundred engines behind entries that hear from each once a
// second. Half of the batches are in use when no adapter is in demand.
func LargeFleet(entries int) FleetLoad {
	return FleetLoad{
		Engines: 100, Entries: entries, DataCentres: 6, Batch: 12, Slots: 10, Adapters: 24_000, Skew: 1.2, Rate: 300, HotRate: 60,
		HotFrom: 5 * time.Second, HotUntil: 15 * time.Second, Length: 25 * time.Second, Run: 1500 * time.Millisecond,
		ReportEvery: time.Second, Target: 800 * time.Millisecond, Patience: 3 * time.Second,
	}
}

// FleetResult tells what callers of one kind got.
type FleetResult struct {
	Asked, InTime, Late, Refused int
	// RefusedBesideIdle counts the refusals while less than half of the batches
	// were in use.
	RefusedBesideIdle int
	// Declined counts the offers that agents declined, Loads the loads from the
	// store.
	Declined, Loads int
	// Copies is the number of engines that held the adapter in demand in each
	// second.
	Copies []int
	// Unevenness is the mean difference, in batches, between the load of the
	// fullest and of the emptiest engine that holds the adapter in demand.
	Unevenness float64
}

// FleetPolicy says how entries and agents find a place for a request.
type FleetPolicy struct {
	// Declines lets agents decline what another engine would serve sooner, and tell
	// their load with each answer.
	Declines bool
}

// hotAdapter is the adapter in demand.
const hotAdapter = "base/hot"

type fleet struct {
	clock
	load     FleetLoad
	policy   FleetPolicy
	arrivals *rand.Rand
	routing  *rand.Rand
	zipf     *zipf
	store    *store
	engines  []*fleetEngine
	entries  []*fleetEntry
	requests int
	result   FleetResult
	hot      FleetResult
	// gap sums the samples of Unevenness.
	gap     float64
	samples int
}

// fleetEngine is an engine with its agent.
type fleetEngine struct {
	fleet   *fleet
	id      string
	zone    string
	table   *residency.Table
	held    map[string]int64
	running map[string]bool
	waiting map[string]*fleetRequest
}

// fleetEntry is an entry with what it knows of each engine.
type fleetEntry struct {
	fleet *fleet
	zone  string
	known []knownEngine
}

type knownEngine struct {
	load dispatch.Load
	sent dispatch.Sent
	held []string
	past dispatch.Held
	at   time.Duration
}

type fleetRequest struct {
	id      string
	adapter string
	prompt  int
	run     time.Duration
	arrived time.Duration
	entry   *fleetEntry
	offers  dispatch.Offers
	tried   map[string]bool
	tries   int
}

// RunFleet plays a load in virtual time. It returns what all callers got, and what
// those of the adapter in demand got.
func RunFleet(load FleetLoad, policy FleetPolicy, seed uint64) (all, hot FleetResult) {
	f := &fleet{load: load, policy: policy, arrivals: newRand(seed, 1), routing: newRand(seed, 2), zipf: newZipf(load.Adapters, load.Skew, newRand(seed, 3))}
	f.store = newStore(&f.clock)
	f.store.knee = load.Engines / 3
	for i := range load.Engines {
		e := &fleetEngine{fleet: f, id: fmt.Sprintf("engine-%03d", i), zone: fmt.Sprint(i % load.DataCentres),
			held: make(map[string]int64), running: make(map[string]bool), waiting: make(map[string]*fleetRequest)}
		e.table = residency.New(residency.Options{MaxAdapters: load.Slots, Batch: load.Batch, MemoryTokens: 1_000_000, Loads: 2, Queue: 8 * load.Batch, Grace: time.Second})
		f.engines = append(f.engines, e)
		f.every(engineReportEvery, e.report)
	}
	for i := range load.Entries {
		n := &fleetEntry{fleet: f, zone: fmt.Sprint(i % load.DataCentres), known: make([]knownEngine, load.Engines)}
		f.entries = append(f.entries, n)
		for j := range f.engines {
			f.after(time.Duration(f.routing.Int64N(int64(load.ReportEvery))), func() { n.watch(j) })
		}
	}
	f.every(100*time.Millisecond, f.sample)
	f.nextArrival(load.Rate, func() string { return fmt.Sprintf("base/a%d", f.zipf.draw(f.arrivals)) })
	f.after(load.HotFrom, func() { f.nextArrival(load.HotRate, func() string { return hotAdapter }) })
	f.run(load.Length)
	f.result.Loads = f.store.started
	f.hot.Copies, f.hot.Unevenness = f.result.Copies, f.gap/float64(max(f.samples, 1))
	return f.result, f.hot
}

// maxFleetTries limits the engines at which one request waits.
const maxFleetTries = 5

// engineReportEvery is the interval at which an agent reads its engine's report.
const engineReportEvery = 50 * time.Millisecond

// firstEventTime is the time of an engine to the first event of a prompt.
func firstEventTime(prompt int) time.Duration {
	return 18*time.Millisecond + time.Duration(prompt)*time.Millisecond/20
}

func (f *fleet) nextArrival(rate float64, adapter func() string) {
	f.after(time.Duration(f.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		name := adapter()
		if name == hotAdapter && f.at > f.load.HotUntil {
			return
		}
		f.requests++
		r := &fleetRequest{id: fmt.Sprint(f.requests), adapter: name, prompt: 400 + f.arrivals.IntN(1600), arrived: f.at,
			run: time.Duration(f.arrivals.ExpFloat64() * float64(f.load.Run)), entry: f.entries[f.arrivals.IntN(len(f.entries))], tried: make(map[string]bool)}
		f.count(r, func(x *FleetResult) { x.Asked++ })
		r.entry.offer(r)
		f.nextArrival(rate, adapter)
	})
}

// count applies an outcome to the result of all callers and, if the request is one
// of them, to that of the callers of the adapter in demand.
func (f *fleet) count(r *fleetRequest, add func(*FleetResult)) {
	add(&f.result)
	if r.adapter == hotAdapter {
		add(&f.hot)
	}
}

// sample records the copies of the adapter in demand and how evenly they are loaded.
func (f *fleet) sample() {
	copies, lowest, highest := 0, 1e9, 0.0
	for _, e := range f.engines {
		if _, held := e.held[hotAdapter]; !held {
			continue
		}
		copies++
		use := float64(e.table.Running()+e.table.Waiting()) / float64(f.load.Batch)
		lowest, highest = min(lowest, use), max(highest, use)
	}
	if copies > 1 && f.at > f.load.HotFrom && f.at < f.load.HotUntil {
		f.gap += highest - lowest
		f.samples++
	}
	if int(f.at/time.Second) == len(f.result.Copies) {
		f.result.Copies = append(f.result.Copies, copies)
	}
}

// use returns the share of all batches that is in use.
func (f *fleet) use() float64 {
	running := 0
	for _, e := range f.engines {
		running += e.table.Running()
	}
	return float64(running) / float64(f.load.Batch*len(f.engines))
}

func (n *fleetEntry) watch(engine int) {
	n.learn(engine)
	n.fleet.after(n.fleet.load.ReportEvery, func() { n.watch(engine) })
}

// learn brings what the entry knows of an engine up to date.
func (n *fleetEntry) learn(engine int) {
	k, e := &n.known[engine], n.fleet.engines[engine]
	held, _ := e.table.Held(n.fleet.now())
	k.past.Update(held)
	k.load, k.sent, k.held, k.at = e.load(), dispatch.Sent{}, held, n.fleet.at
}

func (n *fleetEntry) candidates(r *fleetRequest) []dispatch.Candidate {
	list := make([]dispatch.Candidate, len(n.known))
	for i := range n.known {
		k, c := &n.known[i], &list[i]
		*c = dispatch.Candidate{ID: n.fleet.engines[i].id, DataCentre: n.fleet.engines[i].zone, Model: true, Connected: true, Age: n.fleet.at - k.at}
		c.SetLoad(&k.load, k.sent, 0)
		switch {
		case slices.Contains(k.held, r.adapter):
			c.Residence = dispatch.Resident
		case k.past.Recent(r.adapter):
			c.Residence = dispatch.RecentlyHeld
		}
	}
	return list
}

// offer offers a request to the best engine that the entry knows.
func (n *fleetEntry) offer(r *fleetRequest) {
	f := n.fleet
	left := f.load.Patience - (f.at - r.arrived)
	candidates := n.candidates(r)
	query := dispatch.Request{Adapter: r.adapter, DataCentre: n.zone, Tokens: r.prompt, Target: f.load.Target, Spent: f.at - r.arrived, Left: left, Tried: r.tried}
	choice := dispatch.Pick(candidates, query, f.routing.Float64)
	chosen := &candidates[choice.Index]
	if _, hopeless := r.offers.Hopeless(chosen, &query, left); hopeless || left <= 0 || r.tries >= maxFleetTries {
		f.refused(r)
		return
	}
	admit := residency.Request{ID: r.id, Adapter: r.adapter, Prompt: r.prompt, Tokens: r.prompt,
		Target: f.now().Add(f.load.Target - query.Spent), StartDeadline: f.now().Add(r.offers.Wait(chosen, &query, left))}
	if f.policy.Declines {
		conditions := r.offers.Conditions(choice, chosen, left)
		admit.MaxDelay, admit.OnlyIfHeld = conditions.MaxDelay, conditions.OnlyIfHeld
	}
	k := &n.known[choice.Index]
	k.sent.Starts++
	k.sent.Prompt += r.prompt
	engine := f.engines[choice.Index]
	f.after(hop, func() {
		engine.waiting[r.id] = r
		engine.perform(engine.table.Admit(admit, f.now()))
	})
}

func (f *fleet) refused(r *fleetRequest) {
	f.count(r, func(x *FleetResult) {
		x.Refused++
		if f.use() < 0.5 {
			x.RefusedBesideIdle++
		}
	})
}

func (e *fleetEngine) load() dispatch.Load {
	t, now := e.table, e.fleet.now()
	delay := t.Delay(now)
	return dispatch.Load{Running: t.Running(), Waiting: t.Waiting(), Batch: e.fleet.load.Batch, Tokens: t.Tokens(), MemoryTokens: 1_000_000,
		Delay: delay[:], PromptTime: t.PromptCost(now), PlaceTime: t.PlaceTime(), SlotDelay: t.SlotDelay(), LoadTime: time.Duration(t.LoadBacklog()/2+1) * storeLoadTime}
}

// report passes the engine's report to its agent.
func (e *fleetEngine) report() {
	report := residency.Report{Held: e.held, Running: e.running, RequestedAt: e.fleet.now()}
	e.perform(e.table.Apply(report, e.fleet.now()))
}

func (e *fleetEngine) perform(actions []residency.Action) {
	f := e.fleet
	for _, action := range actions {
		switch a := action.(type) {
		case residency.Start:
			e.begin(a.ID)
		case residency.Refuse:
			r := e.waiting[a.ID]
			delete(e.waiting, a.ID)
			f.after(hop, func() { e.refusedStart(r, a.Reason) })
		case residency.Load:
			f.store.begin(func() {
				e.held[a.Adapter] = a.Version
				e.report()
			})
		case residency.Unload:
			delete(e.held, a.Adapter)
			f.after(0, func() { e.perform(e.table.Unloaded(a.Adapter, f.now())) })
		}
	}
}

// refusedStart returns a request to its entry, which offers it to another engine.
func (e *fleetEngine) refusedStart(r *fleetRequest, reason residency.Reason) {
	if e.fleet.policy.Declines {
		r.entry.learn(slices.Index(e.fleet.engines, e))
	}
	if reason.Declined() {
		e.fleet.count(r, func(x *FleetResult) { x.Declined++ })
		r.offers.Declined()
	} else {
		r.tried[e.id] = true
		r.tries++
	}
	r.entry.offer(r)
}

func (e *fleetEngine) begin(id string) {
	f, r := e.fleet, e.waiting[id]
	delete(e.waiting, id)
	e.running[id] = true
	if f.policy.Declines {
		f.after(hop, func() { r.entry.learn(slices.Index(f.engines, e)) })
	}
	first := firstEventTime(r.prompt)
	f.after(first, func() {
		e.table.FirstEvent(id, f.now())
		f.count(r, func(x *FleetResult) {
			if f.at-r.arrived <= f.load.Target {
				x.InTime++
			} else {
				x.Late++
			}
		})
	})
	f.after(first+r.run, func() {
		delete(e.running, id)
		e.perform(e.table.Done(id, f.now()))
	})
}
