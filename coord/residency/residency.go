// Package residency decides for one engine which adapters it holds and which
// request starts when. The engine replaces an adapter by a newer version in
// place, accepts a few loads at a time, and crashes when it is ordered to hold
// more adapters than it has capacity for. The engine's own report is the source
// of truth for the table.
//
// Table is a pure state machine: it takes events with their time and returns
// actions. It never unloads an adapter that a request uses or waits for, and
// never orders more adapters than the engine has capacity for.
package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/capacity"
	"github.com/rosemarypass/rosemarypass/coord/fairshare"
)

// Options describes the engine.
type Options struct {
	// MaxAdapters is the maximum number of adapters that the engine holds, including
	// loads in progress.
	MaxAdapters int
	// Batch is the maximum number of requests that run at once.
	Batch int
	// MemoryTokens bounds the total tokens of all running requests.
	MemoryTokens int
	// Loads is the maximum number of loads in progress.
	Loads int
	// Queue is the maximum number of waiting requests.
	Queue int
	// Grace is how long requests may still start on an outdated version after a
	// newer one was announced.
	Grace time.Duration
	// Shares makes ranks and the shares of teams decide while there is too little room.
	// Without it, requests go by rank, target and arrival, and late requests of all
	// ranks have one common reserve.
	Shares bool
	// Speed selects how the speed of the engine's machine is estimated, Pace whether
	// it paces the starts, and Hold what happens to prompts that would stall streams
	// in a slow phase.
	Speed capacity.Options
	Pace  PacePolicy
	Hold  HoldPolicy
}

// Request is a request to be started on the engine.
type Request struct {
	ID string
	// Adapter is model/adapter; empty when only the base model is requested.
	Adapter string
	// Rank orders waiting requests; 0 goes first. Among equal ranks, teams take turns.
	Rank int
	Team string
	// Prompt is the number of prompt tokens, Tokens the maximum memory that the
	// request takes, in tokens.
	Prompt int
	Tokens int
	// Target is the target time of the first event. Among equal ranks, requests
	// that can still meet their target go first.
	Target time.Time
	// StartDeadline is the time after which the request is no longer started.
	StartDeadline time.Time
	// MaxDelay is the delay of the start beyond which the request is refused at
	// once, since another engine would serve it sooner; 0 for no limit.
	MaxDelay time.Duration
	// OnlyIfHeld refuses the request at once unless the engine holds its adapter or
	// is loading it.
	OnlyIfHeld bool
	// Gap is the longest pause between two events that the route allows; 0 for no
	// limit.
	Gap time.Duration
	// heldSince is when the start was first held because it would stall streams; zero
	// before that.
	heldSince time.Time
	// Share is the use of the team as a percentage of an equal part of the use of all
	// teams; 0 when unknown. Among equal ranks, teams within their share go first.
	Share int
	// BehindUntil is the time until which the request goes behind all others of its rank,
	// because its caller returned too soon.
	BehindUntil time.Time
	// turn counts the requests of the same team that wait before it among equals.
	turn int
	// admitted numbers the requests in the order in which they were admitted.
	admitted   uint64
	admittedAt time.Time
	// due is set if the request goes first because it is the turn of its rank.
	due bool
	// late is set once a start would miss the target.
	late bool
}

// Action is an instruction to the owner of the table.
type Action interface{ action() }

// Start starts a request.
type Start struct {
	ID string
	// Version is the adapter version that the request runs on, 0 without an
	// adapter.
	Version int64
}

// Refuse ends a request that was not started.
type Refuse struct {
	ID     string
	Reason Reason
	// To describes why the request gave way to another one; nil unless Reason is
	// ReasonGaveWay.
	To *GaveWay
}

// Load orders the engine to load an adapter, or to replace the version it
// holds.
type Load struct {
	Adapter string
	// Version is 0 when no version was announced: the newest is loaded then.
	Version int64
}

// Unload orders the engine to drop an adapter.
type Unload struct{ Adapter string }

func (Start) action()  {}
func (Refuse) action() {}
func (Load) action()   {}
func (Unload) action() {}

// Reason is the reason why a request was not started.
type Reason string

const (
	// ReasonFull means that the queue is full.
	ReasonFull Reason = "queue_full"
	// ReasonGaveWay means that the queue is full and a request arrived that goes first
	// by its rank or by the share of its team.
	ReasonGaveWay Reason = "gave_way"
	// ReasonBusy means that the start would be delayed beyond the request's
	// MaxDelay.
	ReasonBusy Reason = "busy"
	// ReasonNotHeld means that the engine does not hold the adapter although the
	// request asks for that.
	ReasonNotHeld Reason = "not_held"
	// ReasonLate means that the request's StartDeadline has passed.
	ReasonLate Reason = "too_late"
	// ReasonLeaving means that the engine accepts no new requests.
	ReasonLeaving Reason = "leaving"
	// ReasonRestarted means that the engine restarted and lost its state.
	ReasonRestarted Reason = "engine_restarted"
)

// Declined reports whether the request was not taken because its own conditions
// were not met: another engine is likely to serve it sooner.
func (r Reason) Declined() bool { return r == ReasonBusy || r == ReasonNotHeld }

// orderTimeout is how long an order has to take effect before it counts as
// lost: an accepted load takes a few hundred milliseconds when the store is
// idle.
const orderTimeout = 2 * time.Second

// refusalBackoff is how long no orders are sent to the engine after it refused
// one: about as long as a report and the order that kept it busy take.
const refusalBackoff = 60 * time.Millisecond

// useHalfLife is the half-life of the weight of an adapter's past use.
// Popularity changes within seconds to minutes.
const useHalfLife = 8 * time.Second

type adapterState struct {
	// version is the version that the engine holds, or absent.
	version int64
	// loading and unloading are set while an order of that kind is in progress, and
	// since is when it was given.
	loading, unloading bool
	since              time.Time
	pins               int
	// ending counts the requests in Table.ending that used the adapter.
	ending int
	use    float64
	usedAt time.Time
}

type startedRequest struct {
	adapter string
	prompt  int
	tokens  int
	at      time.Time
	// prefilled is set once the request has produced its first event, which means
	// that its prompt is read; alone stays set while no other prompt is read at the
	// same time.
	prefilled bool
	alone     bool
	// read is set once the prompt is known to be read, from an event or a report. gap
	// is the longest pause between two events that the route allows; 0 for no limit.
	read bool
	gap  time.Duration
	// seen is set once the engine has reported the request.
	seen bool
	// missing counts consecutive reports that lack the request.
	missing int
}

// Table is the state of one engine. It is not safe for concurrent use.
type Table struct {
	options  Options
	adapters map[string]*adapterState
	waiting  []Request
	started  map[string]*startedRequest
	// ending holds, by ID, requests that have ended for their callers but that
	// the engine may still be running.
	ending map[string]ending
	// foreign is the number of requests that the engine runs and this table has
	// not started. Which adapters they use is unknown.
	foreign int
	tokens  int
	leaving bool
	// newest holds the newest announced version of each adapter and the earliest time
	// at which anybody is known to have learned of it.
	newest   map[string]announcedVersion
	pacer    pacer
	pauses   pauses
	turnover turnover
	// speed estimates the current speed of the engine's machine.
	speed *capacity.Speed
	// readAt is when the latest prompt was read, reportedAt the time of the latest
	// report with events, and runs is reused between reports.
	readAt, reportedAt time.Time
	runs               []capacity.Run
	// published is the factor that was last published.
	published float64
	// held counts the prompts that were held, heldToEnd those started because they
	// had been held for maxHold.
	held, heldToEnd int
	// reserves are the parts of the batch that are kept free for requests that can
	// still meet their target.
	reserves reserves
	// ranks gives turns to less urgent ranks.
	ranks fairshare.RankTurns
	// lastWaiting is the precedence of the last waiting request that could start if
	// there were room.
	lastWaiting int
	// turns counts the waiting requests of each team. It is reused: a new map for each
	// decision allocates 100 kB at 512 waiting requests.
	turns map[turnClass]int
	// told averages the shares of teams.
	told fairshare.Told
	// waitingRanks holds the ranks of the requests that could start if there were room;
	// it is empty while only one rank waits.
	waitingRanks []int
	// admitted counts the requests that were queued.
	admitted uint64
	// unloaded holds the adapters that the engine has dropped, and when: a report
	// that was requested earlier still lists them.
	unloaded map[string]time.Time
	// refusedUntil is the earliest time for the next order after a refusal.
	refusedUntil time.Time
}

type ending struct {
	adapter string
	at      time.Time
}

type announcedVersion struct {
	version int64
	at      time.Time
}

// absent is the version of an adapter that the engine does not hold.
const absent = -1

// New returns a table for an engine that holds no adapters.
func New(options Options) *Table {
	return &Table{options: options, adapters: make(map[string]*adapterState), started: make(map[string]*startedRequest), ending: make(map[string]ending), newest: make(map[string]announcedVersion), unloaded: make(map[string]time.Time), pauses: pauses{reduction: initialReduction},
		speed: capacity.New(options.Speed), published: 1, reserves: make(reserves)}
}

// SetOptions replaces the description of the engine.
func (t *Table) SetOptions(options Options) {
	t.options = options
	t.speed.SetOptions(options.Speed)
}

// Admit queues a request, which starts as soon as the engine can run it.
func (t *Table) Admit(r Request, now time.Time) []Action {
	if t.leaving {
		return []Action{Refuse{ID: r.ID, Reason: ReasonLeaving}}
	}
	if !t.options.Shares {
		r.Share, r.BehindUntil = 0, time.Time{}
	}
	t.ranks.Arrived(r.Rank, now)
	r.Share = t.told.Add(r.Team, r.Share, now)
	full := len(t.waiting) >= t.options.Queue
	if full && (!t.options.Shares || t.givesWayTo(&r) < 0) {
		return []Action{Refuse{ID: r.ID, Reason: ReasonFull}}
	}
	if reason := t.decline(&r, now); reason != "" {
		return []Action{Refuse{ID: r.ID, Reason: reason}}
	}
	var actions []Action
	if full {
		actions = append(actions, t.giveWay(t.givesWayTo(&r), &r))
	}
	t.admitted++
	r.admitted, r.admittedAt = t.admitted, now
	t.waiting = append(t.waiting, r)
	return append(actions, t.plan(now)...)
}

// decline returns the reason for which a request is not taken under its conditions;
// empty when it is.
func (t *Table) decline(r *Request, now time.Time) Reason {
	expected := r.Adapter == "" || t.expects(r.Adapter, now)
	if r.OnlyIfHeld && !expected {
		return ReasonNotHeld
	}
	if r.MaxDelay == 0 {
		return ""
	}
	delay := t.delayUpTo(r.level(), now)[min(r.Rank, Ranks-1)]
	if !expected {
		delay += t.SlotDelay()
	}
	// Up to nearBaseline no hold is published, and entries take a decline that the state
	// does not explain for a false report.
	if t.stalls(r, now) && t.speed.Factor(now) > nearBaseline {
		delay += t.speed.SlowLeft(now)
	}
	if delay > r.MaxDelay {
		return ReasonBusy
	}
	return ""
}

// Cancel withdraws a waiting or started request.
func (t *Table) Cancel(id string, now time.Time) []Action {
	for i := range t.waiting {
		if t.waiting[i].ID == id {
			t.waiting = slices.Delete(t.waiting, i, i+1)
			return t.plan(now)
		}
	}
	return t.Done(id, now)
}

// Done records that a started request has ended.
func (t *Table) Done(id string, now time.Time) []Action {
	s, ok := t.started[id]
	if !ok {
		return nil
	}
	t.turnover.advance(len(t.started), now)
	t.turnover.recordEnd()
	delete(t.started, id)
	t.tokens -= s.tokens
	if a := t.adapters[s.adapter]; a != nil {
		a.pins--
		a.ending++
		a.touch(now, 0)
		t.ending[id] = ending{adapter: s.adapter, at: now}
	}
	return t.plan(now)
}

// VersionAnnounced records that a version of an adapter was announced, at a time or
// earlier. Others may have learned of it before this table: the grace period counts from
// the earliest time.
func (t *Table) VersionAnnounced(adapter string, version int64, at, now time.Time) []Action {
	known := t.newest[adapter]
	if version < known.version || version == known.version && !at.Before(known.at) {
		return nil
	}
	t.newest[adapter] = announcedVersion{version: version, at: at}
	return t.plan(now)
}

// Leave refuses all waiting requests and all later ones.
func (t *Table) Leave() []Action {
	t.leaving = true
	return t.refuseAll(ReasonLeaving)
}

// Restarted resets the engine's state; started requests are lost with it.
func (t *Table) Restarted() []Action {
	t.adapters = make(map[string]*adapterState)
	t.turnover.at = time.Time{}
	t.started, t.ending, t.foreign = make(map[string]*startedRequest), make(map[string]ending), 0
	clear(t.unloaded)
	t.tokens = 0
	t.leaving = false
	t.pacer = t.pacer.retained()
	t.speed.Restarted()
	t.readAt, t.reportedAt = time.Time{}, time.Time{}
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

// OrderAnswered records the engine's answer to an order. An accepted order takes
// effect later and shows in a report; a refused one never takes effect.
func (t *Table) OrderAnswered(adapter string, accepted bool, now time.Time) []Action {
	a := t.adapters[adapter]
	if a == nil || accepted {
		return nil
	}
	t.refusedUntil = now.Add(refusalBackoff)
	a.loading, a.unloading = false, false
	if a.version == absent && a.pins == 0 {
		delete(t.adapters, adapter)
	}
	return nil
}

// Unloaded records that the engine has dropped an adapter.
func (t *Table) Unloaded(adapter string, now time.Time) []Action {
	if a := t.adapters[adapter]; a != nil && a.unloading && a.pins == 0 {
		delete(t.adapters, adapter)
		t.unloaded[adapter] = now
	}
	return t.plan(now)
}

// Tick advances the time.
func (t *Table) Tick(now time.Time) []Action { return t.plan(now) }

// Waiting returns the number of waiting requests.
func (t *Table) Waiting() int { return len(t.waiting) }

// Running returns the number of requests that were started and have not ended.
func (t *Table) Running() int { return len(t.started) }

// Started reports whether a request was started and has not ended.
func (t *Table) Started(id string) bool { return t.started[id] != nil }

// Loading reports whether the load of an adapter has been ordered and has not ended.
func (t *Table) Loading(adapter string) bool {
	a := t.adapters[adapter]
	return a != nil && a.loading
}

// Unloading reports whether the unload of an adapter has been ordered and has not ended.
func (t *Table) Unloading(adapter string) bool {
	a := t.adapters[adapter]
	return a != nil && a.unloading
}

// Tokens returns the maximum memory that the started requests take, in tokens.
func (t *Table) Tokens() int { return t.tokens }

// Held lists the adapters that a request could start on now or soon. Stale ones
// are held in an outdated version that is in use: the newer version can only be
// loaded once that use ends, so other engines serve sooner.
func (t *Table) Held(now time.Time) (held, stale []string) {
	for _, name := range t.sortedNames() {
		a := t.adapters[name]
		switch {
		case a.unloading:
		case a.version < t.newest[name].version && a.pins > 0:
			stale = append(stale, name)
		case t.expects(name, now):
			held = append(held, name)
		}
	}
	return held, stale
}

// expects reports whether a request for the adapter can start on it now or after
// a load in progress.
func (t *Table) expects(name string, now time.Time) bool {
	a := t.adapters[name]
	return a != nil && !a.unloading && (a.loading || t.startable(name, a, now))
}

// idle reports whether no request can be using the adapter.
func (t *Table) idle(a *adapterState) bool { return a.pins == 0 && a.ending == 0 && t.foreign == 0 }

func (a *adapterState) touch(now time.Time, by float64) {
	a.use = a.decayedUse(now) + by
	a.usedAt = now
}

func (a *adapterState) decayedUse(now time.Time) float64 {
	halfLives := float64(now.Sub(a.usedAt)) / float64(useHalfLife)
	if halfLives > 60 {
		return 0
	}
	w := a.use
	for ; halfLives >= 1; halfLives-- {
		w /= 2
	}
	return w * (1 - halfLives/2)
}

// sortedNames returns the adapter names in a fixed order, so that equal inputs
// give equal actions.
func (t *Table) sortedNames() []string {
	names := make([]string, 0, len(t.adapters))
	for name := range t.adapters {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
