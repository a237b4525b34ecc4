package dispatch

import (
	"testing"
	"time"
)

// Guards against an engine that always reports that it is empty: each entry would
// offer it one request after the other.
func TestDeclinesAgainstReportRaiseDelay(t *testing.T) {
	var f DelayFloor
	now := time.Unix(0, 0)
	if !f.Declined(300*time.Millisecond, 0, now) {
		t.Error("a decline beside a report without delay is no contradiction")
	}
	if got := f.Delay(now); got != 600*time.Millisecond {
		t.Errorf("the floor is %s, want twice the declined limit", got)
	}
	f.Declined(300*time.Millisecond, 0, now)
	if got := f.Delay(now); got != 1200*time.Millisecond {
		t.Errorf("after another decline the floor is %s, want 1.2s", got)
	}
	for range 10 {
		f.Declined(time.Second, 0, now)
	}
	if got := f.Delay(now); got != maxFloor {
		t.Errorf("the floor is %s, want the bound of %s", got, maxFloor)
	}
}

// Guards against different choices among servers that report correctly: agents round
// their delays, and a report may show the delay of a moment later.
func TestDeclinesThatReportsExplainChangeNothing(t *testing.T) {
	now := time.Unix(0, 0)
	for _, test := range []struct {
		name              string
		offered, reported time.Duration
	}{
		{"longer delay", 300 * time.Millisecond, 700 * time.Millisecond},
		{"rounded delay", 300 * time.Millisecond, 280 * time.Millisecond},
		{"no limit offered", 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			var f DelayFloor
			if f.Declined(test.offered, test.reported, now) || f.Delay(now) != 0 {
				t.Errorf("the floor is %s, want none", f.Delay(now))
			}
		})
	}
}

// Guards against an engine that stays unused after its agent reports correctly again.
func TestFloorFades(t *testing.T) {
	var f DelayFloor
	now := time.Unix(0, 0)
	f.Declined(time.Second, 0, now)
	if got := f.Delay(now.Add(floorHalfLife)); got != time.Second {
		t.Errorf("after its half-life the floor is %s, want half of 2s", got)
	}
	if got := f.Delay(now.Add(10 * time.Second)); got > offerMargin {
		t.Errorf("after 10 s the floor is %s, want less than %s", got, offerMargin)
	}
}

// Guards against a gap that counts servers that could not have taken the request.
func TestOtherHolderDelayCountsUsableHolders(t *testing.T) {
	candidates := make([]Candidate, 6)
	for i := range candidates {
		candidates[i] = candidate(string(rune('a' + i)))
		candidates[i].Delay, candidates[i].Residence = time.Duration(i)*time.Millisecond, Resident
	}
	candidates[1].Silent, candidates[2].Excluded, candidates[3].Residence = true, true, Absent
	if got, ok := OtherHolderDelay(candidates, 0); !ok || got != 4*time.Millisecond {
		t.Errorf("the least delay of another holder is %s, %v, want 4ms", got, ok)
	}
	if _, ok := OtherHolderDelay(candidates[:1], 0); ok {
		t.Error("a single server has another holder")
	}
}
