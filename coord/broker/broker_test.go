package broker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drive simulates a store with the given knee under constant load and returns the mean
// limit over the second half of the loads.
func drive(w *Window, knee int, base time.Duration, loads int) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	now, sum := time.Unix(0, 0), 0.0
	for i := range loads {
		n := w.Limit()
		took := time.Duration(float64(base) * max(1, float64(n)/float64(knee)) * (1 + 0.05*random.Float64()))
		now = now.Add(took / time.Duration(n))
		w.Observe(took, n, now)
		if i >= loads/2 {
			sum += w.limit
		}
	}
	return sum / float64(loads-loads/2)
}

// The store's knee is not configured. A wrong estimate would leave the store idle while
// callers wait, or slow down every load.
func TestWindowFindsKnee(t *testing.T) {
	for _, knee := range []int{1, 2, 8, 24} {
		w := NewWindow(WindowOptions{})
		mean := drive(w, knee, 250*time.Millisecond, 4000)
		if mean < 0.7*float64(knee) || mean > 1.5*float64(knee)+1 {
			t.Errorf("knee %d: mean limit %.1f, want 0.7 to 1.5 times the knee, plus 1", knee, mean)
		}
	}
}

// A store that becomes permanently slower must not keep the window closed.
func TestWindowAdaptsToSlowerStore(t *testing.T) {
	w := NewWindow(WindowOptions{})
	drive(w, 8, 250*time.Millisecond, 2000)
	if mean := drive(w, 8, 2*time.Second, 4000); mean < 5 {
		t.Errorf("mean limit %.1f for a slower store with a knee of 8, want at least 5", mean)
	}
}

func key(agent string, order uint64) Key { return Key{Agent: agent, Incarnation: 1, Order: order} }

// An agent that crashes while it has permits must not keep the others from loading.
func TestPermitsOfDeadAgentExpire(t *testing.T) {
	b := New(Options{Window: WindowOptions{Initial: 1, Max: 1}})
	now := time.Unix(0, 0)
	b.Ask(Ask{Key: key("dead", 1)}, now)
	if got := b.Ask(Ask{Key: key("live", 1)}, now); len(got) != 0 {
		t.Fatalf("granted beyond the limit: %v, want none", got)
	}
	now = now.Add(defaultLease - time.Second)
	b.Ask(Ask{Key: key("live", 1)}, now)
	got := b.Tick(now.Add(time.Second))
	if len(got) != 1 || got[0].Key != key("live", 1) || b.Expired() != 1 {
		t.Fatalf("granted after the permit's lease: %v, want one permit for the live agent", got)
	}
}

func TestHighestDemandIsGrantedFirstWithoutStarvation(t *testing.T) {
	b := New(Options{Window: WindowOptions{Initial: 1, Max: 1}})
	now := time.Unix(0, 0)
	b.Ask(Ask{Key: key("a", 1), Demand: 1}, now)
	b.Ask(Ask{Key: key("b", 1), Demand: 1}, now)
	b.Ask(Ask{Key: key("c", 1), Demand: 5}, now)
	if got := b.Loaded(key("a", 1), time.Second, now); got[0].Key != key("c", 1) {
		t.Fatalf("granted %v, want the load of c, which has the highest demand", got)
	}
	now = now.Add(10 * time.Second)
	b.Ask(Ask{Key: key("d", 1), Demand: 9}, now)
	if got := b.Loaded(key("c", 1), time.Second, now); got[0].Key != key("b", 1) {
		t.Fatalf("granted %v, want the load of b, the oldest request", got)
	}
}

// TestSyncKeepsPermitsWithinLimit sends random reports of agents that crash, restart
// and repeat reports. More loads in flight than the limit would slow down every load at
// the site.
func TestSyncKeepsPermitsWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 2
		b := New(Options{Window: WindowOptions{Initial: limit, Max: limit}})
		now := time.Unix(0, 0)
		agents := []string{"a", "b", "c"}
		reports := map[string]*Report{}
		for _, name := range agents {
			reports[name] = &Report{Agent: name, Incarnation: 1}
		}
		order := uint64(0)
		held := func() int {
			n := 0
			for _, r := range reports {
				n += len(r.Held)
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"want": func(t *rapid.T) {
				r := reports[rapid.SampledFrom(agents).Draw(t, "agent")]
				order++
				r.Wanted = append(r.Wanted, Want{Order: order, Demand: 1})
			},
			"sync": func(t *rapid.T) {
				r := reports[rapid.SampledFrom(agents).Draw(t, "agent")]
				grants, others := b.Sync(*r, now)
				for _, g := range others {
					if g.Agent == r.Agent {
						t.Fatalf("a grant of %s was returned as another agent's", r.Agent)
					}
				}
				r.Finished = nil
				for _, g := range grants {
					r.Wanted = slices.DeleteFunc(r.Wanted, func(w Want) bool { return w.Order == g.Order })
					r.Held = append(r.Held, g.Order)
				}
				if held() > limit {
					t.Fatalf("%d loads in flight with a limit of %d", held(), limit)
				}
			},
			"finish": func(t *rapid.T) {
				r := reports[rapid.SampledFrom(agents).Draw(t, "agent")]
				if len(r.Held) > 0 {
					r.Finished = append(r.Finished, Finished{Order: r.Held[0], Took: time.Second})
					r.Held = r.Held[1:]
				}
			},
			"restart": func(t *rapid.T) {
				r := reports[rapid.SampledFrom(agents).Draw(t, "agent")]
				*r = Report{Agent: r.Agent, Incarnation: r.Incarnation + 1}
				b.Sync(*r, now)
			},
		})
		for _, r := range reports {
			*r = Report{Agent: r.Agent, Incarnation: r.Incarnation}
			b.Sync(*r, now)
		}
		if b.InFlight() != 0 || b.Queued() != 0 {
			t.Fatalf("%d permits and %d requests are left of agents that want nothing", b.InFlight(), b.Queued())
		}
	})
}

// BenchmarkSync measures one report of an agent while every agent of a site waits for a
// load.
func BenchmarkSync(b *testing.B) {
	for _, agents := range []int{22, 300} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			broker := New(Options{})
			now := time.Unix(0, 0)
			reports := make([]Report, agents)
			for i := range reports {
				reports[i] = Report{Agent: fmt.Sprintf("agent-%d", i), Incarnation: 1, Wanted: []Want{{Order: 1, Demand: 1}}}
				broker.Sync(reports[i], now)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				broker.Sync(reports[i%agents], now)
			}
		})
	}
}
