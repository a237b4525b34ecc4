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
			{Name: "larger"}, {Name: "since", SinceReport: true}, {Name: "in-force", InForce: true},
			{Name: "aged-500ms", SinceReport: true, Fill: true, HalfLife: 500 * time.Millisecond},
		} {
			for _, p := range []Balancing{LowestEstimate(), DrawnByWeight(2), DrawnByCapacity(3), Subset(2)} {
				b.Run(load.Name+"/"+view.Name+"/"+p.Name, func(b *testing.B) {
					for b.Loop() {
						var sum PlainResult
						for seed := range uint64(plainSeeds) {
							sum.add(RunPlain(load, view, p, seed+1))
						}
						reportPlain(b, sum)
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
	b.ReportMetric(r.Unevenness/plainSeeds, "unevenness")
	b.ReportMetric(100*r.Overrun/plainSeeds, "overrun-%")
	b.ReportMetric(100*r.Idle/plainSeeds, "idle-%")
	b.ReportMetric(float64(r.P99.Milliseconds())/plainSeeds, "p99-ms")
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
