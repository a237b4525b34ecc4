package fairshare

import (
	"container/list"
	"time"
)

const (
	// toldWeight is the least weight of the newest share that an entry told of a team. Entries see few requests of a
	// team each, so single shares scatter; the mean over entries does not.
	toldWeight = 0.05
	// toldTime is the time after which what was told of a team is forgotten.
	toldTime = 2 * useHalfLife
)

// Told averages the shares that entries told of teams. The zero value is ready to use.
type Told struct {
	byTeam map[string]*list.Element
	// byAge holds the averages, the longest unchanged first.
	byAge list.List
}

type told struct {
	team  string
	share float64
	count float64
	at    time.Time
}

// Add adds a share that was told with a request, and returns the team's average. A share of 0 is not told.
func (a *Told) Add(team string, share int, now time.Time) int {
	if team == "" || share <= 0 {
		return 0
	}
	for e := a.byAge.Front(); e != nil && now.Sub(e.Value.(*told).at) > toldTime; e = a.byAge.Front() {
		delete(a.byTeam, a.byAge.Remove(e).(*told).team)
	}
	e := a.byTeam[team]
	if e == nil {
		if a.byTeam == nil {
			a.byTeam = make(map[string]*list.Element)
		}
		e = a.byAge.PushBack(&told{team: team})
		a.byTeam[team] = e
	}
	v := e.Value.(*told)
	v.count++
	v.share += max(1/v.count, toldWeight) * (float64(min(share, MaxShare)) - v.share)
	v.at = now
	a.byAge.MoveToBack(e)
	return max(int(v.share), 1)
}
