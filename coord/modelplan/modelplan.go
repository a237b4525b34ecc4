// Package modelplan decides which base model an engine that holds none loads,
// where a service has several: the one whose requests find the fewest engines.
package modelplan

import (
	"slices"
	"time"
)

// Model is a base model as the one that decides sees it.
type Model struct {
	Name string
	// Demand is its share of the requests lately, 0 to 1.
	Demand float64
	// Holders are the engines that hold it or load it.
	Holders int
	// Near is true when the engine keeps a copy on its own disk.
	Near bool
}

const (
	// leastDemand is the share that a model counts for without any requests: a
	// model that nobody holds cannot be served when its next request comes.
	leastDemand = 0.02
	// noHolders is what no holders count for: a model without any comes before
	// one that has some until those have twelve times its share each.
	noHolders = 0.25
	// nearFactor favours a copy on the engine's own disk: a load from there takes
	// well under half of the time and costs the store nothing.
	nearFactor = 3.0
)

// Next returns the model that an empty engine should load, empty when there are
// none. Of equal ones the first counts.
func Next(models []Model) string {
	next, highest := "", 0.0
	for _, m := range models {
		need := (m.Demand + leastDemand) / max(float64(m.Holders), noHolders)
		if m.Near {
			need *= nearFactor
		}
		if next == "" || need > highest {
			next, highest = m.Name, need
		}
	}
	return next
}

// demandHalfLife is how fast past requests lose their weight: popularity moves
// within minutes, and an engine that is loaded serves for longer.
const demandHalfLife = 30 * time.Second

// Demand counts requests by model.
type Demand struct {
	counts map[string]float64
	// fadedAt is when counts were last brought up to date.
	fadedAt time.Time
}

// Note counts a request.
func (d *Demand) Note(model string, now time.Time) {
	d.fade(now)
	if d.counts == nil {
		d.counts = make(map[string]float64)
	}
	d.counts[model]++
}

// fadeStep is the least time between two fadings.
const fadeStep = time.Second

func (d *Demand) fade(now time.Time) {
	passed := now.Sub(d.fadedAt)
	if passed < fadeStep {
		return
	}
	d.fadedAt = now
	// Between half-lives the weight falls evenly, which is near enough.
	left := 1.0
	for ; passed >= demandHalfLife && left > 1e-6; passed -= demandHalfLife {
		left /= 2
	}
	left *= 1 - float64(min(passed, demandHalfLife))/float64(2*demandHalfLife)
	for model, count := range d.counts {
		if d.counts[model] = count * left; d.counts[model] < 1e-3 {
			delete(d.counts, model)
		}
	}
}

// Share is the part of a model in the requests for those named. While there were
// none the first one counts for all: the others then get an engine each.
func (d *Demand) Share(model string, among []string, now time.Time) float64 {
	d.fade(now)
	if !slices.Contains(among, model) {
		return 0
	}
	total := 0.0
	for _, name := range among {
		total += d.counts[name]
	}
	switch {
	case total > 0:
		return d.counts[model] / total
	case model == among[0]:
		return 1
	default:
		return 0
	}
}
