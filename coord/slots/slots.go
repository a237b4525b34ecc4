// Package slots decides which adapters occupy an engine's few adapter slots.
//
// Table is a pure state machine: typed events go in, typed actions come out,
// and the owner performs the actions and feeds their results back. It never
// evicts an adapter that serves a request (a pinned adapter), and it asks for
// each adapter at most one load at a time, however many requests wait for it.
package slots

import (
	"slices"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// RequestID identifies a request within one table.
type RequestID uint64

// Action is something that the owner of the table must do.
type Action interface{ action() }

// Start lets a waiting request run; its adapter stays pinned until Release.
type Start struct{ Request RequestID }

// Refuse ends a waiting request that never ran.
type Refuse struct {
	Request RequestID
	Reason  Reason
}

// Load orders the engine to load an adapter into a free slot.
type Load struct{ Ref catalogue.Ref }

// Unload orders the engine to free the slot of an idle adapter.
type Unload struct{ Ref catalogue.Ref }

func (Start) action()  {}
func (Refuse) action() {}
func (Load) action()   {}
func (Unload) action() {}

// Reason says why a request was refused.
type Reason string

const (
	// ReasonQueueFull means that the bounded wait queue had no room.
	ReasonQueueFull Reason = "queue_full"
	// ReasonLoadFailed means that the engine could not load the adapter.
	ReasonLoadFailed Reason = "load_failed"
	// ReasonEngineRestarted means that the engine lost its adapters before the request ran.
	ReasonEngineRestarted Reason = "engine_restarted"
)

// Options bound a table.
type Options struct {
	// Slots is the number of adapters that the engine holds at once.
	Slots int
	// Queue is the most requests that may wait.
	Queue int
}

type phase uint8

const (
	phaseLoading phase = iota
	phaseLoaded
	phaseUnloading
)

type slot struct {
	phase    phase
	pins     int
	lastUsed uint64
}

type waiter struct {
	request RequestID
	ref     catalogue.Ref
}

// Table is the slot table of one engine incarnation. One duty owns it.
type Table struct {
	options Options
	slots   map[catalogue.Ref]*slot
	waiting []waiter
	running map[RequestID]catalogue.Ref
	clock   uint64
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	return &Table{
		options: options,
		slots:   make(map[catalogue.Ref]*slot),
		running: make(map[RequestID]catalogue.Ref),
	}
}

// Request asks to run a request on an adapter.
func (t *Table) Request(id RequestID, ref catalogue.Ref) []Action {
	if s, ok := t.slots[ref]; ok && s.phase == phaseLoaded {
		return []Action{t.start(id, ref, s)}
	}
	if len(t.waiting) >= t.options.Queue {
		return []Action{Refuse{Request: id, Reason: ReasonQueueFull}}
	}
	t.waiting = append(t.waiting, waiter{request: id, ref: ref})
	return t.fill()
}

// Cancel forgets a request that still waits. A running request is unaffected.
func (t *Table) Cancel(id RequestID) []Action {
	t.waiting = slices.DeleteFunc(t.waiting, func(w waiter) bool { return w.request == id })
	return nil
}

// Release ends a running request and unpins its adapter.
func (t *Table) Release(id RequestID) []Action {
	ref, ok := t.running[id]
	if !ok {
		return nil
	}
	delete(t.running, id)
	if s, ok := t.slots[ref]; ok {
		s.pins--
	}
	return t.fill()
}

// Loaded reports that the engine finished a load.
func (t *Table) Loaded(ref catalogue.Ref) []Action {
	s, ok := t.slots[ref]
	if !ok || s.phase != phaseLoading {
		return nil
	}
	s.phase = phaseLoaded
	var actions []Action
	t.waiting = slices.DeleteFunc(t.waiting, func(w waiter) bool {
		if w.ref != ref {
			return false
		}
		actions = append(actions, t.start(w.request, ref, s))
		return true
	})
	return append(actions, t.fill()...)
}

// LoadFailed reports that the engine refused or failed a load. Requests that
// waited for the adapter are refused at once, so that they can go elsewhere.
func (t *Table) LoadFailed(ref catalogue.Ref) []Action {
	delete(t.slots, ref)
	actions := t.refuseWaiters(ReasonLoadFailed, func(w waiter) bool { return w.ref == ref })
	return append(actions, t.fill()...)
}

// Unloaded reports that the engine freed a slot.
func (t *Table) Unloaded(ref catalogue.Ref) []Action {
	delete(t.slots, ref)
	return t.fill()
}

// EngineRestarted empties the table: a restarted engine holds no adapters.
func (t *Table) EngineRestarted() []Action {
	clear(t.slots)
	clear(t.running)
	return t.refuseWaiters(ReasonEngineRestarted, func(waiter) bool { return true })
}

// Adopt records an adapter that the engine already held when its agent
// started. Without this a restarted agent would order loads into full slots.
func (t *Table) Adopt(ref catalogue.Ref) {
	t.slots[ref] = &slot{phase: phaseLoaded}
}

// Resident returns the loaded adapters, in no order.
func (t *Table) Resident() []catalogue.Ref {
	var refs []catalogue.Ref
	for ref, s := range t.slots {
		if s.phase == phaseLoaded {
			refs = append(refs, ref)
		}
	}
	return refs
}

// Running and Waiting count requests.
func (t *Table) Running() int { return len(t.running) }

// Waiting counts requests that have not started.
func (t *Table) Waiting() int { return len(t.waiting) }

func (t *Table) start(id RequestID, ref catalogue.Ref, s *slot) Action {
	t.clock++
	s.pins++
	s.lastUsed = t.clock
	t.running[id] = ref
	return Start{Request: id}
}

func (t *Table) refuseWaiters(reason Reason, match func(waiter) bool) []Action {
	var actions []Action
	t.waiting = slices.DeleteFunc(t.waiting, func(w waiter) bool {
		if !match(w) {
			return false
		}
		actions = append(actions, Refuse{Request: w.request, Reason: reason})
		return true
	})
	return actions
}

// fill starts loads for waiting adapters in order of arrival while slots are
// free, and frees idle slots for those that remain.
func (t *Table) fill() []Action {
	var actions []Action
	unloading := t.count(phaseUnloading)
	for _, w := range t.waiting {
		if _, present := t.slots[w.ref]; present {
			continue
		}
		if len(t.slots) < t.options.Slots {
			t.slots[w.ref] = &slot{phase: phaseLoading}
			actions = append(actions, Load{Ref: w.ref})
			continue
		}
		if unloading > 0 {
			unloading--
			continue
		}
		victim, ok := t.leastRecentlyUsedIdle()
		if !ok {
			break
		}
		t.slots[victim].phase = phaseUnloading
		actions = append(actions, Unload{Ref: victim})
	}
	return actions
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

func (t *Table) leastRecentlyUsedIdle() (catalogue.Ref, bool) {
	best, found := catalogue.Ref{}, false
	for ref, s := range t.slots {
		if s.phase != phaseLoaded || s.pins > 0 || t.wanted(ref) {
			continue
		}
		if !found || older(s, ref, t.slots[best], best) {
			best, found = ref, true
		}
	}
	return best, found
}

func older(a *slot, aRef catalogue.Ref, b *slot, bRef catalogue.Ref) bool {
	if a.lastUsed != b.lastUsed {
		return a.lastUsed < b.lastUsed
	}
	return aRef.String() < bRef.String()
}

func (t *Table) wanted(ref catalogue.Ref) bool {
	return slices.ContainsFunc(t.waiting, func(w waiter) bool { return w.ref == ref })
}
