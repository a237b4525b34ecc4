package placement

import (
	"math"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/membership"
)

const (
	// batchTarget and slotTarget are the target utilization of batches and slots;
	// the remainder absorbs bursts.
	batchTarget = 0.75
	slotTarget  = 0.75
	// shrinkTime is the time constant with which the number of servers in use
	// falls with demand. The number rises with demand immediately, because a queue
	// would form otherwise.
	shrinkTime = 30 * time.Second
)

// packer determines on how many servers of each group the requests are packed.
type packer struct {
	packing float64
	need    map[group]float64
	at      time.Time
}

// active returns the number of servers to use, 0 for all.
func (p *packer) active(g group) int {
	if p.packing == 0 {
		return 0
	}
	return int(math.Ceil(p.need[g]))
}

// demand is the total current load and capacity of one group.
type demand struct {
	servers            int
	inFlight, capacity float64
	pinned, slots      float64
}

// needed returns how many servers carry the demand at the target utilization.
func (d demand) needed() float64 {
	return min(max(d.byBatches(), d.bySlots(), 1), float64(d.servers))
}

func (d demand) byBatches() float64 {
	return d.inFlight / max(d.capacity/float64(d.servers), 1) / batchTarget
}

func (d demand) bySlots() float64 {
	return d.pinned / max(d.slots/float64(d.servers), 1) / slotTarget
}

// demandOf sums a group's load reports.
func (v *View) demandOf(members []int32) demand {
	d := demand{servers: len(members)}
	for _, i := range members {
		s := &v.servers[i]
		d.inFlight += float64(s.Load.Running + s.Load.Waiting)
		d.capacity += float64(max(s.Load.Capacity, defaultCapacity))
		d.slots += float64(s.Slots)
		d.pinned += float64(s.Slots - s.Load.Obtainable)
	}
	return d
}

func (p *packer) observe(view *View, now time.Time) {
	if p.packing == 0 {
		return
	}
	if p.need == nil {
		p.need = make(map[group]float64)
	}
	keep := math.Exp(-now.Sub(p.at).Seconds() / shrinkTime.Seconds())
	p.at = now
	for g, members := range view.groups {
		if g.kind != membership.KindEngine {
			continue
		}
		d := view.demandOf(members)
		n := float64(len(members))
		target := n + p.packing*(d.needed()-n)
		previous, ok := p.need[g]
		if !ok {
			previous = n
		}
		p.need[g] = min(max(target, target+(previous-target)*keep), n)
	}
}

// updateEstimates updates the estimates from the view.
func (s *Selector) updateEstimates(now time.Time) {
	reported, own, loads, sum := 0, 0, 0, 0
	for i := range s.view.servers {
		server := &s.view.servers[i]
		if server.Kind != membership.KindEngine {
			continue
		}
		reported += server.Load.Running + server.Load.Waiting
		own += s.own[server.Server].inFlight
		if server.Load.LoadMillis > 0 {
			loads++
			sum += server.Load.LoadMillis
		}
	}
	if loads > 0 {
		s.estimates.LoadTime = time.Duration(sum/loads) * time.Millisecond
	}
	if own > 0 {
		s.scale = max(1, float64(reported)/float64(own))
	}
	s.packer.observe(s.view, now)
}
