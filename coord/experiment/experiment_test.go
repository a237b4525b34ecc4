package experiment

import (
	"fmt"
	"testing"
	"time"
)

func short(s Scenario) Scenario {
	s.Length, s.At = 75*time.Second, 65*time.Second
	return s
}

func TestRunIsDeterministic(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			first := Run(Deployments()[0], short(s), Production(), 7)
			second := Run(Deployments()[0], short(s), Production(), 7)
			if first != second {
				t.Errorf("results differ: %+v and %+v", first, second)
			}
		})
	}
}

func TestStoreSlowsBeyondKnee(t *testing.T) {
	for _, c := range []struct {
		loads int
		want  time.Duration
	}{{1, storeLoadTime}, {storeKnee, storeLoadTime}, {2 * storeKnee, 2 * storeLoadTime}} {
		w := &clock{}
		s := newStore(w)
		var last time.Duration
		for range c.loads {
			s.begin(func() { last = w.at })
		}
		w.run(time.Minute)
		if last < c.want || last > c.want+time.Microsecond {
			t.Errorf("%d loads took %s, want %s", c.loads, last, c.want)
		}
	}
}

const seed = 1

// BenchmarkPolicy runs all compared policies and the bound on the same arrivals.
func BenchmarkPolicy(b *testing.B) {
	for _, d := range Deployments() {
		for _, s := range Scenarios() {
			compare(b, d.Name+"/"+s.Name, d, s, seed)
		}
	}
}

// BenchmarkPrefix compares the production policy with one that ignores prefix
// caches, and with one that also receives cache events, on prompts that share
// prefixes.
func BenchmarkPrefix(b *testing.B) {
	for _, d := range Deployments() {
		d.Conversations = 4
		for _, s := range Scenarios() {
			for seed := uint64(1); seed <= 4; seed++ {
				comparePrefix(b, fmt.Sprintf("%s/%s/seed=%d", d.Name, s.Name, seed), d, s, seed)
			}
		}
	}
}

func comparePrefix(b *testing.B, name string, d Deployment, s Scenario, seed uint64) {
	for _, p := range []Policy{WithoutPrefix(), Production(), WithEvents()} {
		b.Run(name+"/"+p.Name, func(b *testing.B) {
			for b.Loop() {
				r := Run(d, s, p, seed)
				report(b, r)
				b.ReportMetric(100*r.PrefixHits, "prefix-hits-%")
			}
		})
	}
}

// BenchmarkAssumptions varies the parameters that the users' documentation does not
// specify, under steady load at the first deployment.
func BenchmarkAssumptions(b *testing.B) {
	steady := Scenarios()[0]
	for _, v := range []struct {
		name   string
		change func(*Deployment)
	}{
		{"skew=1.0", func(d *Deployment) { d.Skew = 1 }},
		{"skew=1.4", func(d *Deployment) { d.Skew = 1.4 }},
		{"rate=20", func(d *Deployment) { d.Rate = 20 }},
		{"rate=60", func(d *Deployment) { d.Rate = 60 }},
		{"slots=4", func(d *Deployment) { d.Slots = 4 }},
		{"slots=16", func(d *Deployment) { d.Slots = 16 }},
		{"packing=0", func(d *Deployment) { d.Packing = 0 }},
		{"packing=0.5", func(d *Deployment) { d.Packing = 0.5 }},
		{"packing=1", func(d *Deployment) { d.Packing = 1 }},
	} {
		d := Deployments()[0]
		v.change(&d)
		compare(b, v.name, d, steady, seed)
	}
	for other := uint64(2); other <= 4; other++ {
		compare(b, fmt.Sprintf("seed=%d", other), Deployments()[0], steady, other)
	}
}

func compare(b *testing.B, name string, d Deployment, s Scenario, seed uint64) {
	for _, p := range []Policy{Naive(), ResidentFirst(), Production()} {
		b.Run(name+"/"+p.Name, func(b *testing.B) {
			for b.Loop() {
				report(b, Run(d, s, p, seed))
			}
		})
	}
	b.Run(name+"/bound", func(b *testing.B) {
		for b.Loop() {
			report(b, Bound(d, s, seed))
		}
	})
}

func report(b *testing.B, r Result) {
	b.ReportMetric(float64(r.StallP50.Milliseconds()), "stall-p50-ms")
	b.ReportMetric(float64(r.StallP95.Milliseconds()), "stall-p95-ms")
	b.ReportMetric(float64(r.StallP99.Milliseconds()), "stall-p99-ms")
	b.ReportMetric(100*r.Stalled, "stalled-%")
	b.ReportMetric(float64(r.StartP99.Milliseconds()), "start-p99-ms")
	b.ReportMetric(100*r.Occupancy, "occupancy-%")
	b.ReportMetric(r.LoadsPerRequest, "loads/request")
	b.ReportMetric(r.ServersInUse, "servers")
	b.ReportMetric(r.Fairness, "jain")
	b.ReportMetric(float64(r.Failed), "failed")
}

// The requests of one adapter exceed an engine's batch. Without copies on other
// engines its callers would queue while other engines are idle.
func TestAdapterHotterThanOneBatchIsCopied(t *testing.T) {
	d := Deployments()[0]
	d.Skew = 1.6
	w := newWorld(d, Scenarios()[0], Production(), seed)
	w.start()
	w.run(2 * time.Minute)
	hottest, copies := fmt.Sprintf("adapter-%d", w.popularity.order[0]), 0
	for _, server := range w.servers {
		for _, ref := range server.table.Report(w.now()).Resident {
			if ref.Adapter == hottest {
				copies++
			}
		}
	}
	if r := w.meter.result(w); copies < 2 || r.StartP99 > 2*storeLoadTime {
		t.Errorf("%d copies, p99 of the wait to start %s; too few copies or too long a wait", copies, r.StartP99)
	}
}
