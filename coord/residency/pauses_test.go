package residency

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Engines differ in the length of the pauses that a full read rate causes. Where streams halt for too long, prompts
// must be read more slowly; where none does, reading must not be limited further.
func TestMaxShareAdaptsToPauses(t *testing.T) {
	const allowed = 300 * time.Millisecond
	tests := []struct {
		name string
		// tolerated is the share from which streams halt for too long.
		tolerated, from, to float64
	}{
		{"engine with short steps", 2, 0.94, 0.96},
		{"engine with long steps", 0.8, 0.75, 0.88},
		{"engine that tolerates almost no reading", 0.1, minReadShare - 0.01, minReadShare + 0.01},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			table := New(options())
			halted := 0
			const streams = 3000
			for i := range streams {
				longest := 100 * time.Millisecond
				// The probability that a stream halts grows with the excess over the tolerated share.
				if over := table.pauses.maxShare() - test.tolerated; random.Float64() < 5*over {
					longest = 500 * time.Millisecond
					if i > streams/2 {
						halted++
					}
				}
				table.RecordPause(longest, allowed)
			}
			if got := table.pauses.maxShare(); got < test.from || got > test.to {
				t.Errorf("prompts may take %.2f of the rate, want %.2f to %.2f", got, test.from, test.to)
			}
			if test.tolerated > minReadShare && halted > streams/2*6/100 {
				t.Errorf("%d of %d streams halted for too long, want at most 6%%", halted, streams/2)
			}
		})
	}
	table := New(options())
	before := table.pauses
	if table.RecordPause(time.Hour, 0); table.pauses != before {
		t.Error("a stream of a route without a pause limit changed the share")
	}
}
