package placement

// crossingCost is the round-trip time between two data centres, in seconds.
const crossingCost = 0.002

// DataCentre prefers servers in the viewer's own data centre among otherwise
// equal servers. A server without a data centre counts as local.
func DataCentre(c *Candidate, _ *Estimates) float64 {
	if c.Remote {
		return crossingCost
	}
	return 0
}
