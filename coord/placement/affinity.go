package placement

// affinityStep is the cost, in seconds, of each position further down the
// adapter's rendezvous order.
const affinityStep = 0.005

// Affinity makes all entries agree, without communication, on where to load an
// adapter that no server holds, so that it is loaded once and not once per
// entry. Any significant difference in wait outweighs it.
func Affinity(c *Candidate, _ *Estimates) float64 {
	return affinityStep * float64(min(c.Preference, maxPreference))
}

// maxPreference bounds the cost for servers far down the order.
const maxPreference = 8
