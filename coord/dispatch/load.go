package dispatch

import "time"

// Load is the load of an engine as its agent reported it.
type Load struct {
	Running, Waiting int
	// Batch and MemoryTokens limit the requests, and the tokens of memory, that run
	// at once; Tokens is the memory in use.
	Batch        int
	Tokens       int
	MemoryTokens int
	// Delay is how long a start would be delayed, by rank; the last value applies to
	// all higher ranks.
	Delay []time.Duration
	// PromptTime is the delay that the start of 1,000 prompt tokens adds, PlaceTime
	// the time in which a place of a full batch becomes free.
	PromptTime time.Duration
	PlaceTime  time.Duration
	// SlotDelay is how long an adapter that is requested now would wait for a slot,
	// LoadTime how long it would then take to load.
	SlotDelay time.Duration
	LoadTime  time.Duration
	// Slow is how long work takes on the engine's machine, as a factor of the usual
	// time; 0 when unknown.
	Slow float64
	// HoldAbove is the number of prompt tokens above which a start is held back, 0 for
	// none; Hold is for how long.
	HoldAbove int
	Hold      time.Duration
}

// Sent counts the starts that an entry has requested since a load was reported, and
// the tokens of their prompts.
type Sent struct {
	Starts int
	Prompt int
}

// promptUnit is the number of prompt tokens that Load.PromptTime refers to.
const promptUnit = 1000

// SetLoad sets the load that a request of the given rank would meet: the reported
// one and what this entry has sent since.
func (c *Candidate) SetLoad(l *Load, sent Sent, rank int) {
	c.Batch, c.MemoryTokens, c.Tokens, c.SlotDelay, c.LoadTime = l.Batch, l.MemoryTokens, l.Tokens, l.SlotDelay, l.LoadTime
	c.Running, c.Waiting = l.Running+sent.Starts, l.Waiting
	c.PromptTime, c.Slow, c.HoldAbove, c.Hold = l.usualPromptTime(), l.Slow, l.HoldAbove, l.Hold
	c.Delay = l.delay(rank) + l.PromptTime*time.Duration(sent.Prompt)/promptUnit
	if sent.Starts > 0 {
		missing := c.Running + c.Waiting + 1 - c.Batch
		c.Delay = max(c.Delay, time.Duration(max(missing, 0))*l.PlaceTime)
	}
}

// usualPromptTime converts PromptTime, which agents report at the current speed of the
// machine, to the usual speed.
func (l *Load) usualPromptTime() time.Duration {
	if l.Slow <= 0 {
		return l.PromptTime
	}
	return time.Duration(float64(l.PromptTime) / boundFactor(l.Slow))
}

func (l *Load) delay(rank int) time.Duration {
	if len(l.Delay) == 0 {
		return 0
	}
	return l.Delay[min(rank, len(l.Delay)-1)]
}
