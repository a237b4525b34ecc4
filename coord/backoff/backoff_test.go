package backoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestPause(t *testing.T) {
	o := Options{Initial: 30 * time.Millisecond, Max: 2 * time.Second, Rate: 100}
	tests := []struct {
		name    string
		outage  time.Duration
		sharing int
		want    time.Duration
	}{
		{"first failure", 0, 1, 30 * time.Millisecond},
		{"shortly after the first failure", 80 * time.Millisecond, 1, 30 * time.Millisecond},
		{"an eighth of the outage", 4 * time.Second, 1, 500 * time.Millisecond},
		{"bounded by Max", time.Hour, 1, 2 * time.Second},
		{"bounded by the rate", 0, 50, 500 * time.Millisecond},
		{"the rate takes precedence over Max", time.Hour, 900, 9 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := o.Pause(test.outage, test.sharing, 0.5); got != test.want {
				t.Errorf("the pause is %s, want %s", got, test.want)
			}
		})
	}
}

func TestOutage(t *testing.T) {
	var outage Outage
	first := time.Unix(1, 0)
	if got := outage.Failed(first); got != 0 {
		t.Errorf("after the first failure the run has lasted %s, want 0", got)
	}
	if got := outage.Elapsed(first.Add(time.Second)); got != time.Second {
		t.Errorf("the run has lasted %s, want 1s", got)
	}
	if got := outage.Failed(first.Add(time.Minute)); got != time.Minute {
		t.Errorf("the run has lasted %s, want 1m", got)
	}
	outage.Succeeded()
	if got := outage.Elapsed(first.Add(time.Hour)); got != 0 {
		t.Errorf("after a success the run has lasted %s, want 0", got)
	}
	if got := outage.Failed(first.Add(time.Hour)); got != 0 {
		t.Errorf("a failure after a success has lasted %s, want 0", got)
	}
}

// Many processes lose the same peer at once. Their total retry rate must not exceed the limit, regardless of their
// number, and pauses must not get shorter as the outage lasts.
func TestPauseLimitsTotalRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{Initial: 10 * time.Millisecond, Max: time.Second, Rate: float64(rapid.IntRange(10, 500).Draw(t, "rate"))}
		sharing := rapid.IntRange(1, 1000).Draw(t, "sharing")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		const duration = 20 * time.Second
		retries := 0
		for range sharing {
			for at := time.Duration(0); at < duration; retries++ {
				at += o.Pause(at, sharing, random.Float64())
			}
		}
		if limit := o.Rate*duration.Seconds()*1.1 + 2*float64(sharing); float64(retries) > limit {
			t.Errorf("%d processes retried %d times in %s, %.0f are allowed", sharing, retries, duration, limit)
		}
		earlier := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "earlier"))
		later := earlier + time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "later"))
		drawn := random.Float64()
		if o.Pause(later, sharing, drawn) < o.Pause(earlier, sharing, drawn) {
			t.Errorf("the pause after %s is shorter than that after %s", later, earlier)
		}
	})
}

func TestTimeout(t *testing.T) {
	for outage, want := range map[time.Duration]time.Duration{0: time.Second, 3 * time.Second: 1500 * time.Millisecond, time.Minute: 5 * time.Second} {
		if got := Timeout(time.Second, 5*time.Second, outage); got != want {
			t.Errorf("after %s of failures the timeout is %s, want %s", outage, got, want)
		}
	}
}
