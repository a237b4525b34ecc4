package backoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestPause(t *testing.T) {
	o := Options{First: 30 * time.Millisecond, Most: 2 * time.Second, Rate: 100}
	tests := []struct {
		name    string
		trouble time.Duration
		sharing int
		want    time.Duration
	}{
		{"at first", 0, 1, 30 * time.Millisecond},
		{"while the trouble is young", 80 * time.Millisecond, 1, 30 * time.Millisecond},
		{"an eighth of the trouble", 4 * time.Second, 1, 500 * time.Millisecond},
		{"no longer than the longest", time.Hour, 1, 2 * time.Second},
		{"shared by many", 0, 50, 500 * time.Millisecond},
		{"shared by so many that the rate goes before the longest", time.Hour, 900, 9 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := o.Pause(test.trouble, test.sharing, 0.5); got != test.want {
				t.Errorf("the pause is %s, want %s", got, test.want)
			}
		})
	}
}

func TestTrouble(t *testing.T) {
	var trouble Trouble
	began := time.Unix(1, 0)
	if got := trouble.Failed(began); got != 0 {
		t.Errorf("a first failure has lasted %s", got)
	}
	if got := trouble.Lasts(began.Add(time.Second)); got != time.Second {
		t.Errorf("the failures have lasted %s, want a second", got)
	}
	if got := trouble.Failed(began.Add(time.Minute)); got != time.Minute {
		t.Errorf("the failures have lasted %s, want a minute", got)
	}
	trouble.Over()
	if got := trouble.Lasts(began.Add(time.Hour)); got != 0 {
		t.Errorf("no failures have lasted %s", got)
	}
	if got := trouble.Failed(began.Add(time.Hour)); got != 0 {
		t.Errorf("a failure behind a success has lasted %s", got)
	}
}

// Many processes lose the same peer at once. Together they may not try more often than the rate allows, however many
// they are, and the longer it lasts the less each may try.
func TestTogetherTheyKeepToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{First: 10 * time.Millisecond, Most: time.Second, Rate: float64(rapid.IntRange(10, 500).Draw(t, "rate"))}
		sharing := rapid.IntRange(1, 1000).Draw(t, "sharing")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		const lasts = 20 * time.Second
		tries := 0
		for range sharing {
			for at := time.Duration(0); at < lasts; tries++ {
				at += o.Pause(at, sharing, random.Float64())
			}
		}
		if most := o.Rate*lasts.Seconds()*1.1 + 2*float64(sharing); float64(tries) > most {
			t.Errorf("%d processes tried %d times in %s, %.0f are allowed", sharing, tries, lasts, most)
		}
		earlier := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "earlier"))
		later := earlier + time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "later"))
		drawn := random.Float64()
		if o.Pause(later, sharing, drawn) < o.Pause(earlier, sharing, drawn) {
			t.Errorf("the pause after %s is shorter than that after %s", later, earlier)
		}
	})
}

func TestPatience(t *testing.T) {
	for trouble, want := range map[time.Duration]time.Duration{0: time.Second, 3 * time.Second: 1500 * time.Millisecond, time.Minute: 5 * time.Second} {
		if got := Patience(time.Second, 5*time.Second, trouble); got != want {
			t.Errorf("after %s of trouble the patience is %s, want %s", trouble, got, want)
		}
	}
}
