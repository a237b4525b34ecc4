package startup

import (
	"testing"
	"time"
)

func TestUntil(t *testing.T) {
	started := time.Unix(1000, 0)
	options := Options{Settle: 2 * time.Second, Most: 3}
	at := func(d time.Duration) time.Time { return started.Add(d) }
	tests := []struct {
		name        string
		now, latest time.Duration
		waiting     int
		until       time.Duration
		ok          bool
	}{
		{"it may still learn", 100 * time.Millisecond, 10 * time.Second, 0, 2 * time.Second, true},
		{"no longer than it is of use", 100 * time.Millisecond, 400 * time.Millisecond, 0, 400 * time.Millisecond, true},
		{"of no use any more", 500 * time.Millisecond, 400 * time.Millisecond, 0, 400 * time.Millisecond, false},
		{"it knows that nothing is there", 2 * time.Second, 10 * time.Second, 0, 2 * time.Second, false},
		{"too many wait", 100 * time.Millisecond, 10 * time.Second, 3, 2 * time.Second, false},
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

func TestLatestLeavesTimeToComeBack(t *testing.T) {
	arrived := time.Unix(1000, 0)
	options := Options{Settle: 2400 * time.Millisecond}
	for patience, want := range map[time.Duration]time.Duration{
		900 * time.Millisecond: 300 * time.Millisecond,
		0:                      2400 * time.Millisecond,
	} {
		if got := options.Latest(arrived, patience).Sub(arrived); got != want {
			t.Errorf("with a patience of %v it waits %v, want %v", patience, got, want)
		}
	}
}
