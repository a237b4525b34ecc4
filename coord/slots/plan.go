package slots

import (
	"cmp"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// plan moves every waiting adapter as far as slots and permits allow, in order
// of arrival.
func (t *Table) plan(now time.Time) []Action {
	actions := t.useGranted(now)
	room := t.obtainable()
	for _, w := range t.wants {
		if w.order != 0 {
			continue
		}
		if _, present := t.slots[w.ref]; present {
			continue
		}
		if room <= 0 {
			break
		}
		room--
		w.order = t.newOrder()
		actions = append(actions, w.ask())
	}
	return append(actions, t.preventStarvation(now)...)
}

// useGranted starts permitted loads in free slots, and frees idle slots for
// those that remain. A permit without a slot goes back, so that another server
// can use the weight store meanwhile.
func (t *Table) useGranted(now time.Time) []Action {
	var actions []Action
	unloading := t.count(phaseUnloading)
	for _, w := range t.wants {
		if !w.granted {
			continue
		}
		if len(t.slots) < t.options.Slots {
			t.slots[w.ref] = &slot{phase: phaseLoading, order: w.order, ordered: now}
			actions = append(actions, Load{Order: w.order, Ref: w.ref})
			w.order, w.granted = 0, false
			continue
		}
		if unloading > 0 {
			unloading--
			continue
		}
		victim, ok := t.victim(now)
		if !ok {
			actions = append(actions, Return{Order: w.order})
			w.order, w.granted = 0, false
			continue
		}
		actions = append(actions, t.unload(victim, t.slots[victim], now))
	}
	return actions
}

// obtainable counts slots that are free, about to be free, or idle, beyond
// those that asked permits will use.
func (t *Table) obtainable() int {
	n := t.options.Slots - len(t.slots) + t.count(phaseUnloading)
	for ref, s := range t.slots {
		if t.evictable(ref, s) {
			n++
		}
	}
	for _, w := range t.wants {
		if w.order != 0 {
			n--
		}
	}
	return n
}

func (t *Table) evictable(ref catalogue.Ref, s *slot) bool {
	return s.idle() && (s.closed || t.wantOf(ref) == nil)
}

func (t *Table) unload(ref catalogue.Ref, s *slot, now time.Time) Action {
	s.phase, s.order, s.ordered = phaseUnloading, t.newOrder(), now
	return Unload{Order: s.order, Ref: ref}
}

// preventStarvation closes a slot for a while. Popular adapters that always
// have a request running would hold every slot for ever, and a request for
// another adapter would time out with its caller none the wiser; so after
// Patience the least used pinned slot takes no new requests until it has been
// reused. A wait for a permit is no reason: taking slots then only adds loads
// to a store that has too many.
func (t *Table) preventStarvation(now time.Time) []Action {
	starving := t.starving(now) && !t.hasRoom()
	closed, isClosed := t.least(now, func(_ catalogue.Ref, s *slot) bool { return s.closed && s.phase == phaseLoaded })
	switch {
	case starving && !isClosed:
		ref, ok := t.least(now, func(_ catalogue.Ref, s *slot) bool { return s.phase == phaseLoaded && !s.foreign })
		if ok {
			t.slots[ref].closed = true
		}
	case !starving && isClosed:
		s := t.slots[closed]
		s.closed = false
		return t.startWaiters(closed, s)
	}
	return nil
}

func (t *Table) starving(now time.Time) bool {
	for _, w := range t.wants {
		if _, present := t.slots[w.ref]; !present && now.Sub(w.since) >= t.options.Patience {
			return true
		}
	}
	return false
}

// hasRoom tells whether any slot but a closed one is free or can be freed.
func (t *Table) hasRoom() bool {
	if len(t.slots) < t.options.Slots {
		return true
	}
	for ref, s := range t.slots {
		if s.phase == phaseUnloading || !s.closed && t.evictable(ref, s) {
			return true
		}
	}
	return false
}

func (t *Table) count(p phase) int {
	n := 0
	for _, s := range t.slots {
		if s.phase == p {
			n++
		}
	}
	return n
}

// victim chooses the idle adapter to unload.
func (t *Table) victim(now time.Time) (catalogue.Ref, bool) {
	return t.least(now, t.evictable)
}

func (t *Table) least(now time.Time, match func(catalogue.Ref, *slot) bool) (catalogue.Ref, bool) {
	best, found := catalogue.Ref{}, false
	for ref, s := range t.slots {
		if match(ref, s) && (!found || t.lessValuable(ref, best, now)) {
			best, found = ref, true
		}
	}
	return best, found
}

func (t *Table) lessValuable(a, b catalogue.Ref, now time.Time) bool {
	if t.options.Eviction == EvictLeastValuable {
		if order := cmp.Compare(t.usage.value(a, now), t.usage.value(b, now)); order != 0 {
			return order < 0
		}
	}
	if order := cmp.Compare(t.slots[a].lastUsed, t.slots[b].lastUsed); order != 0 {
		return order < 0
	}
	return compareRefs(a, b) < 0
}

func compareRefs(a, b catalogue.Ref) int {
	return cmp.Or(cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
}
