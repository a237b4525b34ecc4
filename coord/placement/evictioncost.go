package placement

import "github.com/rosemarypass/rosemarypass/coord/membership"

const (
	// evictionCost is the expected later wait, in seconds, for each recent
	// request for the adapter that a load would evict.
	evictionCost = 0.01
	// maxEvictionCost keeps the cost below that of a load.
	maxEvictionCost = 0.15
)

// EvictionCost sends an adapter that must be loaded to the server that has the
// least valuable adapter to give up. Without it each server evicts on its own,
// and one with many popular adapters loses them while another keeps rare ones.
func EvictionCost(c *Candidate, _ *Estimates) float64 {
	if c.Kind != membership.KindEngine || c.Resident || c.Arriving {
		return 0
	}
	return min(evictionCost*c.Load.VictimUse, maxEvictionCost)
}
