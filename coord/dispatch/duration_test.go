package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A stopping entry refuses streams that would not end before it stops. If the
// estimate is too long, every caller of the last seconds is refused; if it is
// too short, streams are cut off.
func TestMostAnswersEndWithinBound(t *testing.T) {
	for _, mean := range []time.Duration{200 * time.Millisecond, 2 * time.Second} {
		random := rand.New(rand.NewPCG(1, 2))
		var estimate DurationEstimate
		draw := func() time.Duration { return time.Duration((0.4 + 1.2*random.Float64()) * float64(mean)) }
		for range 200 {
			estimate.Add(draw())
		}
		within := 0
		const answers = 1000
		for range answers {
			if draw() <= estimate.UpperBound() {
				within++
			}
		}
		if within < answers*97/100 || estimate.UpperBound() > 3*mean {
			t.Errorf("mean %v: %d of %d answers end within the bound of %v", mean, within, answers, estimate.UpperBound())
		}
	}
	var none DurationEstimate
	if none.UpperBound() != 0 {
		t.Errorf("the bound without any answer is %v, want 0", none.UpperBound())
	}
}
