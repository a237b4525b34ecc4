package placement

// crossingCost is the time, in seconds, that a request loses between two data
// centres and back.
const crossingCost = 0.002

// DataCentre prefers servers in the viewer's own data centre among equals. A
// server without a data centre counts as near.
func DataCentre(c *Candidate, _ *Estimates) float64 {
	if c.Remote {
		return crossingCost
	}
	return 0
}
