// Package modelplan decides which base model an empty engine loads if its service
// has several: the one with the fewest engines relative to its requests.
package modelplan

import (
	"slices"
	"time"
)

// Model describes a base model as input of the decision.
type Model struct {
	Name string
	// Demand is the model's share of recent requests, from 0 to 1.
	Demand float64
	// Holders is the number of engines that hold or load the model.
	Holders int
	// OnDisk reports whether the engine has a copy on its own disk.
	OnDisk bool
}

const (
	// baseDemand is added to the share of every model, so that a model without
	// requests counts too: a model that no engine holds cannot be served when its
	// next request arrives.
	baseDemand = 0.02
	// minHolders replaces a count of 0 holders: a model without holders precedes
	// one with holders, unless the latter has more than 4 times its demand for each
	// holder; 12 times if the engine's disk has a copy of only the model without
	// holders. Demand includes baseDemand here.
	minHolders = 0.25
	// diskFactor favours a copy on the engine's own disk: a load from disk takes
	// well under half the time of a load from the store and adds no load to the
	// store.
	diskFactor = 3.0
)

// Next returns the name of the model that an empty engine should load, or an empty
// string if there are no models. Of models with equal scores it returns the first.
func Next(models []Model) string {
	next, highest := "", 0.0
	for _, m := range models {
		score := (m.Demand + baseDemand) / max(float64(m.Holders), minHolders)
		if m.OnDisk {
			score *= diskFactor
		}
		if next == "" || score > highest {
			next, highest = m.Name, score
		}
	}
	return next
}

// demandHalfLife is the half-life of the weight of past requests: popularity
// changes within minutes, and a loaded engine serves for longer than that.
const demandHalfLife = 30 * time.Second

// Demand counts requests by model, with exponential decay.
type Demand struct {
	counts map[string]float64
	// decayedAt is when the decay was last applied to counts.
	decayedAt time.Time
}

// Record records a request.
func (d *Demand) Record(model string, now time.Time) {
	d.decay(now)
	if d.counts == nil {
		d.counts = make(map[string]float64)
	}
	d.counts[model]++
}

// decayInterval is the minimum time between two applications of the decay.
const decayInterval = time.Second

func (d *Demand) decay(now time.Time) {
	elapsed := now.Sub(d.decayedAt)
	if elapsed < decayInterval {
		return
	}
	d.decayedAt = now
	// Within a half-life the decay is linear, which is a sufficient approximation.
	factor := 1.0
	for ; elapsed >= demandHalfLife && factor > 1e-6; elapsed -= demandHalfLife {
		factor /= 2
	}
	factor *= 1 - float64(min(elapsed, demandHalfLife))/float64(2*demandHalfLife)
	for model, count := range d.counts {
		if d.counts[model] = count * factor; d.counts[model] < 1e-3 {
			delete(d.counts, model)
		}
	}
}

// Share returns the model's share of the requests for the models in among. Without
// such requests the first model has a share of 1 and the others 0, so that each of
// the others gets one engine.
func (d *Demand) Share(model string, among []string, now time.Time) float64 {
	d.decay(now)
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
