// Package slots decides which adapters occupy an engine's few adapter slots.
//
// Table is a pure state machine: typed events go in with the time, typed
// actions come out, and the owner performs the actions and feeds their results
// back. It never evicts an adapter that serves a request (a pinned adapter),
// asks for each adapter at most one load at a time however many requests wait
// for it, and loads only with a permit of the site's load broker.
//
// Every load and unload carries an order number that is never used twice. A
// result that names an order the table no longer knows is ignored, so that the
// late end of an order to a dead engine incarnation cannot corrupt the table.
package slots

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// RequestID identifies a request within one table.
type RequestID uint64

// OrderID identifies one load or unload; it is never used twice in a table.
type OrderID uint64

// Action is something that the owner of the table must do.
type Action interface{ action() }

// Start lets a waiting request run; its adapter stays pinned until Release.
type Start struct{ Request RequestID }

// Refuse ends a waiting request that never ran.
type Refuse struct {
	Request RequestID
	Reason  Reason
}

// Ask requests a permit to load; the owner answers with Granted. An Ask with
// the order of an earlier one updates it.
type Ask struct {
	Order OrderID
	Ref   catalogue.Ref
	// Demand is the sum of the weights of the requests that wait for it now.
	Demand float64
	// Since is when the first of them came.
	Since time.Time
}

// Return gives an asked or granted permit back.
type Return struct{ Order OrderID }

// Load orders the engine to load an adapter into a free slot.
type Load struct {
	Order OrderID
	Ref   catalogue.Ref
}

// Unload orders the engine to free the slot of an idle adapter.
type Unload struct {
	Order OrderID
	Ref   catalogue.Ref
}

func (Start) action()  {}
func (Refuse) action() {}
func (Ask) action()    {}
func (Return) action() {}
func (Load) action()   {}
func (Unload) action() {}

// Reason says why a request was refused.
type Reason string

const (
	// ReasonQueueFull means that the bounded wait queue had no room.
	ReasonQueueFull Reason = "queue_full"
	// ReasonNoSlot means that every slot serves requests or is spoken for, and
	// that the request would rather go elsewhere than wait.
	ReasonNoSlot Reason = "no_slot"
	// ReasonLoadFailed means that the engine could not load the adapter.
	ReasonLoadFailed Reason = "load_failed"
	// ReasonEngineRestarted means that the engine lost its adapters before the request ran.
	ReasonEngineRestarted Reason = "engine_restarted"
)

// Eviction names the rule that chooses which idle adapter to unload.
type Eviction uint8

const (
	// EvictLeastValuable unloads the adapter with the lowest decayed use
	// times its load time.
	EvictLeastValuable Eviction = iota
	// EvictLeastRecent unloads the least recently used adapter.
	EvictLeastRecent
)

// Options bound a table. Zero durations take the package's defaults.
type Options struct {
	// Slots is the number of adapters that the engine holds at once.
	Slots int
	// Queue is the most requests that may wait.
	Queue    int
	Eviction Eviction
	// HalfLife is the time in which an adapter's past use loses half its weight.
	HalfLife time.Duration
	// Patience is how long an adapter may wait while every slot is pinned
	// before one slot stops taking new requests for its sake.
	Patience time.Duration
	// RetryMin and RetryMax bound the pause after failed loads of an adapter.
	RetryMin time.Duration
	RetryMax time.Duration
}

const (
	defaultHalfLife = time.Minute
	defaultPatience = 2 * time.Second
	defaultRetryMin = time.Second
	defaultRetryMax = time.Minute
)

type phase uint8

const (
	phaseLoading phase = iota
	phaseLoaded
	phaseUnloading
)

type slot struct {
	phase phase
	order OrderID
	pins  int
	// foreign is true while requests of an earlier agent may run on it.
	foreign bool
	// closed is true while new requests must wait, so that a slot frees.
	closed   bool
	lastUsed uint64
	ordered  time.Time
}

func (s *slot) idle() bool { return s.phase == phaseLoaded && s.pins == 0 && !s.foreign }

type waiter struct {
	request RequestID
	weight  float64
}

// want is the demand for one adapter that is not loaded.
type want struct {
	ref     catalogue.Ref
	waiters []waiter
	since   time.Time
	// order is the asked permit, 0 when none is asked.
	order   OrderID
	granted bool
	// full is true once the engine refused a load for want of a slot.
	full bool
}

func (w *want) ask() Ask {
	a := Ask{Order: w.order, Ref: w.ref, Since: w.since}
	for _, waiting := range w.waiters {
		a.Demand += waiting.weight
	}
	return a
}

// Table is the slot table of one engine. One duty owns it.
type Table struct {
	options   Options
	slots     map[catalogue.Ref]*slot
	wants     []*want
	waiting   int
	running   map[RequestID]*slot
	usage     *usage
	failures  map[catalogue.Ref]failure
	clock     uint64
	lastOrder OrderID
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	options.HalfLife = cmp.Or(options.HalfLife, defaultHalfLife)
	options.Patience = cmp.Or(options.Patience, defaultPatience)
	options.RetryMin = cmp.Or(options.RetryMin, defaultRetryMin)
	options.RetryMax = cmp.Or(options.RetryMax, defaultRetryMax)
	return &Table{
		options:  options,
		slots:    make(map[catalogue.Ref]*slot),
		running:  make(map[RequestID]*slot),
		usage:    newUsage(options.HalfLife, options.Slots*ghostsPerSlot),
		failures: make(map[catalogue.Ref]failure),
	}
}

// Claim is what a request asks of a table.
type Claim struct {
	Request RequestID
	Ref     catalogue.Ref
	// Weight, such as that of the request's contract, counts when loads are scarce.
	Weight float64
	// Patient requests wait for a slot however long it takes; others are
	// refused when none can be had now, so that they can go elsewhere.
	Patient bool
}

// Request asks to run a request on an adapter.
func (t *Table) Request(claim Claim, now time.Time) []Action {
	id, ref, weight := claim.Request, claim.Ref, claim.Weight
	t.usage.touch(ref, now)
	if s, ok := t.slots[ref]; ok && s.phase == phaseLoaded && !s.closed {
		return []Action{t.start(id, s)}
	}
	if f, ok := t.failures[ref]; ok && now.Before(f.until) {
		return []Action{Refuse{Request: id, Reason: ReasonLoadFailed}}
	}
	if t.waiting >= t.options.Queue {
		return []Action{Refuse{Request: id, Reason: ReasonQueueFull}}
	}
	w := t.wantOf(ref)
	_, present := t.slots[ref]
	if w == nil && !present && !claim.Patient && t.obtainable() <= 0 {
		return []Action{Refuse{Request: id, Reason: ReasonNoSlot}}
	}
	t.waiting++
	if w == nil {
		w = &want{ref: ref, since: now}
		t.wants = append(t.wants, w)
	}
	w.waiters = append(w.waiters, waiter{request: id, weight: weight})
	if w.order != 0 && !w.granted {
		return append(t.plan(now), w.ask())
	}
	return t.plan(now)
}

// Cancel forgets a request that still waits. A running request is unaffected.
func (t *Table) Cancel(id RequestID, now time.Time) []Action {
	for _, w := range t.wants {
		i := slices.IndexFunc(w.waiters, func(waiting waiter) bool { return waiting.request == id })
		if i < 0 {
			continue
		}
		w.waiters = slices.Delete(w.waiters, i, i+1)
		t.waiting--
		if len(w.waiters) > 0 {
			return nil
		}
		return append(t.drop(w), t.plan(now)...)
	}
	return nil
}

// Release ends a running request and unpins its adapter.
func (t *Table) Release(id RequestID, now time.Time) []Action {
	s, ok := t.running[id]
	if !ok {
		return nil
	}
	delete(t.running, id)
	s.pins--
	return t.plan(now)
}

// Granted reports that the broker permits a load. A grant may come twice; were
// the second answered with a Return, the permit of a load under way would go
// to another server and this one's load be given up.
func (t *Table) Granted(order OrderID, now time.Time) []Action {
	if _, s := t.ordered(order, phaseLoading); s != nil {
		return nil
	}
	i := slices.IndexFunc(t.wants, func(w *want) bool { return w.order == order })
	if i >= 0 && t.wants[i].granted {
		return nil
	}
	if i < 0 {
		return []Action{Return{Order: order}}
	}
	t.wants[i].granted = true
	return t.plan(now)
}

// Loaded reports that the engine finished a load.
func (t *Table) Loaded(order OrderID, now time.Time) []Action {
	ref, s := t.ordered(order, phaseLoading)
	if s == nil {
		return nil
	}
	s.phase = phaseLoaded
	delete(t.failures, ref)
	t.usage.loaded(ref, now.Sub(s.ordered))
	actions := []Action{Return{Order: order}}
	return append(append(actions, t.startWaiters(ref, s)...), t.plan(now)...)
}

// LoadFailed reports that a load did not succeed. Requests that waited for the
// adapter are refused at once, so that they can go elsewhere. When the engine
// may yet finish the load, as after a timeout, absent is false and the slot
// stays taken until an unload has made sure.
func (t *Table) LoadFailed(order OrderID, absent bool, now time.Time) []Action {
	ref, s := t.ordered(order, phaseLoading)
	if s == nil {
		return nil
	}
	t.backOff(ref, now)
	actions := []Action{Return{Order: order}}
	actions = append(actions, t.refuseWaiters(ReasonLoadFailed, ref)...)
	if absent {
		delete(t.slots, ref)
	} else {
		actions = append(actions, t.unload(ref, s, now))
	}
	return append(actions, t.plan(now)...)
}

// LoadFull reports that the engine refused a load for want of a slot: it holds
// adapters that the table did not know, which must have been adopted before.
// Requests that wait for the adapter go on waiting, as their load has nothing
// wrong with it; a second refusal counts as a failure.
func (t *Table) LoadFull(order OrderID, now time.Time) []Action {
	ref, s := t.ordered(order, phaseLoading)
	if s == nil {
		return nil
	}
	w := t.wantOf(ref)
	if w == nil || w.full {
		return t.LoadFailed(order, true, now)
	}
	w.full = true
	delete(t.slots, ref)
	return append([]Action{Return{Order: order}}, t.plan(now)...)
}

// Unloaded reports that the engine freed a slot.
func (t *Table) Unloaded(order OrderID, now time.Time) []Action {
	ref, s := t.ordered(order, phaseUnloading)
	if s == nil {
		return nil
	}
	delete(t.slots, ref)
	return t.plan(now)
}

// UnloadFailed reports that the engine did not confirm an unload. The slot
// counts as taken, else a load would be ordered into a full engine; Tick
// orders the unload again after RetryMin.
func (t *Table) UnloadFailed(order OrderID, now time.Time) []Action {
	if _, s := t.ordered(order, phaseUnloading); s != nil {
		s.order = 0
		s.ordered = now
	}
	return nil
}

// Tick repeats unconfirmed unloads, ends back-offs and frees a slot for
// adapters that have waited too long. Call it a few times a second.
func (t *Table) Tick(now time.Time) []Action {
	var actions []Action
	for _, ref := range t.refs() {
		s := t.slots[ref]
		if s.phase == phaseUnloading && s.order == 0 && now.Sub(s.ordered) >= t.options.RetryMin {
			actions = append(actions, t.unload(ref, s, now))
		}
	}
	t.forgetFailures(now)
	return append(actions, t.plan(now)...)
}

// EngineRestarted empties the table: a restarted engine holds no adapters.
func (t *Table) EngineRestarted() []Action {
	var actions []Action
	for _, ref := range t.refs() {
		if s := t.slots[ref]; s.phase == phaseLoading {
			actions = append(actions, Return{Order: s.order})
		}
	}
	clear(t.slots)
	clear(t.running)
	for len(t.wants) > 0 {
		actions = append(actions, t.refuseWaiters(ReasonEngineRestarted, t.wants[0].ref)...)
	}
	return actions
}

// Lost reports that the engine denied having an adapter that the table counts
// as loaded. Without this every request for it would be sent there in vain.
func (t *Table) Lost(ref catalogue.Ref, now time.Time) []Action {
	if s, ok := t.slots[ref]; ok && s.phase == phaseLoaded {
		delete(t.slots, ref)
	}
	return t.plan(now)
}

// Adopt records an adapter that the engine already held when its agent
// started. Without this a restarted agent would order loads into full slots.
// While inUse is true, requests of the earlier agent may still run on it, and
// it is not evicted until InUse says otherwise.
func (t *Table) Adopt(ref catalogue.Ref, inUse bool) {
	if _, known := t.slots[ref]; !known {
		t.slots[ref] = &slot{phase: phaseLoaded, foreign: inUse}
	}
}

// InUse takes the engine's word on which adapters serve requests. Requests of
// an earlier agent only ever end, so a report that lags keeps an adapter
// longer than needed and never frees one too early.
func (t *Table) InUse(refs []catalogue.Ref, now time.Time) []Action {
	for ref, s := range t.slots {
		if s.foreign && !slices.Contains(refs, ref) {
			s.foreign = false
		}
	}
	return t.plan(now)
}

func (t *Table) start(id RequestID, s *slot) Action {
	t.clock++
	s.pins++
	s.lastUsed = t.clock
	t.running[id] = s
	return Start{Request: id}
}

func (t *Table) startWaiters(ref catalogue.Ref, s *slot) []Action {
	w := t.wantOf(ref)
	if w == nil {
		return nil
	}
	actions := make([]Action, 0, len(w.waiters))
	for _, waiting := range w.waiters {
		actions = append(actions, t.start(waiting.request, s))
	}
	t.waiting -= len(w.waiters)
	t.remove(w)
	return actions
}

func (t *Table) refuseWaiters(reason Reason, ref catalogue.Ref) []Action {
	w := t.wantOf(ref)
	if w == nil {
		return nil
	}
	var actions []Action
	for _, waiting := range w.waiters {
		actions = append(actions, Refuse{Request: waiting.request, Reason: reason})
	}
	t.waiting -= len(w.waiters)
	return append(actions, t.drop(w)...)
}

// drop removes a want and gives back its permit when no load uses it.
func (t *Table) drop(w *want) []Action {
	t.remove(w)
	if w.order == 0 {
		return nil
	}
	return []Action{Return{Order: w.order}}
}

func (t *Table) remove(w *want) {
	t.wants = slices.DeleteFunc(t.wants, func(other *want) bool { return other == w })
}

func (t *Table) wantOf(ref catalogue.Ref) *want {
	for _, w := range t.wants {
		if w.ref == ref {
			return w
		}
	}
	return nil
}

// ordered finds the slot of an order that is still current.
func (t *Table) ordered(order OrderID, p phase) (catalogue.Ref, *slot) {
	for ref, s := range t.slots {
		if s.order == order && s.phase == p && order != 0 {
			return ref, s
		}
	}
	return catalogue.Ref{}, nil
}

func (t *Table) newOrder() OrderID {
	t.lastOrder++
	return t.lastOrder
}

// refs returns the adapters in slots in a fixed order, so that the same events
// always yield the same actions.
func (t *Table) refs() []catalogue.Ref {
	refs := make([]catalogue.Ref, 0, len(t.slots))
	for ref := range t.slots {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}
