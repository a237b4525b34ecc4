package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/rendezvous"
	"github.com/rosemarypass/rosemarypass/coord/residency"
)

// EvenLoad describes a fleet of engines of unequal and changing speed, whose entries
// choose by views of a given age. Arrivals, their entries, and the speed of each
// engine depend on the seed alone: each policy meets the same ones.
type EvenLoad struct {
	Name             string
	Entries, Engines int
	// Utilisation is the demand relative to the requests that the batches of all
	// engines run at their mean speed.
	Utilisation float64
	// ReportEvery is the interval between two reports of an engine to an entry, and
	// thus the maximum age of a view.
	ReportEvery time.Duration
	Length      time.Duration
	// Deaf entries, one in ten, get no reports for 3 s from the middle of the run.
	Deaf bool
	// FalseReports makes one engine in fifty always report that it is empty, and
	// another one that its batch is full.
	FalseReports bool
	// Partial entries, one in ten, see a tenth of the engines.
	Partial bool
	// Together makes all entries start in the middle of the run, without views and
	// with their reports at the same times.
	Together bool
}

const (
	// evenWarmUp is longer than the oldest view: until then entries choose by views of
	// the empty fleet.
	evenWarmUp = 4 * time.Second
	// evenBatch and evenSlots are the requests and the adapters of an engine, and
	// evenRun the mean time that a request runs at baseline speed.
	evenBatch, evenSlots = 12, 10
	evenRun              = 1500 * time.Millisecond
	// evenAdapters is the number of adapters per engine; untied is the share of
	// requests without an adapter.
	evenAdapters = 4
	evenSkew     = 0.9
	untied       = 0.05
	evenTarget   = time.Second
	evenPatience = 3 * time.Second
	// evenPublish is the interval between two states that an agent publishes.
	evenPublish = 50 * time.Millisecond
	deafFor     = 3 * time.Second
	// recentLoadTime is the time of a load from an engine's own memory.
	recentLoadTime = storeLoadTime / 10
)

// phaseFactors are the times that work takes, relative to the baseline, in the
// phases of a machine; the values and lengths are those of production servers.
// machineFactors are the permanent differences between machines.
var (
	phaseFactors   = []float64{0.6, 1, 1, 1, 1, 1, 1.5, 1.5, 2.5, 2.5}
	machineFactors = []float64{0.75, 1, 1.25}
)

const (
	shortestPhase = 200 * time.Millisecond
	longestPhase  = 700 * time.Millisecond
)

// EvenResult holds what callers got and how evenly the engines were loaded, after
// the warm-up.
type EvenResult struct {
	Asked, InTime, Late, Refused int
	// BesideHolder counts the requests not served in time although, while they
	// waited for their start, an engine with their adapter could have started them at
	// once and served them in time. BesideIdle counts also those that an engine could
	// have served in time after a load.
	BesideHolder, BesideIdle int
	// Offers counts the starts requested, Declined those that agents declined.
	Offers, Declined int
	// Loads counts loads from the store.
	Loads int
	// Unevenness is the mean standard deviation, over the engines, of the batch in
	// use and the queue relative to the batch.
	Unevenness float64
	// Overrun is the mean share of engines with a queue, Idle that of engines with
	// less than half of the batch in use, while any engine has a queue.
	Overrun, Idle float64
	// DelayGap is the mean difference between the delay of the engine that took a
	// request and the least delay of an engine that held its adapter.
	DelayGap time.Duration
	// FirstP99 is the 99th percentile of the time to the first event of requests
	// that got one.
	FirstP99 time.Duration
}

// phase is a period of constant speed of a machine.
type phase struct {
	until  time.Duration
	factor float64
}

func drawPhases(random *rand.Rand, length time.Duration) []phase {
	machine := machineFactors[random.IntN(len(machineFactors))]
	var phases []phase
	for at := time.Duration(0); at < length; {
		at += shortestPhase + time.Duration(random.Int64N(int64(longestPhase-shortestPhase)))
		phases = append(phases, phase{until: at, factor: machine * phaseFactors[random.IntN(len(phaseFactors))]})
	}
	return phases
}

type evenFleet struct {
	clock
	load       EvenLoad
	balancing  Balancing
	arrivals   *rand.Rand
	routing    *rand.Rand
	zipf       *zipf
	store      *store
	engines    []*evenEngine
	entries    []*evenEntry
	candidates []dispatch.Candidate
	requests   int
	result     EvenResult
	firsts     []time.Duration
	// samples counts the samples of Unevenness, queued those of Overrun and Idle.
	samples, queued int
	gap             time.Duration
	taken           int
}

// engineView is what an agent published at one time.
type engineView struct {
	at     time.Duration
	load   dispatch.Load
	held   map[string]bool
	recent map[string]bool
}

type evenEngine struct {
	fleet    *evenFleet
	index    int
	id       string
	phases   []phase
	at       int
	table    *residency.Table
	held     map[string]int64
	past     dispatch.Held
	dropped  map[string]bool
	heldNow  map[string]bool
	running  map[string]bool
	waiting  map[string]*evenRequest
	readFree time.Duration
	// history holds the published views, the newest last.
	history []*engineView
	// falseLoad is reported instead of the load.
	falseLoad *dispatch.Load
}

type evenEntry struct {
	fleet    *evenFleet
	index    int
	offset   []time.Duration
	views    []evenView
	balancer Balancer
}

type evenView struct {
	view *engineView
	sent dispatch.Sent
	at   time.Duration
	// floor is used by policies with Balancing.Floors.
	floor dispatch.DelayFloor
}

type evenRequest struct {
	id      string
	adapter string
	prompt  int
	run     time.Duration
	arrived time.Duration
	entry   *evenEntry
	offers  dispatch.Offers
	tried   map[string]bool
	tries   int
	// besideHolder and besideIdle are set once an engine could have served it in
	// time while it waited.
	besideHolder, besideIdle bool
	// maxDelay is the limit of the offer under way.
	maxDelay time.Duration
}

// RunEven simulates a load under a policy in virtual time.
func RunEven(load EvenLoad, balancing Balancing, seed uint64) EvenResult {
	f := &evenFleet{load: load, balancing: balancing, arrivals: newRand(seed, 1), routing: newRand(seed, 2)}
	f.zipf = newZipf(evenAdapters*load.Engines, evenSkew, newRand(seed, 3))
	f.store = newStore(&f.clock)
	f.store.knee = max(load.Engines/3, 1)
	f.candidates = make([]dispatch.Candidate, load.Engines)
	rate, speeds := 0.0, newRand(seed, 4)
	for i := range load.Engines {
		e := &evenEngine{fleet: f, index: i, id: fmt.Sprintf("engine-%03d", i), phases: drawPhases(speeds, load.Length+time.Minute),
			held: make(map[string]int64), running: make(map[string]bool), waiting: make(map[string]*evenRequest)}
		e.table = residency.New(residency.Options{MaxAdapters: evenSlots, Batch: evenBatch, MemoryTokens: 1_000_000, Loads: 2, Queue: 8 * evenBatch, Grace: time.Second})
		if load.FalseReports && i%50 == 0 {
			e.falseLoad = &dispatch.Load{Batch: evenBatch, MemoryTokens: 1_000_000, LoadTime: storeLoadTime}
		}
		if load.FalseReports && i%50 == 25 {
			e.falseLoad = &dispatch.Load{Running: evenBatch, Waiting: 2 * evenBatch, Batch: evenBatch, MemoryTokens: 1_000_000, LoadTime: storeLoadTime,
				Delay: []time.Duration{2 * time.Second}, PlaceTime: evenRun / evenBatch}
		}
		f.engines = append(f.engines, e)
		rate += load.Utilisation * evenBatch / (evenRun.Seconds() * e.meanFactor())
	}
	f.hold()
	for i := range load.Entries {
		n := &evenEntry{fleet: f, index: i, offset: make([]time.Duration, load.Engines), views: make([]evenView, load.Engines), balancer: balancing.New(i, load.Engines)}
		for j := range n.offset {
			n.offset[j] = time.Duration(f.routing.Int64N(int64(load.ReportEvery)))
			if load.Together {
				n.offset[j] = 0
			}
		}
		f.entries = append(f.entries, n)
	}
	if load.Together {
		f.after(load.Length/2, func() {
			for i, n := range f.entries {
				n.views, n.balancer = make([]evenView, load.Engines), balancing.New(i, load.Engines)
			}
		})
	}
	for _, e := range f.engines {
		e.publish()
		f.after(time.Duration(f.routing.Int64N(int64(evenPublish))), func() { f.every(evenPublish, e.publish) })
	}
	f.every(evenPublish, f.sample)
	f.nextArrival(rate)
	f.run(load.Length)
	for _, e := range f.engines {
		for _, r := range e.waiting {
			// A request that is late already and still waits counts as late: else the
			// longest queues at the end would not count.
			if f.at-r.arrived > evenTarget {
				f.settle(r, func(x *EvenResult) { x.Late++ })
			}
		}
	}
	f.result.Unevenness /= float64(max(f.samples, 1))
	f.result.Overrun /= float64(max(f.queued, 1))
	f.result.Idle /= float64(max(f.queued, 1))
	f.result.DelayGap = f.gap / time.Duration(max(f.taken, 1))
	f.result.FirstP99 = quantile(f.firsts, 0.99)
	return f.result
}

// hold distributes the most popular adapters over the slots, each to the first
// engines of its rendezvous order with a free slot, in proportion to its demand.
func (f *evenFleet) hold() {
	total := f.zipf.cumulative[len(f.zipf.cumulative)-1]
	for place := range f.zipf.cumulative {
		share := f.zipf.cumulative[place] / total
		if place > 0 {
			share -= f.zipf.cumulative[place-1] / total
		}
		copies := max(int(math.Ceil(share*float64(len(f.engines))*1.2)), 1)
		name := adapterName(f.zipf.order[place])
		f.holdCopies(name, copies)
	}
}

// keptFree is the number of slots of each engine that are free at the start.
const keptFree = 3

func (f *evenFleet) holdCopies(name string, copies int) {
	for range copies {
		best, highest := -1, uint64(0)
		for i, e := range f.engines {
			if _, held := e.held[name]; held || len(e.held) >= evenSlots-keptFree {
				continue
			}
			if weight := rendezvous.Weight(name, e.id); best < 0 || weight > highest {
				best, highest = i, weight
			}
		}
		if best < 0 {
			return
		}
		f.engines[best].held[name] = 0
	}
}

func adapterName(i int) string { return fmt.Sprintf("base/a%d", i) }

func (e *evenEngine) meanFactor() float64 {
	sum, from := 0.0, time.Duration(0)
	for _, p := range e.phases {
		sum += p.factor * (p.until - from).Seconds()
		from = p.until
	}
	return sum / from.Seconds()
}

// finish returns when work that takes the given time at baseline speed ends if it
// begins at a time, which must not be in the past.
func (e *evenEngine) finish(at, work time.Duration) time.Duration {
	for e.at < len(e.phases)-1 && e.phases[e.at].until <= e.fleet.at {
		e.at++
	}
	for _, p := range e.phases[e.at:] {
		if p.until <= at {
			continue
		}
		needed := time.Duration(float64(work) * p.factor)
		if at+needed <= p.until {
			return at + needed
		}
		work -= time.Duration(float64(p.until-at) / p.factor)
		at = p.until
	}
	return at + work
}

// firstEvent returns when a prompt that starts at a time would give its first event.
func (e *evenEngine) firstEvent(at time.Duration, prompt int) time.Duration {
	return e.finish(max(at, e.readFree), firstEventTime(prompt))
}

func (f *evenFleet) nextArrival(rate float64) {
	f.after(time.Duration(f.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		f.requests++
		r := &evenRequest{id: fmt.Sprint(f.requests), prompt: 400 + f.arrivals.IntN(1600), arrived: f.at,
			run: time.Duration(f.arrivals.ExpFloat64() * float64(evenRun)), entry: f.entries[f.arrivals.IntN(len(f.entries))], tried: make(map[string]bool)}
		if name := adapterName(f.zipf.draw(f.arrivals)); f.arrivals.Float64() >= untied {
			r.adapter = name
		}
		if r.arrived >= evenWarmUp {
			f.result.Asked++
		}
		r.entry.offer(r)
		f.nextArrival(rate)
	})
}

// settle counts the outcome of a request.
func (f *evenFleet) settle(r *evenRequest, add func(*EvenResult)) {
	if r.arrived < evenWarmUp {
		return
	}
	inTime := f.result.InTime
	add(&f.result)
	if f.result.InTime > inTime {
		return
	}
	if r.besideHolder {
		f.result.BesideHolder++
	}
	if r.besideIdle {
		f.result.BesideIdle++
	}
}

// sample records how evenly the engines are loaded, and which waiting requests
// another engine could serve in time.
func (f *evenFleet) sample() {
	if f.at < evenWarmUp {
		return
	}
	idle := f.idleEngines()
	sum, squares, overrun, half := 0.0, 0.0, 0, 0
	for _, e := range f.engines {
		use := float64(e.table.Running()+e.table.Waiting()) / evenBatch
		sum, squares = sum+use, squares+use*use
		if e.table.Waiting() > 0 {
			overrun++
		}
		if 2*e.table.Running() < evenBatch {
			half++
		}
		for _, r := range e.waiting {
			f.markBeside(r, e, idle)
		}
	}
	n := float64(len(f.engines))
	f.result.Unevenness += stdDev(sum, squares, n)
	f.samples++
	if overrun > 0 {
		f.result.Overrun += float64(overrun) / n
		f.result.Idle += float64(half) / n
		f.queued++
	}
}

// stdDev returns the standard deviation of n values from their sum and the sum of
// their squares.
func stdDev(sum, squares, n float64) float64 {
	return math.Sqrt(max(squares/n-sum/n*sum/n, 0))
}

// idleEngines returns the engines that would start a request at once.
func (f *evenFleet) idleEngines() []*evenEngine {
	var idle []*evenEngine
	for _, e := range f.engines {
		if e.table.Waiting() == 0 && e.table.Running() < evenBatch && e.table.Delay(f.now())[0] == 0 {
			idle = append(idle, e)
		}
	}
	return idle
}

// markBeside marks a request at an engine that one of the idle engines could serve
// in time.
func (f *evenFleet) markBeside(r *evenRequest, at *evenEngine, idle []*evenEngine) {
	if r.besideHolder || f.at-r.arrived > evenTarget {
		return
	}
	for _, e := range idle {
		if e == at {
			continue
		}
		_, held := e.held[r.adapter]
		start := f.at
		if r.adapter != "" && !held {
			if r.besideIdle || e.table.SlotDelay() > 0 {
				continue
			}
			start += storeLoadTime
		}
		if e.firstEvent(start, r.prompt) > r.arrived+evenTarget {
			continue
		}
		r.besideIdle = true
		if r.adapter == "" || held {
			r.besideHolder = true
			return
		}
	}
}

// publish records the state that entries get from now on.
func (e *evenEngine) publish() {
	e.report()
	e.history = append(e.history, e.view())
	// Views older than the longest interval between reports are not asked for.
	if keep := int((e.fleet.load.ReportEvery+deafFor)/evenPublish) + 2; len(e.history) > 2*keep {
		e.history = append(e.history[:0:0], e.history[len(e.history)-keep:]...)
	}
}

func (e *evenEngine) view() *engineView {
	held, _ := e.table.Held(e.fleet.now())
	if !sameNames(e.heldNow, held) {
		before := e.heldNow
		e.past.Update(held)
		e.heldNow = make(map[string]bool, len(held))
		for _, name := range held {
			e.heldNow[name] = true
		}
		dropped := make(map[string]bool, len(e.dropped)+1)
		for name := range e.dropped {
			dropped[name] = e.past.Recent(name)
		}
		for name := range before {
			dropped[name] = e.past.Recent(name)
		}
		e.dropped = dropped
	}
	v := &engineView{at: e.fleet.at, held: e.heldNow, recent: e.dropped}
	if e.falseLoad != nil {
		v.load = *e.falseLoad
		return v
	}
	t := e.table
	delay := t.Delay(e.fleet.now())
	v.load = dispatch.Load{Running: t.Running(), Waiting: t.Waiting(), Batch: evenBatch, Tokens: t.Tokens(), MemoryTokens: 1_000_000,
		Delay: delay[:], PromptTime: t.PromptCost(e.fleet.now()), PlaceTime: t.PlaceTime(), SlotDelay: t.SlotDelay(), LoadTime: time.Duration(t.LoadBacklog()/2+1) * storeLoadTime}
	return v
}

func sameNames(known map[string]bool, names []string) bool {
	if known == nil || len(known) != len(names) {
		return false
	}
	for _, name := range names {
		if !known[name] {
			return false
		}
	}
	return true
}

// viewAt returns the newest view published by a time, nil when there is none.
func (e *evenEngine) viewAt(at time.Duration) *engineView {
	for i := len(e.history) - 1; i >= 0; i-- {
		if e.history[i].at <= at {
			return e.history[i]
		}
	}
	return nil
}

func (n *evenEntry) sees(engine int) bool {
	return !n.fleet.load.Partial || n.index%10 != 0 || engine%10 == n.index/10%10
}

// refresh applies the reports that the entry has received until now.
func (n *evenEntry) refresh() {
	f := n.fleet
	deaf := f.load.Deaf && n.index%10 == 0
	for j := range n.views {
		every := f.load.ReportEvery
		last := (f.at-n.offset[j])/every*every + n.offset[j]
		if f.at < n.offset[j] {
			last = 0
		}
		if middle := f.load.Length / 2; deaf && last > middle && f.at < middle+deafFor {
			continue
		}
		known := &n.views[j]
		if known.view != nil && known.at >= last {
			continue
		}
		if v := f.engines[j].viewAt(last); v != nil && (!f.load.Together || last >= f.load.Length/2 || f.at < f.load.Length/2) {
			n.learn(j, v, last)
		}
	}
}

func (n *evenEntry) learn(engine int, v *engineView, at time.Duration) {
	known := &n.views[engine]
	n.balancer.Reported(engine, &v.load, known.sent, at)
	known.view, known.sent, known.at = v, dispatch.Sent{}, at
}

// describe fills in what the entry knows of the engines for a request.
func (n *evenEntry) describe(r *evenRequest) []dispatch.Candidate {
	n.refresh()
	list := n.fleet.candidates
	for i := range n.views {
		known, c := &n.views[i], &list[i]
		*c = dispatch.Candidate{ID: n.fleet.engines[i].id, Connected: true}
		if known.view == nil || !n.sees(i) {
			continue
		}
		c.Model, c.Age = true, n.fleet.at-known.at
		c.SetLoad(&known.view.load, known.sent, 0)
		if n.fleet.balancing.Floors {
			c.Delay = max(c.Delay, known.floor.Delay(n.fleet.now()))
		}
		switch {
		case r.adapter == "" || known.view.held[r.adapter]:
			c.Residence = dispatch.Resident
		case known.view.recent[r.adapter]:
			c.Residence = dispatch.RecentlyHeld
		}
	}
	return list
}

func (n *evenEntry) offer(r *evenRequest) {
	f := n.fleet
	left := evenPatience - (f.at - r.arrived)
	candidates := n.describe(r)
	query := dispatch.Request{Adapter: r.adapter, Tokens: r.prompt, Target: evenTarget, Spent: f.at - r.arrived, Left: left, Tried: r.tried}
	choice := n.balancer.Choose(candidates, query, f.routing.Float64)
	if choice.Index < 0 {
		f.settle(r, func(x *EvenResult) { x.Refused++ })
		return
	}
	chosen := &candidates[choice.Index]
	if _, hopeless := r.offers.Hopeless(chosen, &query, left); hopeless || left <= 0 || r.tries >= maxFleetTries {
		f.settle(r, func(x *EvenResult) { x.Refused++ })
		return
	}
	conditions := r.offers.Conditions(choice, chosen, left)
	admit := residency.Request{ID: r.id, Adapter: r.adapter, Prompt: r.prompt, Tokens: r.prompt,
		Target: f.now().Add(evenTarget - query.Spent), StartDeadline: f.now().Add(r.offers.Wait(chosen, &query, left)),
		MaxDelay: conditions.MaxDelay, OnlyIfHeld: conditions.OnlyIfHeld}
	r.maxDelay = conditions.MaxDelay
	known := &n.views[choice.Index]
	known.sent.Starts++
	known.sent.Prompt += r.prompt
	engine := f.engines[choice.Index]
	if r.arrived >= evenWarmUp {
		f.result.Offers++
	}
	f.after(hop, func() {
		engine.waiting[r.id] = r
		f.recordGap(r, engine)
		engine.perform(engine.table.Admit(admit, f.now()))
	})
}

// recordGap records how much longer the picked engine delays a request than the best
// one that holds its adapter.
func (f *evenFleet) recordGap(r *evenRequest, picked *evenEngine) {
	if f.at < evenWarmUp {
		return
	}
	here := picked.table.Delay(f.now())[0]
	least := here
	for _, e := range f.engines {
		if _, held := e.held[r.adapter]; (held || r.adapter == "") && least > 0 {
			least = min(least, e.table.Delay(f.now())[0])
		}
	}
	f.gap += here - least
	f.taken++
}

// report passes the engine's report to its agent.
func (e *evenEngine) report() {
	e.perform(e.table.Apply(residency.Report{Held: e.held, Running: e.running, RequestedAt: e.fleet.now()}, e.fleet.now()))
}

func (e *evenEngine) perform(actions []residency.Action) {
	f := e.fleet
	for _, action := range actions {
		switch a := action.(type) {
		case residency.Start:
			e.begin(a.ID)
		case residency.Refuse:
			r := e.waiting[a.ID]
			delete(e.waiting, a.ID)
			v := e.view()
			f.after(hop, func() { e.refusedStart(r, a.Reason, v) })
		case residency.Load:
			loaded := func() {
				e.held[a.Adapter] = a.Version
				e.report()
			}
			if e.past.Recent(a.Adapter) {
				f.after(recentLoadTime, loaded)
				continue
			}
			if f.at >= evenWarmUp {
				f.result.Loads++
			}
			f.store.begin(loaded)
		case residency.Unload:
			delete(e.held, a.Adapter)
			f.after(0, func() { e.perform(e.table.Unloaded(a.Adapter, f.now())) })
		}
	}
}

// refusedStart returns a request to its entry, which offers it to another engine.
// The reply brings the state in which the agent refused it.
func (e *evenEngine) refusedStart(r *evenRequest, reason residency.Reason, v *engineView) {
	r.entry.learn(e.index, v, e.fleet.at)
	if reason.Declined() {
		if r.arrived >= evenWarmUp {
			e.fleet.result.Declined++
		}
		r.offers.Declined()
	} else {
		r.tried[e.id] = true
		r.tries++
	}
	if known := &r.entry.views[e.index]; reason == residency.ReasonBusy {
		needsLoad := r.adapter != "" && !v.held[r.adapter]
		known.floor.Declined(r.maxDelay, v.load.ReportedDelay(0, r.prompt, needsLoad), e.fleet.now())
	}
	r.entry.offer(r)
}

func (e *evenEngine) begin(id string) {
	f, r := e.fleet, e.waiting[id]
	delete(e.waiting, id)
	e.running[id] = true
	f.after(hop, func() { r.entry.learn(e.index, e.view(), f.at) })
	first := e.firstEvent(f.at, r.prompt)
	e.readFree = first
	f.after(first-f.at, func() {
		e.table.FirstEvent(id, f.now())
		if r.arrived >= evenWarmUp {
			f.firsts = append(f.firsts, f.at-r.arrived)
		}
		f.settle(r, func(x *EvenResult) {
			if f.at-r.arrived <= evenTarget {
				x.InTime++
			} else {
				x.Late++
			}
		})
		f.after(e.finish(f.at, r.run)-f.at, func() {
			delete(e.running, id)
			e.perform(e.table.Done(id, f.now()))
		})
	})
}
