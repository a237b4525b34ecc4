package placement

// packingCost is the cost, in seconds, of using a server beyond the active
// ones: a little above a load at a store that keeps up, so that work moves to
// the active servers at the price of a load. It is a constant and not a share
// of the present load time: when the store falls behind, moving adapters
// about would cost it the loads that callers wait for.
const packingCost = 0.3

// Packing keeps work on the first Active servers in the pool's order, so that
// their batches are full and the others fall idle. A server beyond is still
// used when the wait on the active ones is longer.
func Packing(c *Candidate, e *Estimates) float64 {
	if e.Active == 0 || c.Rank < e.Active {
		return 0
	}
	return packingCost
}
