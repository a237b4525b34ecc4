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
		unknown  bool
	}{
		{"sent since the report", ReportedLoad{Running: 3, At: now, Sent: 2}, 2, true, 5, false},
		{"more in flight than reported", ReportedLoad{At: now}, 4, true, 4, false},
		{"old report", ReportedLoad{Running: 3, At: now.Add(-maxReportAge), Sent: 2}, 2, true, 2, true},
		{"never heard from", ReportedLoad{}, 1, false, 1, true},
		{"answers without a load", ReportedLoad{}, 1, true, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := candidate("one")
			c.SetReportedLoad(test.load, test.inFlight, test.answered, now)
			if c.Running != test.running || c.LoadUnknown != test.unknown {
				t.Errorf("%d requests run, unknown: %v; want %d, %v", c.Running, c.LoadUnknown, test.running, test.unknown)
			}
		})
	}
}

// Guards against all entries choosing the server that they know least about.
func TestUnknownLoadIsFilledIn(t *testing.T) {
	draw := func() []Candidate {
		candidates := []Candidate{candidate("one"), candidate("two"), candidate("three")}
		for i, running := range []int{2, 6, 0} {
			candidates[i].Batch, candidates[i].Running = 8, running
		}
		candidates[2].Batch, candidates[2].LoadUnknown = 16, true
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
	candidates = draw()
	for i := range candidates {
		candidates[i].LoadUnknown = true
	}
	if fillLoads(candidates); candidates[2].Running != 0 {
		t.Errorf("%d requests are filled in without a known load, want none", candidates[2].Running)
	}
}
