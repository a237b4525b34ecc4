package experiment

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/rendezvous"
)

// Balancing is a policy by which entries choose engines from views of some age.
type Balancing struct {
	Name string
	// Floors applies dispatch.DelayFloor to each engine.
	Floors bool
	// New returns the state of one entry.
	New func(entry, engines int) Balancer
}

// Balancer is the state of one entry under a policy.
type Balancer interface {
	// Reported records the load of an engine in a report received at a time, and
	// what the entry has sent there since the report before it.
	Reported(engine int, load *dispatch.Load, sent dispatch.Sent, at time.Duration)
	// Choose chooses the engine for a request. It may change the candidates.
	Choose(candidates []dispatch.Candidate, r dispatch.Request, draw func() float64) dispatch.Choice
}

// InForce returns the policy that entries use.
func InForce() Balancing { return LowestEstimate().WithFloors() }

// Balancings returns the policies that are compared, the one in force first.
func Balancings() []Balancing {
	return []Balancing{
		LowestEstimate(), InForce(),
		DrawnByWeight(2), DrawnByWeight(4), DrawnHolders(2), DrawnByCost(2, 0.05),
		WithOthersSends(), Subset(2), Subset(4),
		AgedEstimate(500 * time.Millisecond), AgedEstimate(2 * time.Second), AgedEstimate(2 * time.Second).WithFloors(),
	}
}

// WithFloors returns the policy with dispatch.DelayFloor.
func (b Balancing) WithFloors() Balancing {
	b.Name, b.Floors = b.Name+"+floor", true
	return b
}

// stateless ignores reports.
type stateless struct{}

func (stateless) Reported(int, *dispatch.Load, dispatch.Sent, time.Duration) {}

type lowest struct{ stateless }

func (lowest) Choose(candidates []dispatch.Candidate, r dispatch.Request, draw func() float64) dispatch.Choice {
	return dispatch.Pick(candidates, r, draw)
}

// LowestEstimate picks the engine with the lowest estimated cost.
func LowestEstimate() Balancing {
	return Balancing{Name: "lowest", New: func(int, int) Balancer { return lowest{} }}
}

// drawn draws among the engines that hold the adapter.
type drawn struct {
	stateless
	count int
	// byCost weighs engines by their cost relative to the best one; else the weight
	// is the free part of the batch.
	byCost float64
	// byAnswer weighs engines by their places over the usual time of an answer.
	byAnswer bool
	// guarded keeps the choice of Pick if the best engine is not a holder.
	guarded bool
}

// DrawnByWeight draws some of the engines that hold the adapter, each with a weight
// of the free part of its batch, and picks the one with the lowest cost among these
// and the engines that do not hold it.
func DrawnByWeight(count int) Balancing {
	return Balancing{Name: fmt.Sprintf("drawn-%d", count), New: func(int, int) Balancer { return &drawn{count: count} }}
}

// DrawnHolders draws as DrawnByWeight, but only where the best of all engines holds
// the adapter, and then among the holders alone.
func DrawnHolders(count int) Balancing {
	return Balancing{Name: fmt.Sprintf("holders-%d", count), New: func(int, int) Balancer { return &drawn{count: count, guarded: true} }}
}

// DrawnByCost draws holders as DrawnHolders, with a weight that falls by a factor of
// e with each unit of cost above the best one.
func DrawnByCost(count int, unit float64) Balancing {
	return Balancing{Name: fmt.Sprintf("cost-%d-%g", count, unit), New: func(int, int) Balancer { return &drawn{count: count, byCost: unit, guarded: true} }}
}

// DrawnByCapacity draws some of the holders with a weight of their places by the
// usual time of an answer, and picks the one with the lowest cost among these.
func DrawnByCapacity(count int) Balancing {
	return Balancing{Name: fmt.Sprintf("capacity-%d", count), New: func(int, int) Balancer { return &drawn{count: count, byAnswer: true, guarded: true} }}
}

// leastWeight is the weight of an engine without a free place.
const leastWeight = 0.05

// Choose implements Balancer.
func (d *drawn) Choose(candidates []dispatch.Candidate, r dispatch.Request, draw func() float64) dispatch.Choice {
	if d.guarded {
		choice := dispatch.Pick(candidates, r, draw)
		if choice.Index < 0 || candidates[choice.Index].Residence != dispatch.Resident || r.Tried[candidates[choice.Index].ID] {
			return choice
		}
	}
	type holder struct {
		index       int
		cost, value float64
	}
	var holders []holder
	lowest := math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if !c.Model || c.Residence != dispatch.Resident || r.Tried[c.ID] {
			continue
		}
		h := holder{index: i, cost: dispatch.Cost(c, &r, 0)}
		lowest = min(lowest, h.cost)
		holders = append(holders, h)
	}
	for i := range holders {
		h := &holders[i]
		c := &candidates[h.index]
		weight := max(1-float64(c.Running+c.Waiting)/float64(max(c.Batch, 1)), leastWeight)
		if d.byCost > 0 {
			weight = math.Exp(-(h.cost - lowest) / d.byCost)
		}
		if d.byAnswer && c.Answer > 0 {
			weight = float64(max(c.Batch, 1)) / c.Answer.Seconds()
		}
		// The smallest values are a weighted sample without replacement.
		h.value = -math.Log(1-draw()) / max(weight, 1e-12)
	}
	if len(holders) <= d.count {
		return dispatch.Pick(candidates, r, draw)
	}
	slices.SortFunc(holders, func(a, b holder) int { return cmp.Compare(a.value, b.value) })
	for _, h := range holders[d.count:] {
		candidates[h.index].Excluded = true
	}
	for i := range candidates {
		if candidates[i].Residence != dispatch.Resident && d.guarded {
			candidates[i].Excluded = true
		}
	}
	return dispatch.Pick(candidates, r, draw)
}

// others estimates what other entries send to each engine: the change of its running
// requests between two reports that own sends and the usual ends do not explain.
type others struct {
	engines []otherSends
}

type otherSends struct {
	running int
	at      time.Duration
	known   bool
	// rate is the estimated number of requests per second of other entries, run the
	// time that requests run.
	rate, run float64
}

// WithOthersSends adds to each view the estimated sends of other entries, less the
// estimated ends, since the report.
func WithOthersSends() Balancing {
	return Balancing{Name: "others", New: func(_, engines int) Balancer { return &others{engines: make([]otherSends, engines)} }}
}

// otherWeight is the weight of the newest interval between two reports of one
// second; shorter ones count in proportion.
const otherWeight = 0.5

// Reported implements Balancer.
func (o *others) Reported(engine int, load *dispatch.Load, sent dispatch.Sent, at time.Duration) {
	e := &o.engines[engine]
	interval := (at - e.at).Seconds()
	run := load.PlaceTime.Seconds() * float64(load.Batch)
	if e.known && interval > 0 && run > 0 {
		ended := float64(e.running+load.Running) / 2 * interval / run
		rate := (float64(load.Running-e.running-sent.Starts) + ended) / interval
		e.rate += (1 - math.Pow(1-otherWeight, interval)) * (rate - e.rate)
	}
	e.running, e.at, e.run, e.known = load.Running, at, run, true
}

// Choose implements Balancer.
func (o *others) Choose(candidates []dispatch.Candidate, r dispatch.Request, draw func() float64) dispatch.Choice {
	for i := range candidates {
		c, e := &candidates[i], &o.engines[i]
		if !c.Model || e.run <= 0 {
			continue
		}
		age := c.Age.Seconds()
		change := (max(e.rate, 0) - float64(min(c.Running, c.Batch))/e.run) * age
		running := min(max(float64(c.Running)+change, 0), float64(c.Batch))
		over := float64(c.Running) + change - running
		if over > 0 {
			c.Delay += time.Duration(over * e.run / float64(max(c.Batch, 1)) * float64(time.Second))
		}
		if change < 0 {
			c.Delay = max(c.Delay-time.Duration(-change*e.run/float64(max(c.Batch, 1))*float64(time.Second)), 0)
		}
		c.Running = int(math.Round(running))
	}
	return dispatch.Pick(candidates, r, draw)
}

type subset struct {
	stateless
	entry string
	of    int
}

// Subset makes each entry use one part of the engines that hold an adapter, by a
// hash, unless all of these have a delay.
func Subset(of int) Balancing {
	return Balancing{Name: fmt.Sprintf("subset-1/%d", of), New: func(entry, _ int) Balancer { return subset{entry: fmt.Sprint("entry-", entry), of: of} }}
}

func (s subset) Choose(candidates []dispatch.Candidate, r dispatch.Request, draw func() float64) dispatch.Choice {
	usable := false
	outside := func(c *dispatch.Candidate) bool { return rendezvous.Weight(s.entry, c.ID)%uint64(s.of) != 0 }
	for i := range candidates {
		c := &candidates[i]
		usable = usable || c.Model && c.Residence == dispatch.Resident && !r.Tried[c.ID] && c.Delay == 0 && !outside(c)
	}
	for i := range candidates {
		if c := &candidates[i]; usable && c.Residence == dispatch.Resident && outside(c) {
			c.Excluded = true
		}
	}
	return dispatch.Pick(candidates, r, draw)
}

type aged struct {
	stateless
	halfLife time.Duration
}

// AgedEstimate moves delay and use of each engine towards the mean of those that
// hold the adapter, or of all others, as its view ages.
func AgedEstimate(halfLife time.Duration) Balancing {
	return Balancing{Name: fmt.Sprintf("aged-%s", halfLife), New: func(int, int) Balancer { return &aged{halfLife: halfLife} }}
}

// Choose implements Balancer.
func (a *aged) Choose(candidates []dispatch.Candidate, r dispatch.Request, draw func() float64) dispatch.Choice {
	var delay, running [2]float64
	var count [2]int
	group := func(c *dispatch.Candidate) int {
		if c.Residence == dispatch.Resident {
			return 1
		}
		return 0
	}
	for i := range candidates {
		if c := &candidates[i]; c.Model {
			g := group(c)
			delay[g], running[g] = delay[g]+float64(c.Delay), running[g]+float64(c.Running)
			count[g]++
		}
	}
	for i := range candidates {
		c := &candidates[i]
		if !c.Model {
			continue
		}
		g := group(c)
		trust := math.Exp2(-float64(c.Age) / float64(a.halfLife))
		meanDelay, meanRunning := delay[g]/float64(count[g]), running[g]/float64(count[g])
		c.Delay = time.Duration(meanDelay + trust*(float64(c.Delay)-meanDelay))
		c.Running = int(math.Round(meanRunning + trust*(float64(c.Running)-meanRunning)))
	}
	return dispatch.Pick(candidates, r, draw)
}
