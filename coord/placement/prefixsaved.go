package placement

const (
	// blockTime is the assumed time, in seconds, for an engine to compute a
	// prompt block that is not cached: 64 tokens at 5,000 tokens per second.
	blockTime = 0.013
	// prefixCap is the maximum time that a cached prefix may save, in seconds:
	// half a load at a store that keeps up. Like packingCost it is constant: if
	// it grew when the store falls behind, it would fill servers that other
	// requests wait for.
	prefixCap = 0.125
)

// PrefixSaved is the time saved where the engine holds a prefix of the prompt.
// It applies only to servers that have the adapter loaded, because a cached
// prefix must not decide where an adapter is loaded, and only to active
// servers, because it would keep others in use.
func PrefixSaved(c *Candidate, e *Estimates) float64 {
	if e.Active > 0 && c.Rank >= e.Active {
		return 0
	}
	return -min(blockTime*c.CachedBlocks, prefixCap)
}
