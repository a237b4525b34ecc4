package slots

import (
	"cmp"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// plan advances pending loads in order of arrival, as far as slots and permits
// allow.
func (t *Table) plan(now time.Time) []Action {
	actions := t.startGranted(now)
	room := t.obtainable()
	for _, w := range t.pending {
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
		actions = append(actions, w.permitRequest())
	}
	return append(actions, t.preventStarvation(now)...)
}

// startGranted starts permitted loads in free slots and unloads idle adapters for the
// remaining ones. A permit without a slot is returned, so that another server can use
// the weight store in the meantime.
func (t *Table) startGranted(now time.Time) []Action {
	var actions []Action
	unloading := t.count(phaseUnloading)
	for _, w := range t.pending {
		if !w.granted {
			continue
		}
		if len(t.slots) < t.options.Slots {
			t.slots[w.ref] = &slot{phase: phaseLoading, order: w.order, orderedAt: now}
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

// obtainable returns the number of slots that are free, being freed, or idle, minus
// those needed for requested permits.
func (t *Table) obtainable() int {
	n := t.options.Slots - len(t.slots) + t.count(phaseUnloading)
	for ref, s := range t.slots {
		if t.evictable(ref, s) {
			n++
		}
	}
	for _, w := range t.pending {
		if w.order != 0 {
			n--
		}
	}
	return n
}

func (t *Table) evictable(ref catalogue.Ref, s *slot) bool {
	return s.idle() && (s.closed || t.pendingFor(ref) == nil)
}

func (t *Table) unload(ref catalogue.Ref, s *slot, now time.Time) Action {
	s.phase, s.order, s.orderedAt = phaseUnloading, t.newOrder(), now
	return Unload{Order: s.order, Ref: ref}
}

// preventStarvation closes a slot to new requests if an adapter has waited for
// StarvationTimeout. Popular adapters with requests always running would otherwise hold
// every slot indefinitely, and requests for other adapters would time out without a stated
// reason. The least valuable slot stays closed until it is reused or no longer needed.
// Waiting for a permit does not count while a slot is free or can be freed: more
// slots would only add loads to an overloaded weight store.
func (t *Table) preventStarvation(now time.Time) []Action {
	starving := t.starving(now) && !t.hasRoom()
	closed, isClosed := t.leastValuable(now, func(_ catalogue.Ref, s *slot) bool { return s.closed && s.phase == phaseLoaded })
	switch {
	case starving && !isClosed:
		ref, ok := t.leastValuable(now, func(_ catalogue.Ref, s *slot) bool { return s.phase == phaseLoaded && !s.foreign })
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
	for _, w := range t.pending {
		if _, present := t.slots[w.ref]; !present && now.Sub(w.since) >= t.options.StarvationTimeout {
			return true
		}
	}
	return false
}

// hasRoom reports whether any slot other than a closed one is free or can be freed.
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

// victim returns the idle adapter to unload next, if any.
func (t *Table) victim(now time.Time) (catalogue.Ref, bool) {
	return t.leastValuable(now, t.evictable)
}

func (t *Table) leastValuable(now time.Time, match func(catalogue.Ref, *slot) bool) (catalogue.Ref, bool) {
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
