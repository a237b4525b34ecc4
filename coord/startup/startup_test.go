package startup

import (
	"testing"
	"time"
)

func TestUntil(t *testing.T) {
	started := time.Unix(1000, 0)
	options := Options{Settle: 2 * time.Second, MaxWaiting: 3}
	at := func(d time.Duration) time.Time { return started.Add(d) }
	tests := []struct {
		name        string
		now, latest time.Duration
		waiting     int
		until       time.Duration
		ok          bool
	}{
		{"entry is settling", 100 * time.Millisecond, 10 * time.Second, 0, 2 * time.Second, true},
		{"bounded by latest", 100 * time.Millisecond, 400 * time.Millisecond, 0, 400 * time.Millisecond, true},
		{"after latest", 500 * time.Millisecond, 400 * time.Millisecond, 0, 400 * time.Millisecond, false},
		{"entry has settled", 2 * time.Second, 10 * time.Second, 0, 2 * time.Second, false},
		{"too many waiting", 100 * time.Millisecond, 10 * time.Second, 3, 2 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			until, ok := options.Until(started, at(test.now), at(test.latest), test.waiting)
			if ok != test.ok || !until.Equal(at(test.until)) {
				t.Errorf("until %v, %v; want %v, %v", until.Sub(started), ok, test.until, test.ok)
			}
		})
	}
}

func TestLatestLeavesTimeForRetry(t *testing.T) {
	arrived := time.Unix(1000, 0)
	options := Options{Settle: 2400 * time.Millisecond}
	for timeout, want := range map[time.Duration]time.Duration{
		900 * time.Millisecond: 300 * time.Millisecond,
		0:                      2400 * time.Millisecond,
	} {
		if got := options.Latest(arrived, timeout).Sub(arrived); got != want {
			t.Errorf("with a timeout of %v it waits %v, want %v", timeout, got, want)
		}
	}
}
