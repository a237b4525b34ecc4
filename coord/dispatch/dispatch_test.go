package dispatch

import (
	"testing"
	"time"
)

func none() float64 { return 0 }

func candidate(id string) Candidate {
	return Candidate{ID: id, DataCentre: "here", Batch: 48, Model: true, Residence: Resident}
}

func TestPick(t *testing.T) {
	asked := Request{Adapter: "m/a", DataCentre: "here", Target: 800 * time.Millisecond}
	tests := []struct {
		name   string
		change func(first, second *Candidate)
		want   int
	}{
		{"alike", func(_, _ *Candidate) {}, 0},
		{"the own data centre", func(first, _ *Candidate) { first.DataCentre = "there" }, 1},
		{"the adapter is there", func(first, _ *Candidate) { first.Residence, first.LoadTime = Absent, 280*time.Millisecond }, 1},
		{"rather far away than a load", func(first, second *Candidate) { first.Residence, second.DataCentre = Absent, "there" }, 1},
		{"rather a short wait than a load", func(first, second *Candidate) {
			first.Residence, second.Delay = Absent, 200*time.Millisecond
		}, 1},
		{"rather a load than being late", func(first, second *Candidate) {
			first.Residence, second.Delay = Absent, 900*time.Millisecond
		}, 0},
		{"not where an outdated version is in use", func(first, second *Candidate) { first.Residence, second.Residence = Stale, Absent }, 1},
		{"not where it was tried", func(first, _ *Candidate) { first.ID = "tried" }, 1},
		{"not where answers fail", func(first, _ *Candidate) { first.FailureShare = 0.4 }, 1},
		{"not where nothing answered just now", func(first, _ *Candidate) { first.Barred = true }, 1},
		{"barred is better than none", func(first, second *Candidate) { first.Barred, second.Model = true, false }, 0},
		{"a full batch", func(first, _ *Candidate) { first.Running = 48 }, 1},
		{"a full memory", func(first, _ *Candidate) { first.Tokens, first.MemoryTokens = 95, 100 }, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			candidates := []Candidate{candidate("one"), candidate("two")}
			test.change(&candidates[0], &candidates[1])
			r := asked
			r.Tried = map[string]bool{"tried": true}
			if got := Pick(candidates, r, none); got != test.want {
				t.Errorf("picked %d, want %d", got, test.want)
			}
		})
	}
}

func TestNothingIsPickedWhereNobodyCanServe(t *testing.T) {
	other := candidate("one")
	other.Model = false
	if got := Pick([]Candidate{other}, Request{}, none); got != -1 {
		t.Errorf("picked %d, want none", got)
	}
}

// Entries that know the same servers must send an adapter that nobody holds to
// the same few of them: the store gives each adapter once, and each copy takes
// the place of another.
func TestAnAbsentAdapterHasTheSameHomeEverywhere(t *testing.T) {
	homes := make(map[string]int)
	for _, adapter := range []string{"m/a1", "m/a2", "m/a3", "m/a4", "m/a5", "m/a6", "m/a7", "m/a8"} {
		var forwards, backwards []Candidate
		for _, id := range []string{"s1", "s2", "s3", "s4", "s5", "s6"} {
			c := candidate(id)
			c.Residence, c.LoadTime = Absent, 280*time.Millisecond
			forwards = append(forwards, c)
			backwards = append([]Candidate{c}, backwards...)
		}
		r := Request{Adapter: adapter, DataCentre: "here", Target: time.Second}
		first, second := forwards[Pick(forwards, r, none)].ID, backwards[Pick(backwards, r, none)].ID
		if first != second {
			t.Errorf("%s goes to %s and to %s", adapter, first, second)
		}
		homes[first]++
	}
	if len(homes) < 3 {
		t.Errorf("eight adapters have the homes %v", homes)
	}
}

func TestAServerThatCannotBeReachedIsLeftAloneForAWhile(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	h.Unreachable(now)
	if !h.Barred(now) || h.Barred(now.Add(barFirst)) {
		t.Error("after one failure it should be barred for the first pause only")
	}
	for range 20 {
		h.Unreachable(now)
	}
	if !h.Barred(now.Add(barMost-1)) || h.Barred(now.Add(barMost)) {
		t.Error("after many failures it should be barred for the longest pause")
	}
	h.Answered(time.Millisecond)
	if h.Barred(now) {
		t.Error("it answered and is still barred")
	}
}

func TestFailuresFadeWhenNothingIsSent(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	for range 10 {
		h.Failed(now)
	}
	before, after := h.FailureShare(now), h.FailureShare(now.Add(30*time.Second))
	if before < 0.5 || after > before/10 {
		t.Errorf("the share of failures goes from %.2f to %.2f", before, after)
	}
}

// Status reads fail at every server alike, for what they ask. The others must stay where their adapters and
// connections are; a server that alone fails must still be left.
func TestErrorsOfAllServersSayNothingOfOne(t *testing.T) {
	place := func(shares ...float64) int {
		candidates := make([]Candidate, len(shares))
		for i, share := range shares {
			candidates[i] = candidate(string(rune('a' + i)))
			candidates[i].FailureShare = share
			if i > 0 {
				candidates[i].Residence, candidates[i].LoadTime = Absent, 280*time.Millisecond
			}
		}
		return Pick(candidates, Request{Adapter: "m/a", DataCentre: "here", Target: 500 * time.Millisecond}, none)
	}
	if got := place(0.45, 0.33, 0.38, 0.41, 0.36); got != 0 {
		t.Errorf("with failures everywhere the holder is left for server %d", got)
	}
	if got := place(0.45, 0, 0.05, 0, 0.02); got == 0 {
		t.Error("the only server that fails is kept")
	}
}

// An adapter comes back soonest from where it was dropped last: elsewhere it is another load from the store.
func TestAnAdapterGoesBackToTheServerThatDroppedIt(t *testing.T) {
	candidates := []Candidate{candidate("one"), candidate("two"), candidate("three")}
	for i := range candidates {
		candidates[i].Residence, candidates[i].LoadTime = Absent, 280*time.Millisecond
	}
	r := Request{Adapter: "m/a", DataCentre: "here", Target: 800 * time.Millisecond}
	home := Pick(candidates, r, none)
	away := (home + 1) % len(candidates)
	var held Held
	held.Take([]string{"m/a", "m/b"})
	held.Take([]string{"m/b"})
	if !held.Near("m/a") || held.Near("m/b") {
		t.Fatalf("it remembers %+v", held)
	}
	candidates[away].Residence = Near
	if got := Pick(candidates, r, none); got != away {
		t.Errorf("picked %d, want %d", got, away)
	}
	candidates[home].Residence = Resident
	if got := Pick(candidates, r, none); got != home {
		t.Errorf("with a holder picked %d, want %d", got, home)
	}
}

func TestWhatAServerDroppedIsForgottenInTime(t *testing.T) {
	var held Held
	for i := range maxDropped + 5 {
		held.Take([]string{string(rune(0x4e00 + i))})
	}
	if held.Near(string(rune(0x4e00))) || !held.Near(string(rune(0x4e00+maxDropped+3))) || len(held.dropped) != maxDropped {
		t.Errorf("it remembers %d", len(held.dropped))
	}
}
