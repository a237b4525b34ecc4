package residency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/fairshare"
)

// entries simulates the entries that report the shares of teams, each from what it has
// started itself, delayed by lag.
type entries struct {
	uses    []*fairshare.Uses
	lag     time.Duration
	draw    *rand.Rand
	pending []pendingUse
	// joinAt is when the last entry starts; zero for from the beginning.
	joinAt time.Time
}

type pendingUse struct {
	entry  int
	team   string
	tokens int
	at     time.Time
}

func newEntries(n int, lag time.Duration) *entries {
	e := &entries{lag: lag, draw: rand.New(rand.NewPCG(9, 9))}
	for range n {
		e.uses = append(e.uses, fairshare.NewUses())
	}
	return e
}

func (e *entries) arrive(c *class, r *Request, now time.Time) {
	for len(e.pending) > 0 && !e.pending[0].at.After(now) {
		p := e.pending[0]
		e.pending = e.pending[1:]
		e.uses[p.entry].Record(p.team, p.tokens, p.at)
	}
	r.Share = e.uses[e.pick(now)].Share(c.team, now)
}

func (e *entries) started(c *class, tokens int, now time.Time) {
	e.pending = append(e.pending, pendingUse{e.pick(now), c.team, tokens, now.Add(e.lag)})
}

func (e *entries) pick(now time.Time) int {
	if now.Before(e.joinAt) {
		return e.draw.IntN(len(e.uses) - 1)
	}
	return e.draw.IntN(len(e.uses))
}

// teamLoad returns 16 teams, of which the first sends more than the others.
func teamLoad(perSec, firstPerSec float64) []class {
	classes := make([]class, 0, 16)
	for i := range 16 {
		c := class{name: fmt.Sprintf("team-%02d", i), team: fmt.Sprintf("team-%02d", i), perSec: perSec, prompt: 800, tokens: 1200, run: 2 * time.Second, target: time.Second, wait: 3 * time.Second}
		if i == 0 {
			c.perSec = firstPerSec
		}
		classes = append(classes, c)
	}
	return classes
}

// total returns what all classes together got.
func total(results map[string]*served) served {
	var all served
	for _, r := range results {
		all.arrived, all.started, all.refused = all.arrived+r.arrived, all.started+r.started, all.refused+r.refused
	}
	return all
}

func leastServed(results map[string]*served) float64 {
	least := 1.0
	for _, r := range results {
		least = min(least, r.part())
	}
	return least
}

// Guards against teams within their share that are refused because another team sends ten times its usual load: also by
// shares that are 3 s old, by an agent that restarts with an empty table, and where an entry starts in the middle.
func TestTeamsWithinTheirShareAreServed(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		entries   int
		lag       time.Duration
		restartAt time.Duration
		joinAt    time.Duration
	}{
		{name: "new shares", entries: 4},
		{name: "shares 3 s old", entries: 4, lag: 3 * time.Second},
		{name: "many entries", entries: 30},
		{name: "agent restarts", entries: 4, restartAt: 30 * time.Second},
		{name: "entry starts in the middle", entries: 4, joinAt: 30 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			o := options()
			// 38 places of 2 s bring 18.5 requests a second; 15 come from the others and 10 from the first team.
			o.Batch, o.MemoryTokens, o.Queue = 38, 1_000_000, 8*38
			for seed := range uint64(3) {
				e := newEntries(c.entries, c.lag)
				if c.joinAt > 0 {
					e.joinAt = start.Add(c.joinAt)
				}
				got := load{options: o, rate: 60, classes: teamLoad(1, 10), length: 2 * time.Minute, restartAt: c.restartAt, arrive: e.arrive, started: e.started}.play(seed)
				first, all := got["team-00"], total(got)
				delete(got, "team-00")
				least := leastServed(got)
				t.Logf("seed %d: first %.3f, others %.3f, the least of them %.3f, all %.3f", seed, first.part(), total(got).part(), least, all.part())
				if least < 0.95 {
					t.Errorf("seed %d: %.3f of the requests of a team within its share were served, want 0.95", seed, least)
				}
				if first.part() < all.part()/4 {
					t.Errorf("seed %d: %.3f of the first team were served, want a quarter of %.3f", seed, first.part(), all.part())
				}
			}
		})
	}
}

// Guards against teams of equal demand, all of them above what there is room for, of which some get little.
func TestTeamsAboveTheirShareGetEqualParts(t *testing.T) {
	t.Parallel()
	o := options()
	o.Batch, o.MemoryTokens, o.Queue = 46, 1_000_000, 8*46
	for seed := range uint64(3) {
		e := newEntries(4, 0)
		got := load{options: o, rate: 60, classes: teamLoad(3, 3), length: 60 * time.Second, arrive: e.arrive, started: e.started}.play(seed)
		all := total(got)
		least := leastServed(got)
		t.Logf("seed %d: least %.3f, all %.3f", seed, least, all.part())
		if least < all.part()/4 {
			t.Errorf("seed %d: a team got %.3f, want a quarter of %.3f", seed, least, all.part())
		}
	}
}
