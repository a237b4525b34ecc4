// Package slots decides which adapters occupy an engine's limited adapter slots.
//
// Table is a pure state machine: it takes typed events with the current time and
// returns typed actions. Its owner performs the actions and passes the results
// back as events. The table never evicts an adapter that serves a request (a
// pinned adapter), has at most one load per adapter in progress regardless of the
// number of waiting requests, and loads only with a permit from the site's load
// broker.
//
// Every load and unload carries a unique order number. A result with an order that
// the table no longer tracks is ignored, so that a delayed result from an earlier
// engine incarnation cannot corrupt the table.
package slots

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// RequestID identifies a request within one table.
type RequestID uint64

// OrderID identifies one load or unload. It is unique within a table.
type OrderID uint64

// Reason is the reason for a refusal.
type Reason string

const (
	// ReasonQueueFull means that the wait queue was full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonNoSlot means that every slot serves requests or is reserved, and
	// that the request is not to wait for one.
	ReasonNoSlot Reason = "no_slot"
	// ReasonLoadFailed means that the engine could not load the adapter.
	ReasonLoadFailed Reason = "load_failed"
	// ReasonEngineRestarted means that the engine restarted, and so lost its
	// adapters, before the request ran.
	ReasonEngineRestarted Reason = "engine_restarted"
)

// Eviction is the policy for choosing which idle adapter to unload.
type Eviction uint8

const (
	// EvictLeastValuable unloads the adapter with the lowest product of decayed
	// use and load time.
	EvictLeastValuable Eviction = iota
	// EvictLeastRecent unloads the least recently used adapter.
	EvictLeastRecent
)

// Options configure a table. Zero durations select the defaults.
type Options struct {
	// Slots is the number of adapters that the engine holds at once.
	Slots int
	// Queue is the maximum number of waiting requests.
	Queue    int
	Eviction Eviction
	// HalfLife is the time in which an adapter's past use loses half its weight.
	HalfLife time.Duration
	// StarvationTimeout is how long an adapter waits while every slot is pinned before
	// one slot is closed to new requests to make room for it.
	StarvationTimeout time.Duration
	// RetryMin and RetryMax bound the pause after failed loads of an adapter.
	RetryMin time.Duration
	RetryMax time.Duration
}

const (
	defaultHalfLife          = time.Minute
	defaultStarvationTimeout = 2 * time.Second
	defaultRetryMin          = time.Second
	defaultRetryMax          = time.Minute
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
	// foreign is true while requests of an earlier agent process may run on
	// the adapter.
	foreign bool
	// closed is true while new requests must wait so that the slot becomes
	// free.
	closed   bool
	lastUsed uint64
	// orderedAt is when the last load or unload was ordered or failed.
	orderedAt time.Time
}

func (s *slot) idle() bool { return s.phase == phaseLoaded && s.pins == 0 && !s.foreign }

type waiter struct {
	request RequestID
	weight  float64
}

// pendingLoad is the demand for one adapter that is not loaded.
type pendingLoad struct {
	ref     catalogue.Ref
	waiters []waiter
	since   time.Time
	// order is the requested permit, or 0 if none is requested.
	order   OrderID
	granted bool
	// engineFull is true after the engine refused a load because it had no
	// free slot.
	engineFull bool
}

func (w *pendingLoad) permitRequest() PermitRequest {
	a := PermitRequest{Order: w.order, Ref: w.ref, Since: w.since}
	for _, waiting := range w.waiters {
		a.Demand += waiting.weight
	}
	return a
}

// Table is the slot table of one engine. It is not safe for concurrent use.
type Table struct {
	options  Options
	slots    map[catalogue.Ref]*slot
	pending  []*pendingLoad
	waiting  int
	running  map[RequestID]*slot
	usage    *usage
	failures map[catalogue.Ref]failure
	// clock is a logical clock that counts started requests.
	clock     uint64
	lastOrder OrderID
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	options.HalfLife = cmp.Or(options.HalfLife, defaultHalfLife)
	options.StarvationTimeout = cmp.Or(options.StarvationTimeout, defaultStarvationTimeout)
	options.RetryMin = cmp.Or(options.RetryMin, defaultRetryMin)
	options.RetryMax = cmp.Or(options.RetryMax, defaultRetryMax)
	return &Table{
		options:  options,
		slots:    make(map[catalogue.Ref]*slot),
		running:  make(map[RequestID]*slot),
		usage:    newUsage(options.HalfLife, options.Slots*trackedPerSlot),
		failures: make(map[catalogue.Ref]failure),
	}
}

// Claim is a request's claim to a slot.
type Claim struct {
	Request RequestID
	Ref     catalogue.Ref
	// Weight, such as that of the request's contract, sets the priority of the
	// load when permits are scarce.
	Weight float64
	// WaitForSlot makes the request wait for a slot without a time limit. Without it
	// the request is refused if none is obtainable now, so that it can be sent elsewhere.
	WaitForSlot bool
}

// Request starts, queues or refuses a request.
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
	w := t.pendingFor(ref)
	_, present := t.slots[ref]
	if w == nil && !present && !claim.WaitForSlot && t.obtainable() <= 0 {
		return []Action{Refuse{Request: id, Reason: ReasonNoSlot}}
	}
	t.waiting++
	if w == nil {
		w = &pendingLoad{ref: ref, since: now}
		t.pending = append(t.pending, w)
	}
	w.waiters = append(w.waiters, waiter{request: id, weight: weight})
	if w.order != 0 && !w.granted {
		return append(t.plan(now), w.permitRequest())
	}
	return t.plan(now)
}

// Cancel removes a waiting request. It does not affect a running one.
func (t *Table) Cancel(id RequestID, now time.Time) []Action {
	for _, w := range t.pending {
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

// Granted reports that the broker permits a load. A grant may arrive twice. The
// second must not be answered with a Return, because the permit of the load in
// progress would then go to another server.
func (t *Table) Granted(order OrderID, now time.Time) []Action {
	if _, s := t.slotByOrder(order, phaseLoading); s != nil {
		return nil
	}
	i := slices.IndexFunc(t.pending, func(w *pendingLoad) bool { return w.order == order })
	if i >= 0 && t.pending[i].granted {
		return nil
	}
	if i < 0 {
		return []Action{Return{Order: order}}
	}
	t.pending[i].granted = true
	return t.plan(now)
}

// Loaded reports that the engine finished a load.
func (t *Table) Loaded(order OrderID, now time.Time) []Action {
	ref, s := t.slotByOrder(order, phaseLoading)
	if s == nil {
		return nil
	}
	s.phase = phaseLoaded
	delete(t.failures, ref)
	t.usage.recordLoad(ref, now.Sub(s.orderedAt))
	actions := []Action{Return{Order: order}}
	return append(append(actions, t.startWaiters(ref, s)...), t.plan(now)...)
}

// LoadFailed reports that a load failed. Requests that waited for the adapter are
// refused immediately, so that they can be sent elsewhere. If the engine may still
// finish the load, as after a timeout, absent must be false: the slot then stays
// taken until an unload is confirmed.
func (t *Table) LoadFailed(order OrderID, absent bool, now time.Time) []Action {
	ref, s := t.slotByOrder(order, phaseLoading)
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

// LoadFull reports that the engine refused a load because it has no free slot: it
// holds adapters unknown to the table. The caller must have passed these to Adopt
// first. Requests keep waiting for the adapter, as the load itself is not faulty. A
// second refusal counts as a failure.
func (t *Table) LoadFull(order OrderID, now time.Time) []Action {
	ref, s := t.slotByOrder(order, phaseLoading)
	if s == nil {
		return nil
	}
	w := t.pendingFor(ref)
	if w == nil || w.engineFull {
		return t.LoadFailed(order, true, now)
	}
	w.engineFull = true
	delete(t.slots, ref)
	return append([]Action{Return{Order: order}}, t.plan(now)...)
}

// Unloaded reports that the engine has freed a slot.
func (t *Table) Unloaded(order OrderID, now time.Time) []Action {
	ref, s := t.slotByOrder(order, phaseUnloading)
	if s == nil {
		return nil
	}
	delete(t.slots, ref)
	return t.plan(now)
}

// UnloadFailed reports that the engine did not confirm an unload. The slot stays
// taken, as a load might otherwise be ordered into a full engine. Tick orders the
// unload again after RetryMin.
func (t *Table) UnloadFailed(order OrderID, now time.Time) []Action {
	if _, s := t.slotByOrder(order, phaseUnloading); s != nil {
		s.order = 0
		s.orderedAt = now
	}
	return nil
}

// Tick repeats unconfirmed unloads, drops ended backoffs and frees a slot for
// adapters that have waited too long. It must be called several times per second.
func (t *Table) Tick(now time.Time) []Action {
	var actions []Action
	for _, ref := range t.refs() {
		s := t.slots[ref]
		if s.phase == phaseUnloading && s.order == 0 && now.Sub(s.orderedAt) >= t.options.RetryMin {
			actions = append(actions, t.unload(ref, s, now))
		}
	}
	t.forgetFailures(now)
	return append(actions, t.plan(now)...)
}

// EngineRestarted empties the table, because a restarted engine holds no adapters.
func (t *Table) EngineRestarted() []Action {
	var actions []Action
	for _, ref := range t.refs() {
		if s := t.slots[ref]; s.phase == phaseLoading {
			actions = append(actions, Return{Order: s.order})
		}
	}
	clear(t.slots)
	clear(t.running)
	for len(t.pending) > 0 {
		actions = append(actions, t.refuseWaiters(ReasonEngineRestarted, t.pending[0].ref)...)
	}
	return actions
}

// AdapterMissing reports that the engine does not have an adapter that the table counts
// as loaded. Otherwise every request for it would be sent to the engine and fail.
func (t *Table) AdapterMissing(ref catalogue.Ref, now time.Time) []Action {
	if s, ok := t.slots[ref]; ok && s.phase == phaseLoaded {
		delete(t.slots, ref)
	}
	return t.plan(now)
}

// Adopt records an adapter that the engine already held when its agent started.
// Otherwise a restarted agent would order loads into full slots. If inUse is true,
// requests of the earlier agent may still run on the adapter, and it is not evicted
// until InUse reports that it is no longer in use.
func (t *Table) Adopt(ref catalogue.Ref, inUse bool) {
	if _, known := t.slots[ref]; !known {
		t.slots[ref] = &slot{phase: phaseLoaded, foreign: inUse}
	}
}

// InUse reports which adapters serve requests according to the engine. No new
// requests of an earlier agent can start, so an outdated report keeps an adapter
// longer than needed but never frees one too early.
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
	w := t.pendingFor(ref)
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
	w := t.pendingFor(ref)
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

// drop removes a pending load and gives back its permit unless a load uses it.
func (t *Table) drop(w *pendingLoad) []Action {
	t.remove(w)
	if w.order == 0 {
		return nil
	}
	return []Action{Return{Order: w.order}}
}

func (t *Table) remove(w *pendingLoad) {
	t.pending = slices.DeleteFunc(t.pending, func(other *pendingLoad) bool { return other == w })
}

func (t *Table) pendingFor(ref catalogue.Ref) *pendingLoad {
	for _, w := range t.pending {
		if w.ref == ref {
			return w
		}
	}
	return nil
}

// slotByOrder returns the slot with the given order and phase, or nil if the order is
// no longer current.
func (t *Table) slotByOrder(order OrderID, p phase) (catalogue.Ref, *slot) {
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

// refs returns the adapters in slots in sorted order, so that the same events always
// yield the same actions.
func (t *Table) refs() []catalogue.Ref {
	refs := make([]catalogue.Ref, 0, len(t.slots))
	for ref := range t.slots {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}
