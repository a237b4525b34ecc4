package modelplan

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Engines come up empty after a crash, a release or a loss of power. If all of
// them loaded the first model, requests for the others would find no engine at
// all any more.
func TestAnEmptyEngineLoadsWhatIsShort(t *testing.T) {
	tests := []struct {
		name   string
		models []Model
		want   string
	}{
		{"one model", []Model{{Name: "a", Demand: 1, Holders: 3}}, "a"},
		{"nobody holds any", []Model{{Name: "a"}, {Name: "b"}}, "a"},
		{"nothing is asked for and the first is there", []Model{{Name: "a", Holders: 1}, {Name: "b"}}, "b"},
		{"a rare one has no engine", []Model{{Name: "a", Demand: 0.9, Holders: 14}, {Name: "b", Demand: 0.1}}, "b"},
		{"the busy one is far shorter", []Model{{Name: "a", Demand: 0.99, Holders: 1}, {Name: "b", Demand: 0.01}}, "a"},
		{"by share", []Model{{Name: "a", Demand: 0.7, Holders: 7}, {Name: "b", Demand: 0.3, Holders: 2}}, "b"},
		{"a copy is near", []Model{{Name: "a", Demand: 0.7, Holders: 7, Near: true}, {Name: "b", Demand: 0.3, Holders: 2}}, "a"},
		{"a copy is near and nobody holds the other", []Model{{Name: "a", Demand: 0.7, Holders: 7, Near: true}, {Name: "b", Demand: 0.3}}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Next(test.models); got != test.want {
				t.Errorf("Next gave %q, want %q", got, test.want)
			}
		})
	}
}

// All engines lose their models at once. Filled one after the other they must
// end up about as the requests are shared out, with every model somewhere.
func TestEnginesFillUpByDemand(t *testing.T) {
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

func TestDemandFollowsRecentRequests(t *testing.T) {
	var d Demand
	now := time.Unix(1000, 0)
	names := []string{"a", "b"}
	if first, second := d.Share("a", names, now), d.Share("b", names, now); first != 1 || second != 0 {
		t.Errorf("without requests the shares are %v and %v, want all for the first", first, second)
	}
	for range 30 {
		d.Note("a", now)
	}
	for range 10 {
		d.Note("b", now)
		d.Note("other", now)
	}
	if got := d.Share("a", names, now); got != 0.75 {
		t.Errorf("the share is %v, want 0.75 of the two models", got)
	}
	later := now.Add(4 * demandHalfLife)
	for range 20 {
		d.Note("b", later)
	}
	if got := d.Share("b", names, later); got < 0.85 {
		t.Errorf("the share is %v, want that of the recent requests", got)
	}
}
