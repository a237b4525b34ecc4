package residency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// class is a stream of callers in a simulated load. Callers arrive at random with a mean rate.
type class struct {
	name   string
	rank   int
	team   string
	perSec float64
	prompt int
	tokens int
	run    time.Duration
	target time.Duration
	wait   time.Duration
}

type served struct{ arrived, started, refused int }

func (s served) part() float64 { return float64(s.started) / float64(max(s.arrived, 1)) }

// load plays classes of callers against one engine that reads prompts one after the other.
type load struct {
	options Options
	// rate is the reading rate of the engine in tokens per millisecond.
	rate    float64
	classes []class
	length  time.Duration
	// started is called at every start; nil for none.
	started func(c *class, tokens int, now time.Time)
	// restartAt is when the agent restarts with an empty table; zero for never.
	restartAt time.Duration
	// arrive lets a test choose what a request carries; nil for nothing.
	arrive func(c *class, r *Request, now time.Time)
}

func (l load) play(seed uint64) map[string]*served {
	draw := rand.New(rand.NewPCG(seed, 1))
	table := New(l.options)
	table.pacer.busyRate = l.rate
	table.Apply(heldReport(start, "m/a"), start)
	results := make(map[string]*served)
	next := make([]time.Time, len(l.classes))
	for i := range l.classes {
		results[l.classes[i].name] = &served{}
		next[i] = start
	}
	of, requests, first, ends := make(map[string]*class), make(map[string]Request), make(map[string]time.Time), make(map[string]time.Time)
	readUntil := start
	take := func(actions []Action, now time.Time) {
		for _, action := range actions {
			switch a := action.(type) {
			case Start:
				c, r := of[a.ID], requests[a.ID]
				results[c.name].started++
				if readUntil.Before(now) {
					readUntil = now
				}
				readUntil = readUntil.Add(time.Duration(float64(r.Prompt) / l.rate * float64(time.Millisecond)))
				first[a.ID], ends[a.ID] = readUntil, readUntil.Add(c.run)
				if l.started != nil {
					l.started(c, r.Tokens, now)
				}
			case Refuse:
				results[of[a.ID].name].refused++
			}
		}
	}
	n, restarted := 0, false
	const step = 5 * time.Millisecond
	for now := start; now.Before(start.Add(l.length)); now = now.Add(step) {
		if l.restartAt > 0 && !restarted && now.Sub(start) >= l.restartAt {
			restarted = true
			take(table.refuseAll(ReasonRestarted), now)
			table = New(l.options)
			table.pacer.busyRate = l.rate
			table.Apply(heldReport(now, "m/a"), now)
		}
		for _, id := range sortedKeys(first) {
			if !first[id].After(now) {
				delete(first, id)
				table.FirstEvent(id, now)
			}
		}
		for _, id := range sortedKeys(ends) {
			if !ends[id].After(now) {
				delete(ends, id)
				take(table.Done(id, now), now)
			}
		}
		for i := range l.classes {
			c := &l.classes[i]
			for !next[i].After(now) {
				next[i] = next[i].Add(time.Duration(draw.ExpFloat64() / c.perSec * float64(time.Second)))
				n++
				r := Request{
					ID: fmt.Sprintf("%06d", n), Adapter: "m/a", Rank: c.rank, Team: c.team, Prompt: c.prompt, Tokens: c.tokens,
					Target: now.Add(c.target), StartDeadline: now.Add(c.wait), MaxDelay: c.wait,
				}
				if l.arrive != nil {
					l.arrive(c, &r, now)
				}
				of[r.ID], requests[r.ID] = c, r
				results[c.name].arrived++
				take(table.Admit(r, now), now)
			}
		}
		take(table.Tick(now), now)
	}
	return results
}

func sortedKeys(m map[string]time.Time) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Guards against urgent requests with long prompts that are refused while shorter ones of the next rank are served. Two
// causes: a late request left places free for requests that could be in time, also for those of less urgent ranks; and
// one that did not fit into the memory was passed by smaller ones, which took what became free.
func TestUrgentRankWithLongPromptsIsServedFirst(t *testing.T) {
	t.Parallel()
	for name, limits := range map[string]struct{ batch, memory int }{"few places": {22, 1_000_000}, "little memory": {256, 70_000}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := options()
			o.Batch, o.MemoryTokens, o.Queue = limits.batch, limits.memory, 8*limits.batch
			classes := []class{
				{name: "urgent", rank: 0, perSec: 8, prompt: 3000, tokens: 3500, run: 2 * time.Second, target: 500 * time.Millisecond, wait: 2 * time.Second},
				{name: "next", rank: 1, perSec: 12, prompt: 1000, tokens: 1200, run: 2 * time.Second, target: 500 * time.Millisecond, wait: 2 * time.Second},
			}
			for seed := range uint64(5) {
				got := load{options: o, rate: 60, classes: classes, length: 60 * time.Second}.play(seed)
				t.Logf("seed %d: urgent %.3f of %+v, next %.3f of %+v", seed, got["urgent"].part(), *got["urgent"], got["next"].part(), *got["next"])
				// The urgent class alone needs less than the engine has.
				if got["urgent"].part() < 0.95 || got["urgent"].part() < got["next"].part() {
					t.Errorf("seed %d: %.3f of the urgent class and %.3f of the next were served, want 0.95 and more of the urgent, and no less than of the next", seed, got["urgent"].part(), got["next"].part())
				}
			}
		})
	}
}

// Guards against places that are kept from less urgent ranks although there was one for each urgent request: requests
// without a target, or that come late from another engine, count as late from the beginning.
func TestLateRequestsWithRoomReserveNothing(t *testing.T) {
	o := options()
	o.Batch = 12
	table := New(o)
	table.Apply(heldReport(start, "m/a"), start)
	for i := range 8 {
		late := request(fmt.Sprint("urgent", i), "m/a")
		late.Target = start
		table.Admit(late, start)
	}
	for i := range 4 {
		lower := request(fmt.Sprint("next", i), "m/a")
		lower.Rank, lower.Target = 1, start.Add(time.Hour)
		table.Admit(lower, start)
	}
	if table.Running() != o.Batch {
		t.Errorf("%d of 12 requests run in a batch of 12", table.Running())
	}
}

// Guards against ranks that get nothing while more urgent ones send more than there is room for, and against an order of
// ranks that does not hold. Where an eighth of the starts is more than a rank's part of the requests, the turns of ranks
// give it more than the rank before it, which is not checked.
func TestEachRankIsServed(t *testing.T) {
	t.Parallel()
	for name, perSec := range map[string][]float64{"all above": {20, 20, 20}, "most urgent above": {30, 4, 4}, "least urgent above": {6, 6, 60}, "two ranks": {20, 40}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := options()
			o.Batch, o.MemoryTokens, o.Queue = 32, 1_000_000, 8*32
			var classes []class
			for rank, rate := range perSec {
				classes = append(classes, class{name: fmt.Sprint("rank ", rank), rank: rank, perSec: rate, prompt: 800, tokens: 1200, run: 2 * time.Second, target: 500 * time.Millisecond, wait: 2 * time.Second})
			}
			for seed := range uint64(3) {
				got := load{options: o, rate: 60, classes: classes, length: 60 * time.Second}.play(seed)
				all := total(got).part()
				before := 1.0
				for _, c := range classes {
					part := got[c.name].part()
					t.Logf("seed %d: %s %.3f, all %.3f", seed, c.name, part, all)
					if part < all/4 {
						t.Errorf("seed %d: %.3f of %s were served, want a quarter of %.3f", seed, part, c.name, all)
					}
					if part > before && perSec[c.rank] >= 6 {
						t.Errorf("seed %d: %.3f of %s were served, and %.3f of the rank before it", seed, part, c.name, before)
					}
					before = part
				}
			}
		})
	}
}

// Guards against a late urgent request that leaves its place to one of a less urgent rank.
func TestLateRequestKeepsPlacesForItsOwnRankOnly(t *testing.T) {
	table := New(options())
	table.Apply(heldReport(start, "m/a"), start)
	for i := range 4 {
		expect(t, "running", table.Admit(request(fmt.Sprint("running", i), "m/a"), start), fmt.Sprint("start running", i))
	}
	late := request("urgent", "m/a")
	late.Target = start
	expect(t, "a late urgent request", table.Admit(late, start))
	inTime := request("next", "m/a")
	inTime.Rank, inTime.Target = 1, start.Add(time.Hour)
	expect(t, "one in time of the next rank", table.Admit(inTime, start))
	expect(t, "a free place", table.Done("running0", start.Add(10*time.Millisecond)), "start urgent")
	expect(t, "another one", table.Done("running1", start.Add(20*time.Millisecond)))
	expect(t, "two free places", table.Done("running2", start.Add(20*time.Millisecond)), "start next")
}
