// Package experiment evaluates the placement and load policies in virtual time.
//
// It runs the production decision code (placement.Selector, slots.Table,
// broker.Broker) against small fakes at their interfaces: an engine with batching,
// a weight store that slows down beyond a number of concurrent loads, and delayed
// load reports. It uses no network, processes or cluster, and is deterministic for
// a given seed.
//
//	go test -bench Policy -benchtime 1x ./coord/experiment
package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Deployment describes the size and demand of one site.
type Deployment struct {
	Name string
	// Engines and Services are the numbers of backend servers of each kind.
	Engines  int
	Services int
	Adapters int
	// Slots is the number of adapter slots of an engine.
	Slots int
	// Capacity is the maximum number of requests in one batch of an engine.
	Capacity int
	// Rate is the number of requests per second to engines, ServiceRate that to
	// plain services.
	Rate        float64
	ServiceRate float64
	// Skew is the Zipf exponent of the adapter popularity.
	Skew float64
	// Tokens is the mean length of an answer in tokens, geometrically
	// distributed.
	Tokens float64
	// Packing is the packing setting of the deployment.
	Packing float64
	// Conversations is the number of concurrent conversations of an adapter; 0
	// disables prompts.
	Conversations int
}

const (
	// tokenTime is the time between tokens.
	tokenTime = 29 * time.Millisecond
	// serviceTime is the mean duration of a call to a plain service.
	serviceTime = 50 * time.Millisecond
	// storeLoadTime is the duration of a load from the weight store while at most
	// storeKnee loads are in flight.
	storeLoadTime = 250 * time.Millisecond
	storeKnee     = 8
	// hop is the one-way latency between two processes.
	hop       = time.Millisecond
	contracts = 20
	// startTarget is the time within which a request must start to count as
	// served in time for the fairness among contracts.
	startTarget = time.Second
	maxAttempts = 3
	// maxDeclines is the number of servers without a free slot that a request
	// tries before it waits for a slot.
	maxDeclines = 4
	queueBound  = 256
	tickEvery   = 250 * time.Millisecond
	renewEvery  = 5 * time.Second
	// warmUp is the initial period that is excluded from the measurements.
	warmUp = 60 * time.Second
)

// Scenario describes the events and reporting conditions of a run.
type Scenario struct {
	Name string
	// Length is the virtual duration, including the warm-up.
	Length time.Duration
	// At is the time of the scenario's event.
	At time.Duration
	// Shift permutes the popularity of all adapters.
	Shift bool
	// Restart restarts a third of the engines with empty caches and slots.
	Restart bool
	// SlowStore lowers the knee of the weight store to 1 for two minutes.
	SlowStore bool
	// Fading reduces the demand linearly to a quarter.
	Fading bool
	// StaleEvery is the interval between the reports of half of the servers, if
	// above 0.
	StaleEvery time.Duration
	// ReportEvery is the interval between reports. Together makes all servers
	// report at the same time.
	ReportEvery time.Duration
	Together    bool
	Entries     int
}

// Deployments returns the two deployments at their current sizes. Capacity, slots,
// answer length and demand are assumptions: the demand is a third and a quarter of
// the engines' batches, and the skew gives about 4 loads per second if requests go
// to engines that hold their adapter.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "amman", Engines: 18, Services: 4, Adapters: 3000, Slots: 8, Capacity: 16, Rate: 40, ServiceRate: 8, Skew: 1.2, Tokens: 80, Packing: 0.2},
		{Name: "columbia", Engines: 18, Services: 4, Adapters: 3000, Slots: 8, Capacity: 16, Rate: 30, ServiceRate: 12, Skew: 1.2, Tokens: 80, Packing: 0.8},
	}
}

// Scenarios returns the conditions under which policies are compared.
func Scenarios() []Scenario {
	base := Scenario{Length: 6 * time.Minute, At: 2 * time.Minute, ReportEvery: 500 * time.Millisecond, Entries: 4}
	with := func(name string, change func(*Scenario)) Scenario {
		s := base
		s.Name = name
		change(&s)
		return s
	}
	return []Scenario{
		with("steady", func(*Scenario) {}),
		with("shift", func(s *Scenario) { s.Shift = true }),
		with("restart", func(s *Scenario) { s.Restart = true }),
		with("slow-store", func(s *Scenario) { s.SlowStore = true }),
		with("fading", func(s *Scenario) { s.Fading = true }),
		with("stale", func(s *Scenario) { s.StaleEvery = 5 * time.Second }),
		with("herd", func(s *Scenario) { s.Entries, s.ReportEvery, s.Together = 12, 2*time.Second, true }),
	}
}

// Run simulates one policy in virtual time. The result is deterministic for given
// arguments.
func Run(d Deployment, s Scenario, p Policy, seed uint64) Result {
	w := newWorld(d, s, p, seed)
	w.start()
	w.run(s.Length)
	return w.meter.result(w)
}

// event is a function call scheduled at a virtual time.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// clock executes events in virtual time.
type clock struct {
	at        time.Duration
	pending   events
	scheduled uint64
}

func (c *clock) now() time.Time { return time.Unix(0, 0).Add(c.at) }

func (c *clock) after(d time.Duration, do func()) {
	c.scheduled++
	heap.Push(&c.pending, event{at: c.at + d, order: c.scheduled, do: do})
}

func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		c.every(d, do)
	})
}

func (c *clock) run(until time.Duration) {
	for len(c.pending) > 0 && c.pending[0].at <= until {
		next := heap.Pop(&c.pending).(event)
		c.at = next.at
		next.do()
	}
	c.at = until
}

func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
