package placement

import (
	"math"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/membership"
)

const (
	// batchTarget and slotTarget are the use of batches and slots up to which
	// a server is filled; the rest absorbs bursts.
	batchTarget = 0.75
	slotTarget  = 0.75
	// shrinkTime is the time constant by which fewer servers are used when
	// demand falls. Growing is at once: a queue would form.
	shrinkTime = 30 * time.Second
)

// packer decides how many servers of each group the work is packed on.
type packer struct {
	packing float64
	need    map[group]float64
	at      time.Time
}

// active is how many servers to use, 0 for all.
func (p *packer) active(g group) int {
	if p.packing == 0 {
		return 0
	}
	return int(math.Ceil(p.need[g]))
}

// demand sums what one group serves now.
type demand struct {
	servers            int
	inFlight, capacity float64
	pinned, slots      float64
}

// servers is how many servers could carry the demand at the targets.
func (d demand) needed() float64 {
	n := float64(d.servers)
	byBatch := d.inFlight / max(d.capacity/n, 1) / batchTarget
	bySlots := d.pinned / max(d.slots/n, 1) / slotTarget
	return min(max(byBatch, bySlots, 1), n)
}

func (p *packer) observe(view *View, inFlight func(*Server) float64, now time.Time) {
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
		d := demand{servers: len(members)}
		for _, i := range members {
			s := &view.servers[i]
			d.inFlight += inFlight(s)
			d.capacity += float64(s.Load.Capacity)
			d.slots += float64(s.Slots)
			d.pinned += float64(s.Slots - s.Load.Obtainable)
		}
		n := float64(len(members))
		target := n + p.packing*(d.needed()-n)
		known, ok := p.need[g]
		if !ok {
			known = n
		}
		p.need[g] = min(max(target, target+(known-target)*keep), n)
	}
}

// learn refreshes the estimates from the view.
func (s *Selector) learn(now time.Time) {
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
	s.packer.observe(s.view, func(server *Server) float64 {
		return float64(server.Load.Running + server.Load.Waiting)
	}, now)
}
