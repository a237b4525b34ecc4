package rendezvous

import (
	"fmt"
	"testing"
)

func best(key string, choices []string) string {
	found, highest := "", uint64(0)
	for _, choice := range choices {
		if w := Weight(key, choice); found == "" || w > highest {
			found, highest = choice, w
		}
	}
	return found
}

// A server is lost. Adapters assigned to other servers must not move, or every
// engine would have to load adapters again.
func TestLossMovesOnlyOwnKeys(t *testing.T) {
	choices := []string{"a", "b", "c", "d"}
	remaining := choices[:3]
	count := make(map[string]int)
	const keys = 4000
	for i := range keys {
		key := fmt.Sprint("adapter", i)
		before, after := best(key, choices), best(key, remaining)
		count[before]++
		if before != "d" && after != before {
			t.Fatalf("%s moved from %s to %s with the loss of d", key, before, after)
		}
	}
	for _, choice := range choices {
		if n := count[choice]; n < keys/len(choices)*9/10 || n > keys/len(choices)*11/10 {
			t.Errorf("%s has %d of %d keys, want about a quarter", choice, n, keys)
		}
	}
}

func TestWeightSeparatesKeyAndChoice(t *testing.T) {
	if Weight("ab", "c") == Weight("a", "bc") {
		t.Error("different pairs have the same weight")
	}
}
