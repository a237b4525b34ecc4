package placement

// affinityStep is the cost, in seconds, of one step down the adapter's
// rendezvous order.
const affinityStep = 0.005

// Affinity makes all entries agree, without a word between them, on where an
// adapter that is nowhere yet should go, so that it is loaded once and not
// once per entry. It yields to any real difference in wait.
func Affinity(c *Candidate, _ *Estimates) float64 {
	return affinityStep * float64(min(c.Preference, maxPreference))
}

// maxPreference bounds the cost for servers far down the order.
const maxPreference = 8
