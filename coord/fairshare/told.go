package fairshare

import (
	"container/list"
	"time"
)

const (
	// minToldWeight is the least weight of a new share in a team's average. Each entry
	// sees few requests of a team, so single shares vary much.
	minToldWeight = 0.05
	// toldTimeout is the time without a new share after which a team's average is
	// forgotten.
	toldTimeout = 2 * useHalfLife
)

// Told averages the shares of teams that entries report. The zero value is ready to use.
type Told struct {
	byTeam map[string]*list.Element
	// byAge holds the averages, the least recently changed first.
	byAge list.List
}

type told struct {
	team  string
	share float64
	count float64
	at    time.Time
}

// Add adds a share in percent that was reported with a request, and returns the team's
// average. It returns 0 without a team or a share.
func (a *Told) Add(team string, share int, now time.Time) int {
	if team == "" || share <= 0 {
		return 0
	}
	for e := a.byAge.Front(); e != nil && now.Sub(e.Value.(*told).at) > toldTimeout; e = a.byAge.Front() {
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
	v.share += max(1/v.count, minToldWeight) * (float64(min(share, MaxShare)) - v.share)
	v.at = now
	a.byAge.MoveToBack(e)
	return max(int(v.share), 1)
}
