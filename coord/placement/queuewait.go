package placement

const (
	// fullBatchCost is the cost, in seconds, of a batch that is just full: small
	// compared to a load, so that it decides only between otherwise equal
	// servers.
	fullBatchCost = 0.03
	// defaultCapacity is used when no capacity was reported.
	defaultCapacity = 1
)

// QueueWait is the wait for a place in the engine's batch. Below its capacity
// the engine has room, and the cost only spreads the requests.
func QueueWait(c *Candidate, e *Estimates) float64 {
	capacity := float64(max(c.Load.Capacity, defaultCapacity))
	use := c.InFlight / capacity
	if use < 1 {
		return fullBatchCost * use * use
	}
	excess := c.InFlight - capacity + 1
	return fullBatchCost + excess/capacity*e.ServiceTime.Seconds()
}
