package placement

// packingCost is the cost, in seconds, of using a server beyond the active
// ones. It is slightly above that of a load at a store that keeps up, so that
// requests move to the active servers at the cost of a load. It is constant
// rather than a fraction of the current load time: when the store falls behind,
// moving adapters would cost it the loads that callers wait for.
const packingCost = 0.3

// Packing keeps requests on the first Active servers in the pool's order, so
// that their batches are full and the other servers become idle. Another server
// is still used when the wait on the active ones is longer.
func Packing(c *Candidate, e *Estimates) float64 {
	if e.Active == 0 || c.Rank < e.Active {
		return 0
	}
	return packingCost
}
