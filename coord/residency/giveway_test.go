package residency

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a full queue that refuses whoever comes next, whoever filled it.
func TestWhoGivesWayInFullQueue(t *testing.T) {
	request := func(id string, rank int, team string, share int) Request {
		return Request{ID: id, Rank: rank, Team: team, Share: share, Prompt: 10, Tokens: 20, StartDeadline: start.Add(time.Hour)}
	}
	full := func() *Table {
		o := options()
		o.Batch, o.Queue = 1, 3
		table := New(o)
		table.Admit(request("running", 0, "a", 100), start)
		table.Admit(request("over", 1, "hot", 500), start)
		table.Admit(request("over, newer", 1, "hot", 500), start)
		table.Admit(request("within", 1, "a", 100), start)
		return table
	}
	expect(t, "of a team within its share", full().Admit(request("new", 1, "b", 90), start), "refuse over, newer gave_way")
	expect(t, "of a more urgent rank", full().Admit(request("new", 0, "hot", 500), start), "refuse over, newer gave_way")
	expect(t, "of the same team", full().Admit(request("new", 1, "hot", 500), start), "refuse new queue_full")
	expect(t, "of a less urgent rank", full().Admit(request("new", 2, "b", 50), start), "refuse new queue_full")
	long := request("new", 0, "b", 100)
	long.Prompt, long.Tokens = 5000, 6000
	actions := full().Admit(long, start)
	expect(t, "a long prompt of a more urgent rank", actions, "refuse over, newer gave_way")
	if got := *actions[0].(Refuse).To; got != (GaveWay{Rank: 1, Team: "hot", Share: 500, ByRank: true}) {
		t.Errorf("what gave way: %+v", got)
	}
}

// Guards against a request that was refused since its caller returned too soon, and that goes before those that waited.
func TestReturningCallerGoesBehind(t *testing.T) {
	table := New(options())
	table.Apply(heldReport(start, "m/a"), start)
	for i := range 4 {
		table.Admit(request(fmt.Sprint("running", i), "m/a"), start)
	}
	for i, id := range []string{"returned", "waited", "returned in time"} {
		r := request(id, "m/a")
		if i != 1 {
			r.BehindUntil = start.Add(time.Duration(2-i) * 10 * time.Second)
		}
		expect(t, id, table.Admit(r, start))
	}
	lower := request("lower", "m/a")
	lower.Rank = 1
	expect(t, "lower", table.Admit(lower, start))
	for i, want := range []string{"waited", "returned in time", "returned", "lower"} {
		// The second is no longer behind after its time; the first still is.
		expect(t, "next", table.Done(fmt.Sprint("running", i), start.Add(time.Duration(i+1)*time.Second)), "start "+want)
	}
}

// Guards against long prompts that are refused for being long: the largest tenth of a class is served at least half as
// often as its class.
func TestLargestTenthIsServed(t *testing.T) {
	t.Run("few places", func(t *testing.T) { playLargestTenth(t, 22, 1_000_000, true) })
	t.Run("few places without shares", func(t *testing.T) { playLargestTenth(t, 22, 1_000_000, false) })
	t.Run("little memory", func(t *testing.T) { playLargestTenth(t, 256, 24_000, true) })
}

// Guards against the same where no shares are told.
func TestLargestTenthIsServedWithoutShares(t *testing.T) { playLargestTenth(t, 256, 24_000, false) }

func playLargestTenth(t *testing.T, batch, memory int, shares bool) {
	t.Helper()
	t.Parallel()
	o := options()
	o.Batch, o.MemoryTokens, o.Queue = batch, memory, 8*batch
	classes := []class{
		{name: "usual", team: "a", perSec: 14, prompt: 800, tokens: 1200, run: 2 * time.Second, target: 500 * time.Millisecond, wait: 2 * time.Second},
		{name: "largest", team: "a", perSec: 1.6, prompt: 4000, tokens: 4400, run: 2 * time.Second, target: 500 * time.Millisecond, wait: 2 * time.Second},
	}
	for seed := range uint64(3) {
		l := load{options: o, rate: 60, classes: classes, length: 2 * time.Minute}
		if shares {
			e := newEntries(4, 0)
			l.arrive, l.started = e.arrive, e.started
		}
		got := l.play(seed)
		t.Logf("seed %d: largest %.3f, all %.3f", seed, got["largest"].part(), total(got).part())
		if got["largest"].part() < total(got).part()/2 {
			t.Errorf("seed %d: %.3f of the largest tenth were served, want half of %.3f", seed, got["largest"].part(), total(got).part())
		}
	}
}
