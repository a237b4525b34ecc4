package placement

const (
	// blockTime is how long an engine computes a block of a prompt that it
	// does not hold, in seconds: 64 tokens at 5,000 a second. An assumption.
	blockTime = 0.013
	// prefixCap is the most that a cached prefix may save, in seconds: half a
	// load at a store that keeps up. A constant, as with Packing: when the store
	// falls behind, a growing pull would fill servers that others wait for.
	prefixCap = 0.125
)

// PrefixSaved is the time saved where the engine holds a prefix of the prompt.
// Only servers with the adapter loaded have it, as a cache doesn't say where an
// adapter should go, and only active ones, as it would keep others in use.
func PrefixSaved(c *Candidate, e *Estimates) float64 {
	if e.Active > 0 && c.Rank >= e.Active {
		return 0
	}
	return -min(blockTime*c.CachedBlocks, prefixCap)
}
