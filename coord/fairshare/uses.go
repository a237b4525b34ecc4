// Package fairshare decides which requests go first, which give way and when refused
// callers retry while there is too little room.
//
// Within a rank, teams get room by max-min fairness in the tokens that were started
// recently: the team that used least goes first. An entry counts what it started for
// each team (Uses) and sends the agent a team's share with each request, since an agent
// sees few requests of a team. The agent only averages these shares (Told).
//
// All types are pure state machines; none is safe for concurrent use.
package fairshare

import (
	"container/list"
	"math"
	"time"
)

const (
	// useHalfLife is the half-life of what a team used, so that a burst is forgotten
	// within the time of a few answers.
	useHalfLife = 4 * time.Second
	// idleTimeout is the time after its last use from which a team no longer counts. It
	// is long because one of many entries sees a team rarely, and would otherwise divide
	// among the few teams that it has just seen.
	idleTimeout = 15 * useHalfLife
	// rebaseInterval is the time after which the weights are scaled down, so that a
	// float64 keeps its precision.
	rebaseInterval = 30 * useHalfLife
	// priorRequests is the number of requests of mean size that each team is assumed to
	// have used. Without it, the shares of an entry that has just started, or sees few
	// requests of a team, would depend on chance.
	priorRequests = 1.0
	// MaxShare is the greatest share, in percent.
	MaxShare = 10_000
)

// Uses counts the tokens that teams used recently. Older uses are not decayed; instead,
// the weights of new ones grow with time, so that a request changes only the use of its
// team and the sum.
type Uses struct {
	byTeam map[string]*list.Element
	// byAge holds the uses, the longest idle team first. sum is the weighted number of
	// their tokens.
	byAge list.List
	sum   float64
	// requests is the weighted number of requests in sum.
	requests float64
	// base is the time at which a weight is 1.
	base time.Time
}

type use struct {
	team     string
	tokens   float64
	requests float64
	at       time.Time
}

// NewUses returns counts without uses.
func NewUses() *Uses { return &Uses{byTeam: make(map[string]*list.Element)} }

// Record counts a started request of a team with its tokens.
func (u *Uses) Record(team string, tokens int, now time.Time) {
	if team == "" || tokens <= 0 {
		return
	}
	weight := u.weight(now)
	u.forgetIdle(now)
	e := u.byTeam[team]
	if e == nil {
		e = u.byAge.PushBack(&use{team: team})
		u.byTeam[team] = e
	}
	v := e.Value.(*use)
	v.tokens += weight * float64(tokens)
	v.requests += weight
	v.at = now
	u.sum += weight * float64(tokens)
	u.requests += weight
	u.byAge.MoveToBack(e)
}

// weight returns the weight of a use now, relative to one at base.
func (u *Uses) weight(now time.Time) float64 {
	if u.byAge.Len() == 0 {
		u.base, u.sum, u.requests = now, 0, 0
	}
	if now.Sub(u.base) > rebaseInterval {
		scale := math.Exp2(-float64(now.Sub(u.base)) / float64(useHalfLife))
		for e := u.byAge.Front(); e != nil; e = e.Next() {
			e.Value.(*use).tokens *= scale
			e.Value.(*use).requests *= scale
		}
		u.base, u.sum, u.requests = now, u.sum*scale, u.requests*scale
	}
	return math.Exp2(float64(now.Sub(u.base)) / float64(useHalfLife))
}

func (u *Uses) forgetIdle(now time.Time) {
	for e := u.byAge.Front(); e != nil && now.Sub(e.Value.(*use).at) > idleTimeout; e = u.byAge.Front() {
		v := u.byAge.Remove(e).(*use)
		delete(u.byTeam, v.team)
		u.sum, u.requests = u.sum-v.tokens, u.requests-v.requests
	}
}

// Share returns a team's use as a percentage of an equal part of the use of all teams, 1
// to MaxShare; 0 without a team.
func (u *Uses) Share(team string, now time.Time) int {
	if team == "" {
		return 0
	}
	u.forgetIdle(now)
	if u.byAge.Len() == 0 || u.requests <= 0 {
		return 100
	}
	own, teams := 0.0, u.byAge.Len()
	if e := u.byTeam[team]; e != nil {
		own = e.Value.(*use).tokens
	} else {
		teams++
	}
	prior := priorRequests * u.sum / u.requests
	share := 100 * (own + prior) / (u.sum/float64(teams) + prior)
	return int(min(max(math.Round(share), 1), MaxShare))
}
