package residency

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Engines differ in how long a pause a full reading rate makes. Where streams halt for too long the prompts must be
// read more slowly; where none does, nothing may hold the queue up.
func TestPromptsAreReadAsFastAsStreamsBear(t *testing.T) {
	const allowed = 300 * time.Millisecond
	tests := []struct {
		name string
		// bears is the share from which streams halt for too long.
		bears, from, to float64
	}{
		{"an engine with short steps", 2, 0.94, 0.96},
		{"an engine with long steps", 0.8, 0.75, 0.88},
		{"an engine that bears next to nothing", 0.1, readShare - 0.01, readShare + 0.01},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			table := New(options())
			halted := 0
			const streams = 3000
			for i := range streams {
				longest := 100 * time.Millisecond
				// A stream halts with a chance that grows with what is too much.
				if over := table.pauses.most() - test.bears; random.Float64() < 5*over {
					longest = 500 * time.Millisecond
					if i > streams/2 {
						halted++
					}
				}
				table.Paused(longest, allowed)
			}
			if got := table.pauses.most(); got < test.from || got > test.to {
				t.Errorf("prompts take %.2f of the rate, want %.2f to %.2f", got, test.from, test.to)
			}
			if test.bears > readShare && halted > streams/2*6/100 {
				t.Errorf("%d of %d streams halted for too long", halted, streams/2)
			}
		})
	}
	table := New(options())
	before := table.pauses
	if table.Paused(time.Hour, 0); table.pauses != before {
		t.Error("a route that allows any pause says something of it")
	}
}
