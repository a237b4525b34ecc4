package credit

import (
	"math"
	"time"
)

// Pools holds the credit that entries have given away, by name, at the entry that hosts them. It is not safe for
// concurrent use.
type Pools struct {
	pools map[string]*pool
	// lastExchange is when an entry last exchanged credit here.
	lastExchange time.Time
}

// pool is the credit of one name that no entry holds.
type pool struct {
	level float64
	// denied is what was asked for in vain or refused lately, in units, at deniedAt.
	denied   float64
	deniedAt time.Time
	// deniedExchanges counts the exchanges of late that asked for more than there was.
	deniedExchanges float64
}

const (
	// abandonedAfter is the time after which pools that no entry asks are emptied: entries keep theirs
	// elsewhere by then.
	abandonedAfter = 2 * time.Second
	// deniedHalfLife is the half-life of what was asked for in vain: callers come back, or give up.
	deniedHalfLife = time.Second
	// pausePerAsk is the pause before the next exchange, for each that asked in vain of late: it bounds the
	// exchanges of all entries together.
	pausePerAsk = 4 * time.Millisecond
	// fullPart is the part of its capacity at which a pool counts as full.
	fullPart = 0.95
)

// NewPools returns empty pools.
func NewPools() *Pools { return &Pools{pools: make(map[string]*pool)} }

// Exchange takes what an entry gives and grants what it asks for, as far as the pools have it. limits returns
// the limit of a name.
func (p *Pools) Exchange(transfers []Transfer, limits func(name string) Limit, now time.Time) []Grant {
	if now.Sub(p.lastExchange) > abandonedAfter {
		clear(p.pools)
	}
	p.lastExchange = now
	var grants []Grant
	for _, t := range transfers {
		limit := limits(t.Name)
		if !limit.Limited() || !(t.Give >= 0 && t.Ask >= 0 && t.Least >= 0 && t.Refused >= 0) {
			continue
		}
		q := p.pools[t.Name]
		if q == nil {
			q = &pool{deniedAt: now}
			p.pools[t.Name] = q
		}
		grants = append(grants, q.exchange(t, limit, now))
	}
	return grants
}

func (q *pool) exchange(t Transfer, limit Limit, now time.Time) Grant {
	top := limit.stock()
	q.level = min(q.level+t.Give, top)
	q.decayDenied(now)
	g := Grant{Name: t.Name}
	switch {
	case t.Ask <= 0:
	case t.Least <= q.level:
		g.Units = max(min(t.Ask, q.level), 0)
	case t.Least > top*fullPart && q.level >= top*fullPart:
		// No pool will ever hold as much: it is paid back before anything else is granted.
		g.Units = t.Least
	}
	q.level -= g.Units
	q.denied += t.Refused
	if missing := t.Least - g.Units; missing > 0 {
		wait := max(min(missing, top)-q.level+q.denied, 0) / limit.Rate
		g.AfterMillis = int64(math.Ceil(1000 * min(wait, maxWait.Seconds())))
		q.deniedExchanges++
		g.PauseMillis = int64(q.deniedExchanges * float64(pausePerAsk.Milliseconds()))
	}
	g.Full = q.level >= top*fullPart
	return g
}

// maxWait bounds the time after which callers are told to come back.
const maxWait = 10 * time.Second

func (q *pool) decayDenied(now time.Time) {
	decay := math.Exp2(-now.Sub(q.deniedAt).Seconds() / deniedHalfLife.Seconds())
	q.denied, q.deniedExchanges = q.denied*decay, q.deniedExchanges*decay
	q.deniedAt = now
}

// Wanted lists the names, of those given, whose pools take credit. limits returns the limit of a name.
func (p *Pools) Wanted(names []string, limits func(name string) Limit) []string {
	var wanted []string
	for _, name := range names {
		limit := limits(name)
		if q := p.pools[name]; limit.Limited() && (q == nil || q.level < limit.stock()*fullPart) {
			wanted = append(wanted, name)
		}
	}
	return wanted
}

// Level returns the credit of one name that is here.
func (p *Pools) Level(name string) float64 {
	if q := p.pools[name]; q != nil {
		return q.level
	}
	return 0
}
