package dispatch

import (
	"testing"
	"time"
)

func noJitter() float64 { return 0 }

func candidate(id string) Candidate {
	return Candidate{ID: id, DataCentre: "here", Batch: 48, Model: true, Residence: Resident}
}

func TestPick(t *testing.T) {
	request := Request{Adapter: "m/a", DataCentre: "here", Target: 800 * time.Millisecond}
	tests := []struct {
		name   string
		change func(first, second *Candidate)
		want   int
	}{
		{"equal servers", func(_, _ *Candidate) {}, 0},
		{"own data centre first", func(first, _ *Candidate) { first.DataCentre = "there" }, 1},
		{"adapter resident on the other", func(first, _ *Candidate) { first.Residence, first.LoadTime = Absent, 280*time.Millisecond }, 1},
		{"remote data centre before a load", func(first, second *Candidate) { first.Residence, second.DataCentre = Absent, "there" }, 1},
		{"short wait before a load", func(first, second *Candidate) {
			first.Residence, second.Delay = Absent, 200*time.Millisecond
		}, 1},
		{"load before a late answer", func(first, second *Candidate) {
			first.Residence, second.Delay = Absent, 900*time.Millisecond
		}, 0},
		{"outdated version in use", func(first, second *Candidate) { first.Residence, second.Residence = Stale, Absent }, 1},
		{"server already tried", func(first, _ *Candidate) { first.ID = "tried" }, 1},
		{"server with failures", func(first, _ *Candidate) { first.FailureShare = 0.4 }, 1},
		{"server in backoff", func(first, _ *Candidate) { first.InBackoff = true }, 1},
		{"server in backoff if there is no other", func(first, second *Candidate) { first.InBackoff, second.Model = true, false }, 0},
		{"silent server before one with a queue", func(first, second *Candidate) {
			first.Silent, second.Running, second.Delay = true, 60, 2*time.Second
		}, 1},
		{"silent server if there is no other", func(first, second *Candidate) { first.Silent, second.Model = true, false }, 0},
		{"full batch", func(first, _ *Candidate) { first.Running = 48 }, 1},
		{"full memory", func(first, _ *Candidate) { first.Tokens, first.MemoryTokens = 95, 100 }, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			candidates := []Candidate{candidate("one"), candidate("two")}
			test.change(&candidates[0], &candidates[1])
			r := request
			r.Tried = map[string]bool{"tried": true}
			if got := Pick(candidates, r, noJitter).Index; got != test.want {
				t.Errorf("picked %d, want %d", got, test.want)
			}
		})
	}
}

func TestPickWithoutServingCandidate(t *testing.T) {
	other := candidate("one")
	other.Model = false
	if got := Pick([]Candidate{other}, Request{}, noJitter).Index; got != -1 {
		t.Errorf("picked %d, want none", got)
	}
}

// Entries that know the same servers must send an adapter that no server holds
// to the same few servers: the store serves each adapter once, and each
// additional copy displaces another adapter.
func TestAbsentAdapterHasSameHomeOnAllEntries(t *testing.T) {
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
		first, second := forwards[Pick(forwards, r, noJitter).Index].ID, backwards[Pick(backwards, r, noJitter).Index].ID
		if first != second {
			t.Errorf("%s goes to %s or to %s depending on the order of candidates", adapter, first, second)
		}
		homes[first]++
	}
	if len(homes) < 3 {
		t.Errorf("eight adapters are spread over %v, want at least 3 servers", homes)
	}
}

func TestUnreachableServerBacksOff(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	h.Unreachable(now)
	if !h.InBackoff(now) || h.InBackoff(now.Add(initialBackoff)) {
		t.Error("after one failure the server should be in backoff for the initial backoff only")
	}
	for range 20 {
		h.Unreachable(now)
	}
	if !h.InBackoff(now.Add(maxBackoff-1)) || h.InBackoff(now.Add(maxBackoff)) {
		t.Error("after many failures the server should be in backoff for the maximum backoff")
	}
	h.Answered(time.Millisecond, 0)
	if h.InBackoff(now) {
		t.Error("the server answered and is still in backoff")
	}
}

func TestFailureShareFadesWithoutRequests(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	for range 10 {
		h.Failed(now)
	}
	before, after := h.FailureShare(now), h.FailureShare(now.Add(30*time.Second))
	if before < 0.5 || after > before/10 {
		t.Errorf("the failure share went from %.2f to %.2f in 30 s, want at least 0.5 and at most a tenth of it", before, after)
	}
}

// Status reads fail on every server alike because of what they request. Other
// requests must stay with the servers that hold their adapters and connections,
// while a server that is the only one to fail must still be avoided.
func TestFailuresOfAllServersAreDiscounted(t *testing.T) {
	place := func(shares ...float64) int {
		candidates := make([]Candidate, len(shares))
		for i, share := range shares {
			candidates[i] = candidate(string(rune('a' + i)))
			candidates[i].FailureShare = share
			if i > 0 {
				candidates[i].Residence, candidates[i].LoadTime = Absent, 280*time.Millisecond
			}
		}
		return Pick(candidates, Request{Adapter: "m/a", DataCentre: "here", Target: 500 * time.Millisecond}, noJitter).Index
	}
	if got := place(0.45, 0.33, 0.38, 0.41, 0.36); got != 0 {
		t.Errorf("with failures on all servers, server %d was picked instead of the holder", got)
	}
	if got := place(0.45, 0, 0.05, 0, 0.02); got == 0 {
		t.Error("the only failing server was picked")
	}
}

// An adapter is reloaded fastest on the server that dropped it last: on any
// other it has to be loaded from the store again.
func TestAdapterReturnsToServerThatDroppedIt(t *testing.T) {
	candidates := []Candidate{candidate("one"), candidate("two"), candidate("three")}
	for i := range candidates {
		candidates[i].Residence, candidates[i].LoadTime = Absent, 280*time.Millisecond
	}
	r := Request{Adapter: "m/a", DataCentre: "here", Target: 800 * time.Millisecond}
	home := Pick(candidates, r, noJitter).Index
	away := (home + 1) % len(candidates)
	var held Held
	held.Update([]string{"m/a", "m/b"})
	held.Update([]string{"m/b"})
	if !held.Recent("m/a") || held.Recent("m/b") {
		t.Fatalf("dropped adapters are %+v, want only m/a", held)
	}
	candidates[away].Residence = RecentlyHeld
	if got := Pick(candidates, r, noJitter).Index; got != away {
		t.Errorf("picked %d, want the server that dropped the adapter, %d", got, away)
	}
	candidates[home].Residence = Resident
	if got := Pick(candidates, r, noJitter).Index; got != home {
		t.Errorf("picked %d, want the holder %d", got, home)
	}
}

func TestDroppedAdaptersAreBounded(t *testing.T) {
	var held Held
	for i := range maxDropped + 5 {
		held.Update([]string{string(rune(0x4e00 + i))})
	}
	if held.Recent(string(rune(0x4e00))) || !held.Recent(string(rune(0x4e00+maxDropped+3))) || len(held.dropped) != maxDropped {
		t.Errorf("%d dropped adapters are remembered, want only the latest ones", len(held.dropped))
	}
}
