package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// Guards against shares that do not follow what teams use, and against counts that lose their precision or their bound
// over a long run.
func TestSharesFollowUse(t *testing.T) {
	u := NewUses()
	now := start
	for i := range 200_000 {
		now = now.Add(20 * time.Millisecond)
		u.Record(fmt.Sprint("team-", i%10), 1000, now)
		if i%2 == 0 {
			u.Record("hot", 1000, now)
		}
	}
	// Of 15 requests of the same size, 5 are of one of 11 teams: 367 percent of an equal part, and 73 for each other.
	if hot, calm := u.Share("hot", now), u.Share("team-3", now); hot < 350 || hot > 380 || calm < 65 || calm > 80 {
		t.Errorf("shares %d and %d percent, want 367 and 73", hot, calm)
	}
	if got := u.Share("new", now); got < 1 || got > 20 {
		t.Errorf("share %d percent of a team that used nothing, want close to 0 and told", got)
	}
	if u.Share("", now) != 0 {
		t.Error("a share was told without a team")
	}
	later := now.Add(idleTimeout + time.Second)
	if got := u.Share("hot", later); got != 100 || u.byAge.Len() != 0 || len(u.byTeam) != 0 {
		t.Errorf("share %d percent after all were idle, with %d teams kept; want 100 and none", got, u.byAge.Len())
	}
	u.Record("hot", 1000, later)
	if got := u.Share("hot", later); got != 100 {
		t.Errorf("share %d percent of the only team, want 100", got)
	}
}

// Guards against an entry that has just started and derives shares from its first
// requests only.
func TestFewRequestsTellLittle(t *testing.T) {
	u := NewUses()
	u.Record("a", 1000, start)
	if a, b := u.Share("a", start), u.Share("b", start); Level(a) > 2 || Level(b) != 0 {
		t.Errorf("shares %d and %d percent after one request", a, b)
	}
}

// Guards against an order within a rank that does not rise with the share, or that separates teams of
// equal use.
func TestLevelsRiseWithShares(t *testing.T) {
	if Level(0) != 0 || Level(withinShare) != 0 || Level(math.MaxInt) != Level(MaxShare) {
		t.Error("no share, a share within and one beyond all bounds")
	}
	for share := 1; share < MaxShare; share++ {
		if Level(share+1) < Level(share) || Level(share+1) > Level(share)+1 {
			t.Fatalf("levels %d and %d of shares %d and %d", Level(share), Level(share+1), share, share+1)
		}
	}
}

// Guards against a restarted agent that orders by chance, and against averages of teams that are gone.
func TestToldAverages(t *testing.T) {
	var a Told
	if got := a.Add("hot", 400, start); got != 400 {
		t.Errorf("%d by the first share, want 400", got)
	}
	for i := range 200 {
		a.Add("calm", 20+160*(i%2), start)
	}
	if got := a.Add("calm", 180, start); got < 80 || got > 120 {
		t.Errorf("average %d of 20 and 180", got)
	}
	a.Add("other", 100, start.Add(toldTimeout+time.Second))
	if len(a.byTeam) != 1 || a.byAge.Len() != 1 {
		t.Errorf("%d teams kept, want 1", len(a.byTeam))
	}
	if a.Add("hot", 0, start) != 0 || a.Add("", 100, start) != 0 {
		t.Error("an average without a share or a team")
	}
}

// Guards against a rank that gets less than one start in eight while it waits.
func TestRankGetsTurns(t *testing.T) {
	var turns RankTurns
	waiting := []int{0, 1, 2}
	starts := make(map[int]int)
	for i := range 8000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		turns.Arrived(i%3, now)
		rank, due := turns.Due(waiting)
		if !due {
			rank = 0
		}
		starts[rank]++
		turns.Started(rank, waiting)
	}
	if starts[1] < 1000 || starts[2] < 1000 || starts[0] < 5000 {
		t.Errorf("starts by rank %v, want an eighth for each of the lower ones and the rest for the first", starts)
	}
	turns.Due([]int{0})
	if _, due := turns.Due(waiting); due {
		t.Error("a rank kept its turn although it did not wait")
	}
}

// Guards against callers that are sent away for longer than they can wait, or come back all at once.
func TestRetryAfter(t *testing.T) {
	const least = 250 * time.Millisecond
	for _, c := range []struct {
		delay, patience, left time.Duration
		random                float64
		want                  time.Duration
	}{
		{5 * time.Second, 2 * time.Second, time.Minute, 0, 3 * time.Second},
		{5 * time.Second, 2 * time.Second, time.Minute, 1, 4500 * time.Millisecond},
		{5 * time.Second, 2 * time.Second, 6 * time.Second, 0.5, 2 * time.Second},
		{time.Second, 2 * time.Second, time.Minute, 0, least},
		{time.Second, -time.Second, time.Minute, 0, time.Second},
		{time.Second, 0, -time.Second, 0, 0},
	} {
		if got := RetryAfter(c.delay, c.patience, least, c.left, c.random); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// Guards against callers that go behind others after the wait of their refusal has ended,
// and against unbounded memory.
func TestReturns(t *testing.T) {
	r := NewReturns()
	until := start.Add(time.Second)
	r.Refused(1, until)
	r.Refused(2, until)
	if got := r.Arrived(1, start); !got.Equal(until) {
		t.Errorf("a caller that returned too soon goes behind until %v, want %v", got, until)
	}
	if !r.Arrived(1, start).IsZero() || !r.Arrived(3, start).IsZero() || !r.Arrived(2, until).IsZero() || !r.Empty() {
		t.Error("a caller that was not refused, or returned in time, goes behind")
	}
	for key := range uint64(2 * maxReturns) {
		r.Refused(key, until)
	}
	if r.byAge.Len() != maxReturns || len(r.byKey) != maxReturns || r.Arrived(0, start) != (time.Time{}) || r.Arrived(2*maxReturns-1, start).IsZero() {
		t.Errorf("%d refusals are remembered, want the latest %d", r.byAge.Len(), maxReturns)
	}
}

// BenchmarkShare measures what an entry does for a request: its share, and the use when it starts.
func BenchmarkShare(b *testing.B) {
	u := NewUses()
	teams := make([]string, 3000)
	for i := range teams {
		teams[i] = fmt.Sprint("team-", i)
		u.Record(teams[i], 1000, start)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Millisecond)
		team := teams[i%len(teams)]
		_ = u.Share(team, now)
		u.Record(team, 1000, now)
	}
}
