package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
)

// PlainLoad describes plain servers without agents: nothing declines a request, and
// an entry knows of a server's load only what the last answer to itself reported.
type PlainLoad struct {
	Name             string
	Entries, Servers int
	// Utilisation is the demand relative to the requests that all servers run at their
	// mean speed.
	Utilisation float64
	Length      time.Duration
	// FalseReports makes one server in ten always report that it is empty.
	FalseReports bool
}

const (
	plainWarmUp = 2 * time.Second
	plainSlots  = 8
	// plainRun is the mean time of a request at baseline speed.
	plainRun    = 80 * time.Millisecond
	plainTarget = 400 * time.Millisecond
	// plainLoadAge is the age up to which entries use a reported load.
	plainLoadAge = time.Second
)

// PlainView selects how an entry combines a server's reported load with its own
// requests.
type PlainView struct {
	Name string
	// InForce is what entries do: Candidate.SetReportedLoad and the choice's own fill.
	InForce bool
	// SinceReport adds the own requests sent since the report to the reported load;
	// else the larger of the reported load and the own requests in flight counts.
	SinceReport bool
	// Fill takes the mean of the reported loads for a server without a current report.
	Fill bool
	// HalfLife moves the load of each server towards that mean as its report ages; 0
	// for not at all.
	HalfLife time.Duration
}

// PlainResult counts what callers got after the warm-up.
type PlainResult struct {
	Asked, Late int
	// BesideIdle counts the late requests that waited while a server with a free
	// place could have served them in time.
	BesideIdle int
	// Unevenness is the mean standard deviation over the servers of the requests
	// there relative to the places, Overrun the mean share of servers with a queue
	// while any has one, Idle that of servers with less than half of the places in use.
	Unevenness, Overrun, Idle float64
	P99                       time.Duration
}

type plainFleet struct {
	clock
	load     PlainLoad
	view     PlainView
	arrivals *rand.Rand
	routing  *rand.Rand
	servers  []*plainServer
	entries  []*plainEntry
	result   PlainResult
	took     []time.Duration
	samples  int
	queued   int
}

type plainServer struct {
	*evenEngine
	running int
	queue   []*plainRequest
	lies    bool
}

type plainEntry struct {
	known    []plainKnown
	balancer Balancer
	list     []dispatch.Candidate
}

type plainKnown struct {
	inflight, reported int
	// since counts the requests sent after the report.
	since  int
	at     time.Duration
	heard  bool
	health dispatch.Health
}

type plainRequest struct {
	entry   *plainEntry
	server  int
	work    time.Duration
	arrived time.Duration
	beside  bool
}

// RunPlain simulates a load under a policy in virtual time.
func RunPlain(load PlainLoad, view PlainView, balancing Balancing, seed uint64) PlainResult {
	f := &plainFleet{load: load, view: view, arrivals: newRand(seed, 1), routing: newRand(seed, 2)}
	rate, speeds := 0.0, newRand(seed, 4)
	for i := range load.Servers {
		// Only the machine of the engine is used.
		machine := &evenEngine{fleet: &evenFleet{}, id: fmt.Sprintf("server-%03d", i), phases: drawPhases(speeds, load.Length+time.Minute)}
		s := &plainServer{evenEngine: machine, lies: load.FalseReports && i%10 == 0}
		f.servers = append(f.servers, s)
		rate += load.Utilisation * plainSlots / (plainRun.Seconds() * s.meanFactor())
	}
	for i := range load.Entries {
		f.entries = append(f.entries, &plainEntry{known: make([]plainKnown, load.Servers), balancer: balancing.New(i, load.Servers), list: make([]dispatch.Candidate, load.Servers)})
	}
	f.every(10*time.Millisecond, f.sample)
	f.next(rate)
	f.run(load.Length)
	f.result.Unevenness /= float64(max(f.samples, 1))
	f.result.Overrun /= float64(max(f.queued, 1))
	f.result.Idle /= float64(max(f.queued, 1))
	f.result.P99 = quantile(f.took, 0.99)
	return f.result
}

func (f *plainFleet) next(rate float64) {
	f.after(time.Duration(f.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		r := &plainRequest{entry: f.entries[f.arrivals.IntN(len(f.entries))], work: time.Duration(f.arrivals.ExpFloat64() * float64(plainRun)), arrived: f.at}
		f.send(r)
		f.next(rate)
	})
}

func (f *plainFleet) send(r *plainRequest) {
	n := r.entry
	for i := range n.known {
		k, c := &n.known[i], &n.list[i]
		*c = dispatch.Candidate{ID: f.servers[i].id, Model: true, Residence: dispatch.Resident, Connected: true, Batch: plainSlots, Running: k.inflight, Answer: k.health.Answer(), Age: f.at - k.at}
		if k.heard && f.at-k.at < plainLoadAge {
			c.Running = max(c.Running, k.reported)
			if f.view.SinceReport {
				c.Running = max(k.inflight, k.reported+k.since)
			}
		}
	}
	if f.view.Fill {
		n.fillIn(f.at, f.view.HalfLife)
	}
	if f.view.InForce {
		n.describe(f.now())
	}
	choice := n.balancer.Choose(n.list, dispatch.Request{Target: plainTarget}, f.routing.Float64)
	r.server = choice.Index
	n.known[r.server].inflight++
	n.known[r.server].since++
	s := f.servers[r.server]
	f.after(hop, func() {
		if s.running < plainSlots {
			f.begin(s, r)
			return
		}
		s.queue = append(s.queue, r)
	})
}

// describe sets the loads as entries do.
func (n *plainEntry) describe(now time.Time) {
	for i := range n.known {
		k, reported := &n.known[i], dispatch.ReportedLoad{}
		if k.heard {
			reported = dispatch.ReportedLoad{Running: k.reported, At: now.Add(-n.list[i].Age), Sent: k.since}
		}
		n.list[i].SetReportedLoad(reported, k.inflight, k.health.Answer() > 0, now)
	}
}

// fillIn moves the loads of servers towards the mean of those reported.
func (n *plainEntry) fillIn(at, halfLife time.Duration) {
	trust := func(k *plainKnown) float64 {
		switch {
		case !k.heard || at-k.at >= plainLoadAge:
			return 0
		case halfLife == 0:
			return 1
		}
		return math.Exp2(-float64(at-k.at) / float64(halfLife))
	}
	sum, weights := 0.0, 0.0
	for i := range n.known {
		w := trust(&n.known[i])
		sum, weights = sum+w*float64(n.list[i].Running), weights+w
	}
	if weights == 0 {
		return
	}
	for i := range n.known {
		w := trust(&n.known[i])
		filled := sum/weights + w*(float64(n.list[i].Running)-sum/weights)
		n.list[i].Running = max(n.known[i].inflight, int(math.Round(filled)))
	}
}

func (f *plainFleet) begin(s *plainServer, r *plainRequest) {
	s.running++
	s.fleet.at = f.at
	f.after(s.finish(f.at, r.work)-f.at, func() { f.end(s, r) })
}

func (f *plainFleet) end(s *plainServer, r *plainRequest) {
	s.running--
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		f.begin(s, next)
	}
	load := s.running + len(s.queue)
	if s.lies {
		load = 0
	}
	f.after(hop, func() {
		k, took := &r.entry.known[r.server], f.at-r.arrived
		k.inflight--
		k.reported, k.since, k.at, k.heard = load, 0, f.at, true
		k.health.Answered(took, 0)
		if r.arrived < plainWarmUp {
			return
		}
		f.result.Asked++
		f.took = append(f.took, took)
		if took > plainTarget {
			f.result.Late++
			if r.beside {
				f.result.BesideIdle++
			}
		}
	})
}

// sample records how evenly the servers are loaded, and which queued requests another
// server could serve in time.
func (f *plainFleet) sample() {
	if f.at < plainWarmUp {
		return
	}
	var idle []*plainServer
	sum, squares, overrun, half := 0.0, 0.0, 0, 0
	for _, s := range f.servers {
		use := float64(s.running+len(s.queue)) / plainSlots
		sum, squares = sum+use, squares+use*use
		if len(s.queue) > 0 {
			overrun++
		}
		if 2*s.running < plainSlots {
			half++
		}
		if s.running < plainSlots {
			idle = append(idle, s)
		}
	}
	n := float64(len(f.servers))
	f.result.Unevenness += stdDev(sum, squares, n)
	f.samples++
	if overrun == 0 {
		return
	}
	f.result.Overrun += float64(overrun) / n
	f.result.Idle += float64(half) / n
	f.queued++
	for _, s := range f.servers {
		for _, r := range s.queue {
			for _, other := range idle {
				other.fleet.at = f.at
				if !r.beside && other.finish(f.at, r.work) <= r.arrived+plainTarget {
					r.beside = true
				}
			}
		}
	}
}
