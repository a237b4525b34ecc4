package dispatch

import (
	"testing"
	"time"
)

// Guards against a server that draws all requests between two of its reports, and
// against servers without a report that count as empty.
func TestReportedLoadCountsOwnSends(t *testing.T) {
	now := time.Unix(100, 0)
	for _, test := range []struct {
		name     string
		load     ReportedLoad
		inFlight int
		answered bool
		running  int
		source   LoadSource
	}{
		{"sent since the report", ReportedLoad{Running: 3, At: now, Sent: 2}, 2, true, 5, LoadReported},
		{"more in flight than reported", ReportedLoad{At: now}, 4, true, 4, LoadReported},
		{"old report", ReportedLoad{Running: 3, At: now.Add(-maxReportAge), Sent: 2}, 2, true, 2, LoadUnknown},
		{"never heard from", ReportedLoad{}, 1, false, 1, LoadUnknown},
		{"answers without a load", ReportedLoad{}, 1, true, 1, LoadOwn},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := candidate("one")
			c.SetReportedLoad(test.load, test.inFlight, test.answered, now)
			if c.Running != test.running || c.LoadSource != test.source {
				t.Errorf("%d requests run by source %d, want %d by %d", c.Running, c.LoadSource, test.running, test.source)
			}
		})
	}
}

// Guards against all entries choosing the server that they know least about.
func TestUnknownLoadIsFilledIn(t *testing.T) {
	draw := func() []Candidate {
		candidates := []Candidate{candidate("one"), candidate("two"), candidate("three")}
		for i, running := range []int{2, 6, 0} {
			candidates[i].Batch, candidates[i].Running, candidates[i].LoadSource = 8, running, LoadReported
		}
		candidates[2].Batch, candidates[2].LoadSource = 16, LoadUnknown
		return candidates
	}
	candidates := draw()
	if got := Pick(candidates, Request{DataCentre: "here"}, noJitter); got.Index != 0 || candidates[2].Running != 8 {
		t.Errorf("picked %d with %d requests filled in, want the least loaded one and half of the batch", got.Index, candidates[2].Running)
	}
	candidates = draw()
	candidates[2].Running = 12
	if fillLoads(candidates); candidates[2].Running != 12 {
		t.Errorf("%d requests are filled in, want the 12 in flight", candidates[2].Running)
	}
	// Where no server reports its load, one that has not answered yet is chosen as before.
	for _, source := range []LoadSource{LoadOwn, LoadUnknown} {
		candidates = draw()
		for i := range candidates[:2] {
			candidates[i].LoadSource = source
		}
		if fillLoads(candidates); candidates[2].Running != 0 {
			t.Errorf("%d requests are filled in without a report, want none", candidates[2].Running)
		}
	}
}

// Guards against a server that is never asked since all others that report are full: it would count as full itself.
func TestUnknownLoadLeavesAPlaceFree(t *testing.T) {
	candidates := []Candidate{candidate("full"), candidate("new")}
	candidates[0].Batch, candidates[0].Running, candidates[0].LoadSource, candidates[0].Connected = 8, 32, LoadReported, true
	candidates[1].Batch, candidates[1].LoadSource = 8, LoadUnknown
	if got := Pick(candidates, Request{DataCentre: "here"}, noJitter).Index; got != 1 {
		t.Errorf("picked %q beside a server that has not been asked", candidates[got].ID)
	}
}
