package residency

import (
	"cmp"
	"slices"
	"time"
)

// plan starts what can start and orders what the rest needs.
func (t *Table) plan(now time.Time) []Action {
	actions := t.replaceOutdated(now)
	t.noteLate(now)
	t.order(now)
	kept := t.waiting[:0]
	for _, r := range t.waiting {
		if now.After(r.Latest) {
			actions = append(actions, Refuse{ID: r.ID, Reason: ReasonLate})
			continue
		}
		if t.canRun(&r, now) && t.ready(&r, now) {
			actions = append(actions, t.start(&r, now))
			continue
		}
		kept = append(kept, r)
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
	wanted := t.wanted()
	for _, adapter := range byDemand(t.waiting, wanted) {
		actions = append(actions, t.provide(adapter, wanted, now)...)
	}
	return actions
}

// byDemand lists the adapters that are waited for, those that most requests
// wait for first: while the store is slow each load should serve as many as it
// can.
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

// order sorts what waits: by rank, then those that can still be in time, then
// as they came. A request that is late already loses less by another second
// than one that would become late.
func (t *Table) order(now time.Time) {
	slices.SortStableFunc(t.waiting, func(a, b Request) int {
		if d := cmp.Compare(a.Rank, b.Rank); d != 0 {
			return d
		}
		return boolOrder(t.tooLate(&a, now), t.tooLate(&b, now))
	})
}

func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// firstEvent is what an engine takes for the first event beside reading.
const firstEvent = 70 * time.Millisecond

// tooLate is true when a start now would miss the request's target.
func (t *Table) tooLate(r *Request, now time.Time) bool {
	if r.Target.IsZero() {
		return false
	}
	return now.Add(firstEvent + t.pace.cost(t.unread(r), 1)).After(r.Target)
}

// wanted counts the waiting requests by adapter.
func (t *Table) wanted() map[string]int {
	wanted := make(map[string]int, len(t.waiting))
	for _, r := range t.waiting {
		wanted[r.Adapter]++
	}
	return wanted
}

// canRun is true while the batch and the memory have room. A request that is
// larger than the memory is let through alone: the engine refuses it itself.
func (t *Table) canRun(r *Request, now time.Time) bool {
	if len(t.started) >= t.room(r, now) || now.Before(t.pace.opens()) {
		return false
	}
	return t.tokens+r.Tokens <= t.options.MemoryTokens || len(t.started) == 0
}

func (t *Table) ready(r *Request, now time.Time) bool {
	if r.Adapter == "" {
		return true
	}
	p := t.places[r.Adapter]
	return p != nil && t.startable(r.Adapter, p, now)
}

// startable is true when a request that starts now meets an acceptable version.
func (t *Table) startable(name string, p *place, now time.Time) bool {
	if p.version == absent || p.loading || p.unloading {
		return false
	}
	n := t.newest[name]
	return p.version >= n.version || now.Sub(n.at) < t.options.Grace
}

func (t *Table) start(r *Request, now time.Time) Action {
	share := t.share()
	alone := !t.reading()
	if alone {
		t.pace.busySince, t.pace.busyRead = now, 0
	}
	t.disturb()
	prompt := t.unread(r)
	t.started[r.ID] = &started{adapter: r.Adapter, prompt: prompt, tokens: r.Tokens, parts: r.Parts, at: now, alone: alone}
	t.pace.start(prompt, share, now)
	t.tokens += r.Tokens
	version := int64(0)
	if p := t.places[r.Adapter]; p != nil {
		p.pins++
		p.touch(now, 1)
		version = p.version
	}
	return Start{ID: r.ID, Version: version}
}

// provide brings an adapter closer to being held.
func (t *Table) provide(name string, wanted map[string]int, now time.Time) []Action {
	if p := t.places[name]; p != nil {
		return t.renew(name, p, wanted, now)
	}
	if !t.mayOrder(now) {
		return nil
	}
	if t.occupied() < t.options.Places {
		t.places[name] = &place{version: absent, loading: true, since: now, usedAt: now}
		return []Action{Load{Adapter: name, Version: t.newest[name].version}}
	}
	return t.makeRoom(wanted, now)
}

// renew orders again what was lost on the way, and replaces an outdated
// version that may not start any more.
func (t *Table) renew(name string, p *place, wanted map[string]int, now time.Time) []Action {
	if p.loading || p.unloading && now.Sub(p.since) < orderPatience {
		return nil
	}
	p.unloading = false
	if t.startable(name, p, now) || p.version != absent && !t.free(p) {
		return nil
	}
	// An adapter that is gone, and whose place stands for the requests that
	// started on it, needs a place at the engine as any other does.
	if p.version == absent && t.occupied() >= t.options.Places {
		return t.makeRoom(wanted, now)
	}
	p.loading, p.since = true, now
	return []Action{Load{Adapter: name, Version: t.newest[name].version}}
}

// occupied counts the places that the engine has filled or is about to fill.
func (t *Table) occupied() int {
	n := 0
	for _, p := range t.places {
		if p.version != absent || p.loading {
			n++
		}
	}
	return n
}

// replaceOutdated orders newer versions where no request is in the way: a
// replacement waits for the adapter's runs, and while it waits the engine takes
// no other order. Once the grace has passed nothing starts on the old version
// any more, so that its runs end.
func (t *Table) replaceOutdated(now time.Time) []Action {
	if !t.mayOrder(now) {
		return nil
	}
	for _, name := range t.sortedNames() {
		p, n := t.places[name], t.newest[name]
		if p.version == absent || p.version >= n.version || p.loading || p.unloading || !t.free(p) {
			continue
		}
		p.loading, p.since = true, now
		return []Action{Load{Adapter: name, Version: n.version}}
	}
	return nil
}

// mayOrder is false while the engine replaces a version, and shortly after it
// has refused an order: it would refuse others too.
func (t *Table) mayOrder(now time.Time) bool {
	if now.Before(t.refusedUntil) {
		return false
	}
	for _, p := range t.places {
		if p.loading && p.version != absent {
			return false
		}
	}
	return t.loadsUnderWay() < t.options.Loads
}

// makeRoom unloads the adapter whose recent use is worth least, if one is idle
// and no unload is under way already.
func (t *Table) makeRoom(wanted map[string]int, now time.Time) []Action {
	victim := ""
	for _, name := range t.sortedNames() {
		p := t.places[name]
		if p.unloading && now.Sub(p.since) < orderPatience {
			return nil
		}
		if !t.free(p) || p.loading || wanted[name] > 0 || p.version == absent {
			continue
		}
		if victim == "" || p.worth(now) < t.places[victim].worth(now) {
			victim = name
		}
	}
	if victim == "" {
		return nil
	}
	p := t.places[victim]
	p.unloading, p.since = true, now
	return []Action{Unload{Adapter: victim}}
}

// LoadBacklog is how many loads have to end before the one of an adapter that
// is asked for now can begin.
func (t *Table) LoadBacklog() int {
	backlog := t.loadsUnderWay()
	for name := range t.wanted() {
		if p := t.places[name]; name != "" && (p == nil || p.version == absent && !p.loading) {
			backlog++
		}
	}
	return backlog
}

func (t *Table) loadsUnderWay() int {
	n := 0
	for _, p := range t.places {
		if p.loading {
			n++
		}
	}
	return n
}
