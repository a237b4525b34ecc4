package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// An entry that stops refuses the streams that would not end before it does. Taken for too long, every caller of its last
// seconds is sent away; taken for too short, streams are cut.
func TestMostAnswersEndWithinTheUsualTime(t *testing.T) {
	for _, mean := range []time.Duration{200 * time.Millisecond, 2 * time.Second} {
		random := rand.New(rand.NewPCG(1, 2))
		var u Usual
		draw := func() time.Duration { return time.Duration((0.4 + 1.2*random.Float64()) * float64(mean)) }
		for range 200 {
			u.Add(draw())
		}
		within := 0
		const answers = 1000
		for range answers {
			if draw() <= u.Most() {
				within++
			}
		}
		if within < answers*97/100 || u.Most() > 3*mean {
			t.Errorf("answers of %v: %d of %d end within %v", mean, within, answers, u.Most())
		}
	}
	var none Usual
	if none.Most() != 0 {
		t.Errorf("without an answer it expects %v", none.Most())
	}
}
