package modelplan

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Engines are empty after a crash, a release or a power failure. If all of them
// loaded the first model, requests for the other models would find no engine.
func TestNext(t *testing.T) {
	tests := []struct {
		name   string
		models []Model
		want   string
	}{
		{"one model", []Model{{Name: "a", Demand: 1, Holders: 3}}, "a"},
		{"no model has holders", []Model{{Name: "a"}, {Name: "b"}}, "a"},
		{"no requests and the first has a holder", []Model{{Name: "a", Holders: 1}, {Name: "b"}}, "b"},
		{"a rarely used model has no engine", []Model{{Name: "a", Demand: 0.9, Holders: 14}, {Name: "b", Demand: 0.1}}, "b"},
		{"a far busier model has one engine", []Model{{Name: "a", Demand: 0.99, Holders: 1}, {Name: "b", Demand: 0.01}}, "a"},
		{"by share", []Model{{Name: "a", Demand: 0.7, Holders: 7}, {Name: "b", Demand: 0.3, Holders: 2}}, "b"},
		{"one has a copy on disk", []Model{{Name: "a", Demand: 0.7, Holders: 7, OnDisk: true}, {Name: "b", Demand: 0.3, Holders: 2}}, "a"},
		{"one has a copy on disk and the other has no holders", []Model{{Name: "a", Demand: 0.7, Holders: 7, OnDisk: true}, {Name: "b", Demand: 0.3}}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Next(test.models); got != test.want {
				t.Errorf("Next returned %q, want %q", got, test.want)
			}
		})
	}
}

// All engines lose their models at once. Loaded one after the other, they must end
// up approximately in proportion to the requests, with every model on at least one
// engine.
func TestEnginesFollowDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := rapid.SliceOfN(rapid.Float64Range(0.01, 1), 2, 5).Draw(t, "shares")
		total := 0.0
		for _, s := range shares {
			total += s
		}
		models := make([]Model, len(shares))
		for i, s := range shares {
			models[i] = Model{Name: string(rune('a' + i)), Demand: s / total}
		}
		const engines = 40
		for range engines {
			next := Next(models)
			for i := range models {
				if models[i].Name == next {
					models[i].Holders++
				}
			}
		}
		for _, m := range models {
			if m.Holders == 0 || float64(m.Holders) < engines*m.Demand*0.7-1 {
				t.Fatalf("%s with a share of %.2f got %d of %d engines", m.Name, m.Demand, m.Holders, engines)
			}
		}
	})
}

func TestDemandWeightsRecentRequests(t *testing.T) {
	var d Demand
	now := time.Unix(1000, 0)
	names := []string{"a", "b"}
	if first, second := d.Share("a", names, now), d.Share("b", names, now); first != 1 || second != 0 {
		t.Errorf("without requests the shares are %v and %v, want all for the first", first, second)
	}
	for range 30 {
		d.Record("a", now)
	}
	for range 10 {
		d.Record("b", now)
		d.Record("other", now)
	}
	if got := d.Share("a", names, now); got != 0.75 {
		t.Errorf("the share is %v, want 0.75 of the two models", got)
	}
	later := now.Add(4 * demandHalfLife)
	for range 20 {
		d.Record("b", later)
	}
	if got := d.Share("b", names, later); got < 0.85 {
		t.Errorf("the share is %v, want that of the recent requests", got)
	}
}
