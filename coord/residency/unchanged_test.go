package residency

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// anyRank stands for ranks drawn for each request.
const anyRank = -1

// decisionsDigest returns a digest of all decisions on a drawn sequence of events of requests
// without shares: adapters, prompts, targets, patience and conditions vary.
func decisionsDigest(seed uint64, rank int, teams []string) uint64 {
	draw := rand.New(rand.NewPCG(seed, 2))
	o := Options{MaxAdapters: 3, Batch: 12, MemoryTokens: 30_000, Loads: 2, Queue: 40, Grace: 2 * time.Second}
	table := New(o)
	table.pacer.busyRate = 20
	held := map[string]int64{}
	digest := fnv.New64a()
	var running []string
	take := func(now time.Time, actions []Action) {
		fmt.Fprintln(digest, now.UnixNano(), describe(actions))
		for _, action := range actions {
			switch a := action.(type) {
			case Start:
				running = append(running, a.ID)
			case Load:
				held[a.Adapter] = a.Version
			case Unload:
				delete(held, a.Adapter)
				table.Unloaded(a.Adapter, now)
			}
		}
	}
	for i := range 4000 {
		now := start.Add(time.Duration(i) * 7 * time.Millisecond)
		if draw.Float64() < 0.4+0.3*float64(i/500%2) {
			r := Request{
				ID: fmt.Sprint(i), Rank: rank, Team: teams[draw.IntN(len(teams))], Adapter: fmt.Sprint("m/", draw.IntN(5)), Prompt: 50 + draw.IntN(1500),
				StartDeadline: now.Add(time.Duration(300+draw.IntN(2000)) * time.Millisecond), Target: now.Add(time.Duration(draw.IntN(1000)) * time.Millisecond),
			}
			if rank == anyRank {
				r.Rank = draw.IntN(3)
			}
			r.Tokens = r.Prompt + 100 + draw.IntN(2000)
			if draw.IntN(2) == 0 {
				r.MaxDelay = time.Duration(draw.IntN(1500)) * time.Millisecond
			}
			r.OnlyIfHeld = draw.IntN(5) == 0
			take(now, table.Admit(r, now))
		}
		if len(running) > 0 && draw.Float64() < 0.35 {
			at := draw.IntN(len(running))
			table.FirstEvent(running[at], now)
			take(now, table.Done(running[at], now))
			running = slices.Delete(running, at, at+1)
		}
		if i%10 == 0 {
			report := Report{Held: held, Running: map[string]bool{}, RequestedAt: now}
			for _, id := range running {
				report.Running[id] = true
			}
			take(now, table.Apply(report, now))
		}
		take(now, table.Tick(now))
		fmt.Fprintln(digest, table.Delay(now), table.Waiting())
	}
	return digest.Sum64()
}

// Guards against decisions that change where no teams are configured. The digests are those of d1ea191, before ranks and
// shares decided who gives way.
func TestDecisionsWithoutSharesAreUnchanged(t *testing.T) {
	for _, c := range []struct {
		seed  uint64
		rank  int
		teams []string
		want  uint64
	}{
		{1, 0, []string{""}, 0x568b2727d83d36d1},
		{2, 0, []string{""}, 0x75af8ad7d8eba5ec},
		{3, 2, []string{""}, 0xd0be7e50a8c01222},
		{4, 0, []string{"a", "b", "c"}, 0x6ab16d8aadcfbf55},
		{5, anyRank, []string{""}, 0xaa388843b1a3af14},
		{6, anyRank, []string{"a", "b", "c"}, 0x4d6004e4d0f8e9b0},
	} {
		if got := decisionsDigest(c.seed, c.rank, c.teams); got != c.want {
			t.Errorf("seed %d, rank %d, teams %v: digest %#x, want %#x", c.seed, c.rank, c.teams, got, c.want)
		}
	}
}
