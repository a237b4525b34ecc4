package experiment

import (
	"testing"
	"time"
)

func plainLoads() []PlainLoad {
	return []PlainLoad{
		{Name: "30x20", Entries: 30, Servers: 20, Utilisation: 0.8, Length: 12 * time.Second},
		{Name: "30x6", Entries: 30, Servers: 6, Utilisation: 0.8, Length: 24 * time.Second},
		{Name: "300x50", Entries: 300, Servers: 50, Utilisation: 0.8, Length: 12 * time.Second},
		{Name: "30x20_u0.5", Entries: 30, Servers: 20, Utilisation: 0.5, Length: 12 * time.Second},
		{Name: "30x20_u0.95", Entries: 30, Servers: 20, Utilisation: 0.95, Length: 12 * time.Second},
		{Name: "30x20_false", Entries: 30, Servers: 20, Utilisation: 0.8, Length: 12 * time.Second, FalseReports: true},
	}
}

// BenchmarkPlain compares policies at plain servers on the same drawn sequences.
func BenchmarkPlain(b *testing.B) {
	for _, load := range plainLoads() {
		for _, view := range []PlainView{
			{Name: "larger"}, {Name: "in-force", InForce: true}, {Name: "filled", SinceReport: true, Fill: true}, {Name: "filled-larger", Fill: true},
			{Name: "aged-2s", SinceReport: true, Fill: true, HalfLife: 2 * time.Second}, {Name: "aged-500ms", SinceReport: true, Fill: true, HalfLife: 500 * time.Millisecond},
			{Name: "aged-200ms", SinceReport: true, Fill: true, HalfLife: 200 * time.Millisecond}, {Name: "aged-50ms", SinceReport: true, Fill: true, HalfLife: 50 * time.Millisecond},
		} {
			for _, p := range []Balancing{LowestEstimate(), DrawnByCapacity(3, 1)} {
				b.Run(load.Name+"/"+view.Name+"/"+p.Name, func(b *testing.B) {
					for b.Loop() {
						reportPlain(b, RunPlain(load, view, p, seed))
					}
				})
			}
		}
	}
}

func reportPlain(b *testing.B, r PlainResult) {
	asked := float64(max(r.Asked, 1))
	b.ReportMetric(100*float64(r.Late)/asked, "late-%")
	b.ReportMetric(100*float64(r.BesideIdle)/asked, "beside-idle-%")
	b.ReportMetric(r.Unevenness, "unevenness")
	b.ReportMetric(100*r.Overrun, "overrun-%")
	b.ReportMetric(100*r.Idle, "idle-%")
	b.ReportMetric(float64(r.P99.Milliseconds()), "p99-ms")
}

// Guards against plain servers that are overrun in turns while others idle: nothing
// there declines a request, and an entry hears of a server only by answers to itself.
func TestFewRequestsWaitBesideIdlePlainServers(t *testing.T) {
	for _, load := range plainLoads() {
		if load.Utilisation != 0.8 {
			continue
		}
		t.Run(load.Name, func(t *testing.T) {
			t.Parallel()
			var before, now PlainResult
			for seed := range uint64(plainSeeds) {
				before.add(RunPlain(load, PlainView{Name: "larger"}, LowestEstimate(), seed+1))
				now.add(RunPlain(load, PlainView{Name: "in-force", InForce: true}, LowestEstimate(), seed+1))
			}
			t.Logf("larger of both %+v", before)
			t.Logf("in force       %+v", now)
			if now.BesideIdle >= before.BesideIdle || now.Unevenness >= before.Unevenness {
				t.Errorf("%d requests wait beside idle servers at an unevenness of %.2f, want less than %d and %.2f", now.BesideIdle, now.Unevenness/plainSeeds, before.BesideIdle, before.Unevenness/plainSeeds)
			}
			if float64(now.BesideIdle) > unservedBesideIdle*float64(now.Asked) {
				t.Errorf("%d of %d requests were not served in time although an idle server could have, want 1 in 100", now.BesideIdle, now.Asked)
			}
		})
	}
}

// plainSeeds is the number of drawn sequences of a short test.
const plainSeeds = 2

// add adds the counts of another run, and its means.
func (r *PlainResult) add(o PlainResult) {
	r.Asked, r.Late, r.BesideIdle = r.Asked+o.Asked, r.Late+o.Late, r.BesideIdle+o.BesideIdle
	r.Unevenness, r.Overrun, r.Idle, r.P99 = r.Unevenness+o.Unevenness, r.Overrun+o.Overrun, r.Idle+o.Idle, r.P99+o.P99
}
