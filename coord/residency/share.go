package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/fairshare"
)

// level returns how far the team of a request is above its share.
func (r *Request) level() int { return fairshare.Level(r.Share) }

// behind reports whether the request goes behind all others of its rank.
func (r *Request) behind(now time.Time) bool { return now.Before(r.BehindUntil) }

// compareClass orders requests of equal rank; it takes priority over their targets. A late
// request of a team within its share goes before requests in time of a team above its own
// share, which would otherwise delay it until its caller leaves.
func (r *Request) compareClass(other *Request, now time.Time) int {
	return cmp.Or(compareBool(r.behind(now), other.behind(now)), cmp.Compare(r.level(), other.level()))
}

// sameClass reports whether only targets, turns and arrival order two requests.
func (r *Request) sameClass(other *Request, now time.Time) bool {
	return r.Rank == other.Rank && r.compareClass(other, now) == 0
}

// GaveWay describes a request that gave way to another one, and why.
type GaveWay struct {
	// Rank, Team and Share, in percent, are those of the request that gave way.
	Rank  int
	Team  string
	Share int
	// ByRank is set if the other request is of a more urgent rank; otherwise the team of
	// this one is further above its share.
	ByRank bool
}

func (r *Request) standing() fairshare.Standing {
	return fairshare.Standing{Rank: r.Rank, Level: r.level()}
}

// givesWayTo returns the index of the waiting request that gives way to a new one; -1 if
// the new one itself is refused.
func (t *Table) givesWayTo(r *Request) int {
	last := -1
	for i := range t.waiting {
		w := &t.waiting[i]
		if last < 0 {
			last = i
			continue
		}
		if order := fairshare.CompareGivingWay(w.standing(), t.waiting[last].standing()); order > 0 || order == 0 && w.admitted > t.waiting[last].admitted {
			last = i
		}
	}
	if last < 0 || fairshare.CompareGivingWay(t.waiting[last].standing(), r.standing()) <= 0 {
		return -1
	}
	return last
}

// giveWay removes the waiting request with an index and returns its refusal in favour of
// another one.
func (t *Table) giveWay(i int, to *Request) Action {
	w := t.waiting[i]
	t.waiting = slices.Delete(t.waiting, i, i+1)
	return Refuse{ID: w.ID, Reason: ReasonGaveWay, To: &GaveWay{Rank: w.Rank, Team: w.Team, Share: w.Share, ByRank: to.Rank < w.Rank}}
}

// DelayWithinShare returns the delay for requests of teams within their shares, like
// Delay.
func (t *Table) DelayWithinShare(now time.Time) [Ranks]time.Duration { return t.delayUpTo(0, now) }

// OverShareWaits reports whether requests of teams above their shares wait.
func (t *Table) OverShareWaits() bool {
	return slices.ContainsFunc(t.waiting, func(r Request) bool { return r.Share > 0 && r.level() > 0 })
}

// advanceDueRank moves a request of the rank whose turn it is to the front: the first one
// for which there is enough memory. waiting must be sorted by rank.
func (t *Table) advanceDueRank(now time.Time) {
	t.waitingRanks, t.lastWaiting = t.waitingRanks[:0], 0
	for i := len(t.waiting) - 1; i >= 0 && t.lastWaiting == 0; i-- {
		if t.ready(&t.waiting[i], now) {
			t.lastWaiting = t.waiting[i].precedence()
		}
	}
	for i := range t.waiting {
		t.waiting[i].due = false
	}
	if n := len(t.waiting); n == 0 || t.waiting[0].Rank == t.waiting[n-1].Rank {
		t.ranks.Due(nil)
		return
	}
	for i := range t.waiting {
		if rank := t.waiting[i].Rank; !slices.Contains(t.waitingRanks, rank) && t.ready(&t.waiting[i], now) {
			t.waitingRanks = append(t.waitingRanks, rank)
		}
	}
	rank, due := t.ranks.Due(t.waitingRanks)
	if !due {
		return
	}
	for i := range t.waiting {
		r := t.waiting[i]
		if r.Rank != rank || t.lacksMemory(&r, now) || !t.ready(&r, now) {
			continue
		}
		r.due = true
		copy(t.waiting[1:i+1], t.waiting[:i])
		t.waiting[0] = r
		return
	}
}
