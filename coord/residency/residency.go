// Package residency decides for one engine which adapters it holds and which
// request starts when. The engine replaces an adapter by a newer version in
// place, takes a few loads at a time, and crashes when it is ordered to hold
// more than it can; its own report is the truth that the table follows.
//
// Table is a pure state machine: events go in with the time, actions come out.
// It never unloads an adapter that a request uses or waits for, and it never
// orders more adapters than there are places.
package residency

import (
	"cmp"
	"slices"
	"time"
)

// Options describe the engine.
type Options struct {
	// Places is the most adapters that the engine holds, loads under way
	// included.
	Places int
	// Batch is the most requests that run at once.
	Batch int
	// MemoryTokens bounds the tokens of all requests that run.
	MemoryTokens int
	// Loads is the most loads under way.
	Loads int
	// Queue is the most requests that wait.
	Queue int
	// Grace is how long an outdated version may still be started once a newer
	// one was named.
	Grace time.Duration
}

// Request asks for a start.
type Request struct {
	ID string
	// Adapter is model/adapter; empty when the base model alone is asked for.
	Adapter string
	// Rank orders waiting requests; 0 goes first.
	Rank int
	// Prompt is the number of tokens to read, Tokens the most memory it takes.
	Prompt int
	Tokens int
	// Parts are those of the prompt, in order.
	Parts []Part
	// Target is when its first event is hoped for: of equal ranks those that can
	// still be in time go first.
	Target time.Time
	// Latest is when a start is of no use any more.
	Latest time.Time
	// late is true once a start would miss the target.
	late bool
}

// Action is something that the owner must do.
type Action interface{ action() }

// Start lets a request run.
type Start struct {
	ID string
	// Version is the adapter's that it will meet, 0 without an adapter.
	Version int64
}

// Refuse ends a request that was not started.
type Refuse struct {
	ID     string
	Reason Reason
}

// Load orders the engine to load an adapter, or to replace the version it has.
type Load struct {
	Adapter string
	// Version is 0 when no version was named: the newest is then loaded.
	Version int64
}

// Unload orders the engine to drop an adapter.
type Unload struct{ Adapter string }

func (Start) action()  {}
func (Refuse) action() {}
func (Load) action()   {}
func (Unload) action() {}

// Reason says why a request was not started.
type Reason string

const (
	// ReasonFull means that too many requests wait.
	ReasonFull Reason = "queue_full"
	// ReasonLate means that its latest start has passed.
	ReasonLate Reason = "too_late"
	// ReasonLeaving means that the engine takes no new work.
	ReasonLeaving Reason = "leaving"
	// ReasonRestarted means that the engine has lost what it held.
	ReasonRestarted Reason = "engine_restarted"
)

// orderPatience is how long an order may take effect before it counts as lost:
// an accepted load takes some hundred milliseconds when the store is idle.
const orderPatience = 2 * time.Second

// refusalPause is how long the engine is left alone after it refused an order:
// about as long as a report and the order it was busy with take.
const refusalPause = 60 * time.Millisecond

// useHalfLife is how fast the worth of an adapter's past use fades. Popularity
// moves within seconds to minutes.
const useHalfLife = 8 * time.Second

type place struct {
	// version is what the engine holds, -1 while it holds none.
	version int64
	// ordered is a load or unload under way, and since when.
	loading, unloading bool
	since              time.Time
	pins               int
	// ending counts the ending requests that used it.
	ending int
	use    float64
	usedAt time.Time
}

type started struct {
	adapter string
	prompt  int
	tokens  int
	parts   []Part
	at      time.Time
	// begun is true once its first event was made; alone while no other prompt
	// was read beside its own.
	begun bool
	alone bool
	// seen is true once the engine has reported it.
	seen bool
	// missing counts reports without it.
	missing int
}

// Table is the state of one engine.
type Table struct {
	options Options
	places  map[string]*place
	waiting []Request
	started map[string]*started
	// ending are requests that their callers know to have ended and that the
	// engine may still run, by id.
	ending map[string]ending
	// foreign is how many requests the engine runs that this table has not
	// started: what they use is not known.
	foreign int
	tokens  int
	leaving bool
	// newest are the versions that were named, with when this table heard.
	newest map[string]named
	pace   pace
	pauses pauses
	// reserve is kept free for requests that can be in time.
	reserve reserve
	// parts are those that the engine has read, by adapter.
	parts map[string]map[string]bool
	// unloaded are the adapters that the engine has dropped, and when: a report
	// that was asked for before still shows them.
	unloaded map[string]time.Time
	// refusedUntil is when the next order may be given after a refusal.
	refusedUntil time.Time
}

type ending struct {
	adapter string
	at      time.Time
}

type named struct {
	version int64
	at      time.Time
}

// absent marks a place whose adapter the engine does not hold.
const absent = -1

// New returns a table for an engine that holds nothing.
func New(options Options) *Table {
	return &Table{options: options, places: make(map[string]*place), started: make(map[string]*started), ending: make(map[string]ending), newest: make(map[string]named), unloaded: make(map[string]time.Time), parts: make(map[string]map[string]bool), pauses: pauses{below: firstBelow}}
}

// SetOptions changes what is known of the engine.
func (t *Table) SetOptions(options Options) { t.options = options }

// Admit asks for a start.
func (t *Table) Admit(r Request, now time.Time) []Action {
	if t.leaving {
		return []Action{Refuse{ID: r.ID, Reason: ReasonLeaving}}
	}
	if len(t.waiting) >= t.options.Queue {
		return []Action{Refuse{ID: r.ID, Reason: ReasonFull}}
	}
	t.waiting = append(t.waiting, r)
	return t.plan(now)
}

// Cancel takes back a request that waits or was started.
func (t *Table) Cancel(id string, now time.Time) []Action {
	for i := range t.waiting {
		if t.waiting[i].ID == id {
			t.waiting = slices.Delete(t.waiting, i, i+1)
			return t.plan(now)
		}
	}
	return t.Done(id, now)
}

// Done tells that a started request has ended.
func (t *Table) Done(id string, now time.Time) []Action {
	s, ok := t.started[id]
	if !ok {
		return nil
	}
	delete(t.started, id)
	t.tokens -= s.tokens
	if p := t.places[s.adapter]; p != nil {
		p.pins--
		p.ending++
		p.touch(now, 0)
		t.ending[id] = ending{adapter: s.adapter, at: now}
	}
	return t.plan(now)
}

// Named tells that a newer version of an adapter exists.
func (t *Table) Named(adapter string, version int64, now time.Time) []Action {
	if version <= t.newest[adapter].version {
		return nil
	}
	t.newest[adapter] = named{version: version, at: now}
	return t.plan(now)
}

// Leave refuses all that waits and all that comes.
func (t *Table) Leave() []Action {
	t.leaving = true
	return t.refuseAll(ReasonLeaving)
}

// Restarted forgets the engine's state; what was started is lost with it.
func (t *Table) Restarted() []Action {
	t.places = make(map[string]*place)
	t.started, t.ending, t.foreign = make(map[string]*started), make(map[string]ending), 0
	clear(t.unloaded)
	t.tokens = 0
	t.leaving = false
	t.pace = t.pace.kept()
	t.parts = make(map[string]map[string]bool)
	return t.refuseAll(ReasonRestarted)
}

func (t *Table) refuseAll(reason Reason) []Action {
	actions := make([]Action, 0, len(t.waiting))
	for _, r := range t.waiting {
		actions = append(actions, Refuse{ID: r.ID, Reason: reason})
	}
	t.waiting = nil
	return actions
}

// Ordered tells how an order ended: an accepted one takes effect later and is
// seen in a report, a refused one never does.
func (t *Table) Ordered(adapter string, accepted bool, now time.Time) []Action {
	p := t.places[adapter]
	if p == nil || accepted {
		return nil
	}
	t.refusedUntil = now.Add(refusalPause)
	p.loading, p.unloading = false, false
	if p.version == absent && p.pins == 0 {
		delete(t.places, adapter)
	}
	return nil
}

// Unloaded tells that the engine has dropped an adapter.
func (t *Table) Unloaded(adapter string, now time.Time) []Action {
	if p := t.places[adapter]; p != nil && p.unloading && p.pins == 0 {
		delete(t.places, adapter)
		t.unloaded[adapter] = now
	}
	return t.plan(now)
}

// Tick lets time pass.
func (t *Table) Tick(now time.Time) []Action { return t.plan(now) }

// Waiting is the number of requests that wait; Running that were started.
func (t *Table) Waiting() int { return len(t.waiting) }

// Running is the number of requests that were started and have not ended.
func (t *Table) Running() int { return len(t.started) }

// Started is true for a request that was started and has not ended.
func (t *Table) Started(id string) bool { return t.started[id] != nil }

// Tokens is the most memory that what was started takes.
func (t *Table) Tokens() int { return t.tokens }

// Held lists the adapters that a request could start on now or soon. Stale ones
// are held in an outdated version and in use: the newer one can only come when
// that use ends, so that other engines serve sooner.
func (t *Table) Held(now time.Time) (held, stale []string) {
	for _, name := range t.sortedNames() {
		p := t.places[name]
		switch {
		case p.unloading:
		case p.version < t.newest[name].version && p.pins > 0:
			stale = append(stale, name)
		case p.loading || t.startable(name, p, now):
			held = append(held, name)
		}
	}
	return held, stale
}

// free is true when no request uses the adapter.
func (t *Table) free(p *place) bool { return p.pins == 0 && p.ending == 0 && t.foreign == 0 }

func (p *place) touch(now time.Time, by float64) {
	p.use = p.worth(now) + by
	p.usedAt = now
}

func (p *place) worth(now time.Time) float64 {
	halves := float64(now.Sub(p.usedAt)) / float64(useHalfLife)
	if halves > 60 {
		return 0
	}
	w := p.use
	for ; halves >= 1; halves-- {
		w /= 2
	}
	return w * (1 - halves/2)
}

// sortedNames gives a fixed order, so that equal inputs give equal actions.
func (t *Table) sortedNames() []string {
	names := make([]string, 0, len(t.places))
	for name := range t.places {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
