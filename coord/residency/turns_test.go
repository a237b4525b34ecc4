package residency

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a team with few requests that waits behind all those of a team with many.
func TestTeamsTakeTurns(t *testing.T) {
	start := time.Unix(1000, 0)
	table := New(Options{MaxAdapters: 2, Batch: 1, MemoryTokens: 1000, Loads: 1, Queue: 64})
	now := start
	var order []string
	admit := func(id, team string) {
		for _, a := range table.Admit(Request{ID: id, Team: team, Prompt: 1, Tokens: 1, StartDeadline: start.Add(time.Hour)}, now) {
			if s, ok := a.(Start); ok {
				order = append(order, s.ID)
			}
		}
	}
	for i := range 30 {
		admit(fmt.Sprint("hot-", i), "hot")
	}
	admit("calm-0", "calm")
	admit("calm-1", "calm")
	for len(order) < 32 && now.Before(start.Add(time.Minute)) {
		now = now.Add(100 * time.Millisecond)
		table.FirstEvent(order[len(order)-1], now)
		for _, a := range append(table.Done(order[len(order)-1], now), table.Tick(now)...) {
			if s, ok := a.(Start); ok {
				order = append(order, s.ID)
			}
		}
	}
	at := make(map[string]int)
	for i, id := range order {
		at[id] = i
	}
	if len(order) != 32 || at["calm-0"] > 3 || at["calm-1"] > 5 {
		t.Errorf("the requests of the calm team started at places %d and %d of %d", at["calm-0"], at["calm-1"], len(order))
	}
	for i := range 29 {
		if at[fmt.Sprint("hot-", i)] > at[fmt.Sprint("hot-", i+1)] {
			t.Errorf("request %d of a team started behind its request %d", i, i+1)
		}
	}
}
