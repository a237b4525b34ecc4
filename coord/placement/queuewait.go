package placement

const (
	// crowding is the cost, in seconds, of a batch that is just full: small
	// beside a load, so that it only decides between servers that are alike.
	crowding = 0.03
	// defaultCapacity stands in for a capacity that was not reported.
	defaultCapacity = 1
)

// QueueWait is the wait for a place in the engine's batch. Below its capacity
// an engine has room, and the cost only spreads the work.
func QueueWait(c *Candidate, e *Estimates) float64 {
	capacity := float64(max(c.Load.Capacity, defaultCapacity))
	use := c.InFlight / capacity
	if use < 1 {
		return crowding * use * use
	}
	excess := c.InFlight - capacity + 1
	return crowding + excess/capacity*e.ServiceTime.Seconds()
}
