package placement

import "github.com/rosemarypass/rosemarypass/coord/membership"

const (
	// evictionCost is the expected later wait, in seconds, per recent request for
	// the adapter that a load would evict.
	evictionCost = 0.01
	// maxEvictionCost keeps the cost below that of a load.
	maxEvictionCost = 0.15
)

// EvictionCost directs an adapter that must be loaded to the server whose
// eviction victim is the least valuable. Without it each server evicts
// independently: one with many popular adapters loses some of them while
// another keeps rare ones.
func EvictionCost(c *Candidate, _ *Estimates) float64 {
	if c.Kind != membership.KindEngine || c.Resident || c.Arriving {
		return 0
	}
	return min(evictionCost*c.Load.VictimUse, maxEvictionCost)
}
