package placement

// packingCost is the cost of using a server beyond the active ones, in load
// times. Above 1, work moves to the active servers at the price of a load.
const packingCost = 1.2

// Packing keeps work on the first Active servers in the pool's order, so that
// their batches are full and the others fall idle. A server beyond is still
// used when the wait on the active ones is longer.
func Packing(c *Candidate, e *Estimates) float64 {
	if e.Active == 0 || c.Rank < e.Active {
		return 0
	}
	return packingCost * e.LoadTime.Seconds()
}
