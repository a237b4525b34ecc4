// Package experiment measures the placement and load policies in virtual time.
//
// It runs the shipped decisions (placement.Selector, slots.Table,
// broker.Broker) against small fakes at their interfaces: an engine that
// batches, a weight store with a knee, and load reports that lag. There is no
// network, no process and no cluster. One seed gives one result.
//
//	go test -bench Policy -benchtime 1x ./coord/experiment
package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Deployment is the size and demand of one site.
type Deployment struct {
	Name string
	// Engines and Services are the counts of backend servers.
	Engines  int
	Services int
	Adapters int
	// Slots is the number of adapter slots of an engine.
	Slots int
	// Capacity is the most requests in one batch of an engine.
	Capacity int
	// Rate is requests a second to engines; ServiceRate to plain services.
	Rate        float64
	ServiceRate float64
	// Skew is the Zipf exponent of the adapters' popularity.
	Skew float64
	// Tokens is the mean length of an answer, geometrically distributed.
	Tokens float64
	// Packing is the deployment's setting.
	Packing float64
	// Conversations is how many an adapter has under way; 0 leaves prompts out.
	Conversations int
}

const (
	// tokenTime is the time between tokens.
	tokenTime = 29 * time.Millisecond
	// serviceTime is the mean time of a call to a plain service.
	serviceTime = 50 * time.Millisecond
	// storeLoadTime and storeKnee describe the weight store.
	storeLoadTime = 250 * time.Millisecond
	storeKnee     = 8
	// hop is the one-way time between two processes.
	hop       = time.Millisecond
	contracts = 20
	// patience is the time to start within which a request counts as served
	// in time for the fairness among contracts.
	patience    = time.Second
	maxAttempts = 3
	// maxDeclines is how many servers without a slot a request tries before
	// it waits for one.
	maxDeclines = 4
	queueBound  = 256
	tickEvery   = 250 * time.Millisecond
	renewEvery  = 5 * time.Second
	// warmUp is not measured.
	warmUp = 60 * time.Second
)

// Scenario is what happens to a deployment.
type Scenario struct {
	Name string
	// Length is the virtual time, warm-up included.
	Length time.Duration
	// At is when the event of the scenario comes.
	At time.Duration
	// Shift permutes the popularity of all adapters.
	Shift bool
	// Restart restarts a third of the engines, cold.
	Restart bool
	// SlowStore lowers the knee of the weight store to 1 for two minutes.
	SlowStore bool
	// Fading lowers the demand linearly to a quarter.
	Fading bool
	// StaleEvery is the time between reports of half of the servers.
	StaleEvery time.Duration
	// ReportEvery is the time between reports; Together sends all at once.
	ReportEvery time.Duration
	Together    bool
	Entries     int
}

// Deployments are the two users at their present sizes. Capacity, slots,
// answer length and demand are assumptions: demand is a third and a quarter of
// the engines' batches, and the skew gives about 4 loads a second when
// requests go where their adapter is.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "amman", Engines: 18, Services: 4, Adapters: 3000, Slots: 8, Capacity: 16, Rate: 40, ServiceRate: 8, Skew: 1.2, Tokens: 80, Packing: 0.2},
		{Name: "columbia", Engines: 18, Services: 4, Adapters: 3000, Slots: 8, Capacity: 16, Rate: 30, ServiceRate: 12, Skew: 1.2, Tokens: 80, Packing: 0.8},
	}
}

// Scenarios are the conditions under which policies are compared.
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

// Run simulates one policy in virtual time. Equal arguments give equal results.
func Run(d Deployment, s Scenario, p Policy, seed uint64) Result {
	w := newWorld(d, s, p, seed)
	w.start()
	w.run(s.Length)
	return w.meter.result(w)
}

// event is something that happens at a virtual time.
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

// clock runs events in virtual time.
type clock struct {
	at      time.Duration
	pending events
	orders  uint64
}

func (c *clock) now() time.Time { return time.Unix(0, 0).Add(c.at) }

func (c *clock) after(d time.Duration, do func()) {
	c.orders++
	heap.Push(&c.pending, event{at: c.at + d, order: c.orders, do: do})
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
