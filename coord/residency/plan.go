package residency

import (
	"cmp"
	"slices"
	"time"
)

// plan starts the requests that can start and orders the adapters that the
// others need.
func (t *Table) plan(now time.Time) []Action {
	actions := t.replaceOutdated(now)
	t.markLate(now)
	t.sortWaiting(now)
	kept := t.waiting[:0]
	last := t.lowestStartable(now)
	for _, r := range t.waiting {
		if now.After(r.StartDeadline) {
			actions = append(actions, Refuse{ID: r.ID, Reason: ReasonLate})
			continue
		}
		if r.precedence() <= last && t.canRun(&r, now) && t.ready(&r, now) && !t.holds(&r, now) {
			actions = append(actions, t.start(&r, now))
			t.ranks.Started(r.Rank, t.waitingRanks)
			continue
		}
		if t.options.Shares && t.lacksMemory(&r, now) {
			last = min(last, lowestOfRank(r.precedence()))
		}
		kept = append(kept, r)
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
	wanted := t.wanted()
	for _, adapter := range byDemand(t.waiting, wanted) {
		actions = append(actions, t.ensureLoaded(adapter, wanted, now)...)
	}
	return actions
}

// byDemand lists the adapters that requests wait for, most requested first:
// while the store is slow, each load should serve as many requests as possible.
func byDemand(waiting []Request, wanted map[string]int) []string {
	var adapters []string
	for i := range waiting {
		if name := waiting[i].Adapter; name != "" && !slices.Contains(adapters, name) {
			adapters = append(adapters, name)
		}
	}
	slices.SortStableFunc(adapters, func(a, b string) int { return cmp.Compare(wanted[b], wanted[a]) })
	return adapters
}

// sortWaiting sorts the waiting requests by rank, then those whose callers did not
// return too soon first, then by how far their teams are above their shares, then those
// that can still meet their target first, then by the turns of their teams, then by
// arrival. A request that is already late loses less by waiting another second than one
// that would become late. A team with many requests delays one with few by no more than
// its turns.
func (t *Table) sortWaiting(now time.Time) {
	t.countTurns(now)
	slices.SortStableFunc(t.waiting, func(a, b Request) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.compareClass(&b, now), compareBool(t.missesTarget(&a, now), t.missesTarget(&b, now)), cmp.Compare(a.turn, b.turn))
	})
	t.useSlack(now)
	if t.options.Shares {
		t.advanceDueRank(now)
	}
}

// countTurns numbers the waiting requests of each team among those of the same rank
// that can, or cannot, meet their targets.
func (t *Table) countTurns(now time.Time) {
	if t.turns == nil {
		t.turns = make(map[turnClass]int)
	}
	clear(t.turns)
	for i := range t.waiting {
		r := &t.waiting[i]
		c := turnClass{r.Team, r.Rank, t.missesTarget(r, now)}
		r.turn = t.turns[c]
		t.turns[c]++
	}
}

// turnClass identifies the requests that are numbered together.
type turnClass struct {
	team string
	rank int
	late bool
}

// useSlack moves the first late request before those of its class that are in time
// if all of these still meet their targets behind it. Without that, a late request
// would wait until no other arrives any more.
func (t *Table) useSlack(now time.Time) {
	for first := 0; first < len(t.waiting); {
		class, late := t.waiting[first], first
		for late < len(t.waiting) && t.waiting[late].sameClass(&class, now) && !t.missesTarget(&t.waiting[late], now) {
			late++
		}
		if late < len(t.waiting) && t.waiting[late].sameClass(&class, now) && t.mayGoLast(t.waiting[first:late], &t.waiting[late], now) {
			moved := t.waiting[late]
			copy(t.waiting[first+1:late+1], t.waiting[first:late])
			t.waiting[first] = moved
		}
		for first < len(t.waiting) && t.waiting[first].sameClass(&class, now) {
			first++
		}
	}
}

// mayGoLast reports whether the requests, started one after the other in this order,
// certainly meet their targets behind another one. That takes a free place for each:
// when others become free is only estimated.
func (t *Table) mayGoLast(requests []Request, before *Request, now time.Time) bool {
	if len(t.started)+1+len(requests) > t.options.Batch {
		return false
	}
	share := t.share()
	at := now.Add(t.pacer.cost(before.Prompt, share))
	for i := range requests {
		if t.missesTarget(&requests[i], at) {
			return false
		}
		at = at.Add(t.pacer.cost(requests[i].Prompt, share))
	}
	return true
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// firstEventLatency is the time an engine takes to the first event, apart from
// reading the prompt.
const firstEventLatency = 70 * time.Millisecond

// missesTarget reports whether a start now would miss the request's target.
func (t *Table) missesTarget(r *Request, now time.Time) bool {
	if r.Target.IsZero() {
		return false
	}
	return now.Add(firstEventLatency + t.pacer.cost(r.Prompt, 1)).After(r.Target)
}

// wanted counts the waiting requests by adapter; nil when none waits.
func (t *Table) wanted() map[string]int {
	if len(t.waiting) == 0 {
		return nil
	}
	wanted := make(map[string]int, len(t.waiting))
	for _, r := range t.waiting {
		wanted[r.Adapter]++
	}
	return wanted
}

// canRun reports whether the pace, the batch and the memory have room for the
// request. A request that is larger than the memory may start alone: the engine
// itself refuses it.
func (t *Table) canRun(r *Request, now time.Time) bool {
	if len(t.started) >= t.batchLimit(r, now) || now.Before(t.pacer.nextStart()) {
		return false
	}
	return t.tokens+r.Tokens <= t.options.MemoryTokens || len(t.started) == 0
}

func (t *Table) ready(r *Request, now time.Time) bool {
	if r.Adapter == "" {
		return true
	}
	a := t.adapters[r.Adapter]
	return a != nil && t.startable(r.Adapter, a, now)
}

// startable reports whether a request that starts now runs on an acceptable
// version.
func (t *Table) startable(name string, a *adapterState, now time.Time) bool {
	if a.version == absent || a.loading || a.unloading {
		return false
	}
	n := t.newest[name]
	return MayStart(a.version, n.version, now.Sub(n.at), t.options.Grace)
}

// MayStart reports whether a request may start on a version of its adapter, given the
// newest version, how long ago that was announced, and the grace period.
func MayStart(version, newest int64, age, grace time.Duration) bool {
	return version >= newest || age < grace
}

func (t *Table) start(r *Request, now time.Time) Action {
	share := t.share()
	alone := !t.reading()
	if alone {
		t.pacer.busySince, t.pacer.busyRead = now, 0
	}
	t.clearAlone()
	t.turnover.advance(len(t.started), now)
	t.started[r.ID] = &startedRequest{adapter: r.Adapter, prompt: r.Prompt, tokens: r.Tokens, gap: r.Gap, at: now, alone: alone}
	t.pacer.start(r.Prompt, share, t.paceFactor(now), now)
	t.tokens += r.Tokens
	version := int64(0)
	if a := t.adapters[r.Adapter]; a != nil {
		a.pins++
		a.touch(now, 1)
		version = a.version
	}
	return Start{ID: r.ID, Version: version}
}

// ensureLoaded returns the next order that is needed for the engine to hold an
// adapter, if any can be given now.
func (t *Table) ensureLoaded(name string, wanted map[string]int, now time.Time) []Action {
	if a := t.adapters[name]; a != nil {
		return t.reload(name, a, wanted, now)
	}
	if !t.mayOrder(now) {
		return nil
	}
	if t.occupied() < t.options.MaxAdapters {
		t.adapters[name] = &adapterState{version: absent, loading: true, since: now, usedAt: now}
		return []Action{Load{Adapter: name, Version: t.newest[name].version}}
	}
	return t.evict(wanted, now)
}

// reload repeats orders that were lost, and replaces an outdated version on
// which requests may no longer start.
func (t *Table) reload(name string, a *adapterState, wanted map[string]int, now time.Time) []Action {
	if a.loading || a.unloading && now.Sub(a.since) < orderTimeout {
		return nil
	}
	a.unloading = false
	if t.startable(name, a, now) || a.version != absent && !t.idle(a) {
		return nil
	}
	// An adapter that the engine has dropped, but that is tracked for the requests
	// that started on it, needs free capacity at the engine like any other load.
	if a.version == absent && t.occupied() >= t.options.MaxAdapters {
		return t.evict(wanted, now)
	}
	a.loading, a.since = true, now
	return []Action{Load{Adapter: name, Version: t.newest[name].version}}
}

// occupied counts the adapters that the engine holds or is about to hold.
func (t *Table) occupied() int {
	n := 0
	for _, a := range t.adapters {
		if a.version != absent || a.loading {
			n++
		}
	}
	return n
}

// replaceOutdated orders a newer version of an adapter once no request uses the
// old one: a replacement waits for the adapter's running requests, and the
// engine accepts no other order while it waits. After the grace period no
// request starts on the old version, so its running requests come to an end.
func (t *Table) replaceOutdated(now time.Time) []Action {
	if !t.mayOrder(now) {
		return nil
	}
	for _, name := range t.sortedNames() {
		a, n := t.adapters[name], t.newest[name]
		if a.version == absent || a.version >= n.version || a.loading || a.unloading || !t.idle(a) {
			continue
		}
		a.loading, a.since = true, now
		return []Action{Load{Adapter: name, Version: n.version}}
	}
	return nil
}

// mayOrder reports whether an order may be given. The engine refuses all orders
// while it replaces a version, and most likely for a short time after it
// refused one.
func (t *Table) mayOrder(now time.Time) bool {
	if now.Before(t.refusedUntil) {
		return false
	}
	for _, a := range t.adapters {
		if a.loading && a.version != absent {
			return false
		}
	}
	return t.pendingLoads() < t.options.Loads
}

// evict unloads the idle adapter with the lowest decayed use, if there is one
// and no unload is in progress.
func (t *Table) evict(wanted map[string]int, now time.Time) []Action {
	victim := ""
	for _, name := range t.sortedNames() {
		a := t.adapters[name]
		if a.unloading && now.Sub(a.since) < orderTimeout {
			return nil
		}
		if !t.evictable(name, a, wanted) {
			continue
		}
		if victim == "" || a.decayedUse(now) < t.adapters[victim].decayedUse(now) {
			victim = name
		}
	}
	if victim == "" {
		return nil
	}
	a := t.adapters[victim]
	a.unloading, a.since = true, now
	return []Action{Unload{Adapter: victim}}
}

// evictable reports whether an adapter can be unloaded for another one.
func (t *Table) evictable(name string, a *adapterState, wanted map[string]int) bool {
	return t.idle(a) && !a.loading && wanted[name] == 0 && a.version != absent
}

// LoadBacklog returns how many loads have to end before the load of an adapter
// that is requested now can begin.
func (t *Table) LoadBacklog() int {
	return t.pendingLoads() + t.absentWanted()
}

func (t *Table) pendingLoads() int {
	n := 0
	for _, a := range t.adapters {
		if a.loading {
			n++
		}
	}
	return n
}
