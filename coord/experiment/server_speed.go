package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/capacity"
	"github.com/rosemarypass/rosemarypass/coord/residency"
)

// SpeedLoad describes engines whose machines are slow for some of the time, and the
// streams that callers ask them for.
type SpeedLoad struct {
	Engines, Entries, Batch int
	// Rate is the number of requests per second and engine. Prompts have MinPrompt to
	// MaxPrompt tokens, evenly by their logarithm.
	Rate                 float64
	MinPrompt, MaxPrompt int
	// Events is the mean number of events of a stream.
	Events int
	// Slow is the factor of slow phases, SlowFor their length. CalmFor is the mean
	// length of the phases between them; 0 for none in which case a machine is never
	// slow.
	Slow             float64
	SlowFor, CalmFor time.Duration
	// Target is the time within which the first event is due, Gap the longest pause
	// allowed between two events, Patience the time after which a caller without an
	// event leaves.
	Target, Gap, Patience time.Duration
	// ViewEvery is the interval at which an entry learns the state of an engine that
	// it asks for no start.
	ViewEvery time.Duration
	// Holders is the number of engines that can serve a request.
	Holders int
	// Warm is the time before requests count, Length that in which they do.
	Warm, Length time.Duration
}

// SlowPhases returns 47 engines that are slow for half of the time.
func SlowPhases(rate float64) SpeedLoad {
	return SpeedLoad{
		Engines: 47, Entries: 14, Batch: 64, Rate: rate, MinPrompt: 200, MaxPrompt: 5000, Events: 40,
		Slow: 2.5, SlowFor: 600 * time.Millisecond, CalmFor: 600 * time.Millisecond,
		Target: time.Second, Gap: 300 * time.Millisecond, Patience: 4 * time.Second, ViewEvery: 500 * time.Millisecond,
		Holders: 4, Warm: 10 * time.Second, Length: 20 * time.Second,
	}
}

// SpeedPolicy selects how the current speed of an engine is used.
type SpeedPolicy struct {
	Source capacity.Source
	Pace   residency.PacePolicy
	Hold   residency.HoldPolicy
	// Avoid makes entries choose by the speed and the holds that agents publish.
	Avoid bool
	// False, unless 0, is the speed in percent that all engines report regardless of their own.
	False int
}

// SpeedResult counts what callers got. A request is on time if its first event met
// the target and no pause exceeded the allowed one.
type SpeedResult struct {
	Asked, OnTime, LateFirst, LatePause, LateBoth, Refused int
	Declined, Held, HeldToEnd, Doubts                      int
}

// OnTimeShare returns the share of the requests that were on time, in percent.
func (r SpeedResult) OnTimeShare() float64 { return 100 * float64(r.OnTime) / float64(max(r.Asked, 1)) }

const (
	// speedStep is the time of an engine's step at normal speed, speedRead the time
	// to read a token.
	speedStep = 18 * time.Millisecond
	speedRead = time.Millisecond / 20
	// speedChunk is the number of prompt tokens that are read in one piece.
	speedChunk = 4096
	// speedOffers is the number of offers that agents may decline.
	speedOffers = 3
)

type speedFleet struct {
	clock
	load     SpeedLoad
	policy   SpeedPolicy
	arrivals *rand.Rand
	engines  []*speedEngine
	views    [][]speedView
	requests int
	result   SpeedResult
}

// speedView is what an entry knows of an engine.
type speedView struct {
	delay, promptTime time.Duration
	slow              float64
	above             int
	hold              time.Duration
	sent              int
	at                time.Duration
}

type speedRequest struct {
	id             string
	entry          int
	holders        []int
	prompt, unread int
	events, made   int
	offers         int
	arrived        time.Duration
	eventAt        time.Duration
	first, longest time.Duration
}

func (r *speedRequest) counts(load *SpeedLoad) bool { return r.arrived >= load.Warm }

type speedEngine struct {
	fleet *speedFleet
	index int
	table *residency.Table
	// changes are the times at which slow phases begin and end, in turns.
	changes []time.Duration
	waiting map[string]*speedRequest
	// unread are the prompts in the order of their start, reading those whose last
	// piece is read in the current step, and streams the running requests past them.
	unread, reading, streams []*speedRequest
	stepping                 bool
	ticking                  bool
}

// RunSpeed simulates a load in virtual time.
func RunSpeed(load SpeedLoad, policy SpeedPolicy, seed uint64) SpeedResult {
	f := &speedFleet{load: load, policy: policy, arrivals: newRand(seed, 1)}
	end := load.Warm + load.Length
	phases := newRand(seed, 2)
	for i := range load.Engines {
		e := &speedEngine{fleet: f, index: i, waiting: make(map[string]*speedRequest)}
		e.changes = load.drawPhases(phases, end+time.Minute)
		e.table = residency.New(residency.Options{Batch: load.Batch, MemoryTokens: 10_000_000, Queue: 8 * load.Batch,
			Speed: capacity.Options{Source: policy.Source}, Pace: policy.Pace, Hold: policy.Hold})
		f.engines = append(f.engines, e)
		f.after(time.Duration(phases.Int64N(int64(engineReportEvery))), func() { f.every(engineReportEvery, e.report) })
	}
	f.views = make([][]speedView, load.Entries)
	for i := range f.views {
		f.views[i] = make([]speedView, load.Engines)
		for j := range f.engines {
			f.after(time.Duration(phases.Int64N(int64(load.ViewEvery))), func() {
				f.every(load.ViewEvery, func() { f.learn(i, j) })
			})
		}
	}
	f.nextArrival(end)
	f.run(end + 15*time.Second)
	for _, e := range f.engines {
		held, toEnd := e.table.Holds()
		f.result.Held, f.result.HeldToEnd = f.result.Held+held, f.result.HeldToEnd+toEnd
		f.result.Doubts += e.table.SpeedDoubts()
	}
	return f.result
}

// drawPhases draws the changes between calm and slow phases of a machine.
func (l *SpeedLoad) drawPhases(random *rand.Rand, until time.Duration) []time.Duration {
	var changes []time.Duration
	if l.CalmFor == 0 {
		return nil
	}
	for at := time.Duration(random.Int64N(int64(l.SlowFor + l.CalmFor))); at < until; {
		changes = append(changes, at, at+l.SlowFor)
		at += l.SlowFor + l.CalmFor/2 + time.Duration(random.Int64N(int64(l.CalmFor)))
	}
	return changes
}

// factor returns the factor of the machine at a time, and when it changes next.
func (e *speedEngine) factor(at time.Duration) (float64, time.Duration) {
	next, exact := slices.BinarySearch(e.changes, at)
	if exact {
		next++
	}
	until := time.Duration(math.MaxInt64)
	if next < len(e.changes) {
		until = e.changes[next]
	}
	if next%2 == 1 {
		return e.fleet.load.Slow, until
	}
	return 1, until
}

// takes returns how long work of the given time at normal speed takes from now.
func (e *speedEngine) takes(work time.Duration) time.Duration {
	at := e.fleet.at
	for {
		factor, until := e.factor(at)
		needed := time.Duration(float64(work) * factor)
		if needed <= until-at {
			return at + needed - e.fleet.at
		}
		work -= time.Duration(float64(until-at) / factor)
		at = until
	}
}

func (f *speedFleet) nextArrival(end time.Duration) {
	rate := f.load.Rate * float64(f.load.Engines)
	f.after(time.Duration(f.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.at >= end {
			return
		}
		f.requests++
		size := float64(f.load.MinPrompt) * math.Pow(float64(f.load.MaxPrompt)/float64(f.load.MinPrompt), f.arrivals.Float64())
		r := &speedRequest{id: fmt.Sprint(f.requests), entry: f.arrivals.IntN(f.load.Entries), holders: f.arrivals.Perm(f.load.Engines)[:f.load.Holders],
			prompt: int(size), unread: int(size), events: f.load.Events/2 + f.arrivals.IntN(f.load.Events), arrived: f.at}
		if r.counts(&f.load) {
			f.result.Asked++
		}
		f.offer(r)
		f.nextArrival(end)
	})
}

// learn brings what an entry knows of an engine up to date.
func (f *speedFleet) learn(entry, engine int) {
	t, now := f.engines[engine].table, f.now()
	above, hold := t.Hold(now)
	f.views[entry][engine] = speedView{delay: t.Delay(now)[0], promptTime: t.PromptCost(now), slow: float64(t.SlowPercent(now)) / 100, above: above, hold: hold, at: f.at}
}

// estimate returns when an engine would make the request's first event, as its entry
// sees it, and the part of it that is the delay of its start.
func (f *speedFleet) estimate(r *speedRequest, engine int) (first, delay time.Duration) {
	v := &f.views[r.entry][engine]
	age := f.at - v.at
	delay = max(v.delay-age, 0) + time.Duration(v.sent)*v.promptTime/1000
	read := time.Duration(r.prompt) * speedRead
	if !f.policy.Avoid || v.slow == 0 {
		return delay + read, delay
	}
	factor := 1 + (v.slow-1)*math.Exp2(-age.Seconds()/0.3)
	read = time.Duration(float64(read) * factor)
	switch {
	case v.above > 0 && r.prompt > v.above:
		delay += max(v.hold-age, 0)
	case f.policy.Hold == residency.HoldNever && factor > 1.1 && read > f.load.Gap*9/10:
		// Without holds the prompt would stall the streams of the engine.
		read += max(300*time.Millisecond-age, 0)
	}
	return delay + read, delay
}

// offer offers a request to the engine that seems best.
func (f *speedFleet) offer(r *speedRequest) {
	left := r.arrived + f.load.Patience - f.at
	if left <= 0 {
		f.refused(r)
		return
	}
	best, lowest, second := -1, time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, i := range r.holders {
		first, _ := f.estimate(r, i)
		if first < lowest {
			best, lowest, second = i, first, lowest
		} else {
			second = min(second, first)
		}
	}
	_, delay := f.estimate(r, best)
	admit := residency.Request{ID: r.id, Prompt: r.prompt, Tokens: r.prompt, Gap: f.load.Gap,
		Target: f.now().Add(max(r.arrived+f.load.Target-f.at, 0)), StartDeadline: f.now().Add(left)}
	if r.offers < speedOffers {
		admit.MaxDelay = max(delay+second-lowest, 20*time.Millisecond)
	}
	r.offers++
	f.views[r.entry][best].sent += r.prompt
	e := f.engines[best]
	f.after(hop, func() {
		e.waiting[r.id] = r
		e.perform(e.table.Admit(admit, f.now()))
	})
}

func (f *speedFleet) refused(r *speedRequest) {
	if r.counts(&f.load) {
		f.result.Refused++
	}
}

func (e *speedEngine) perform(actions []residency.Action) {
	f := e.fleet
	for _, action := range actions {
		switch a := action.(type) {
		case residency.Start:
			r := e.waiting[a.ID]
			delete(e.waiting, a.ID)
			f.after(2*hop, func() {
				f.learn(r.entry, e.index)
				e.unread = append(e.unread, r)
				e.step()
			})
		case residency.Refuse:
			r := e.waiting[a.ID]
			delete(e.waiting, a.ID)
			f.after(hop, func() {
				f.learn(r.entry, e.index)
				if !a.Reason.Declined() {
					f.refused(r)
					return
				}
				f.result.Declined++
				f.offer(r)
			})
		}
	}
	if next := e.table.Next(); !next.IsZero() && !e.ticking {
		e.ticking = true
		f.after(max(next.Sub(f.now()), 5*time.Millisecond), func() {
			e.ticking = false
			e.perform(e.table.Tick(f.now()))
		})
	}
}

// step runs one step: it reads a piece of the unread prompts, and then each stream
// makes an event.
func (e *speedEngine) step() {
	if e.stepping || len(e.unread)+len(e.streams) == 0 {
		return
	}
	e.stepping = true
	f, room := e.fleet, speedChunk
	var read []*speedRequest
	for _, r := range e.unread {
		piece := min(r.unread, room)
		r.unread, room = r.unread-piece, room-piece
		if r.unread > 0 {
			break
		}
		read = append(read, r)
	}
	e.unread, e.reading = e.unread[len(read):], read
	f.after(e.takes(speedStep+time.Duration(speedChunk-room)*speedRead), func() {
		e.streams, e.reading = append(e.streams, read...), nil
		e.streams = slices.DeleteFunc(e.streams, e.event)
		e.stepping = false
		e.step()
	})
}

// event makes an event of a stream and reports whether it was the last.
func (e *speedEngine) event(r *speedRequest) bool {
	f := e.fleet
	r.made++
	if r.made == 1 {
		r.first = f.at - r.arrived
		factor, _ := e.factor(f.at)
		percent := int(100 * factor)
		if f.policy.False > 0 {
			percent = f.policy.False
		}
		told := f.now()
		f.after(2*hop, func() {
			e.table.Told(percent, told, f.now())
			e.table.FirstEvent(r.id, f.now())
		})
	} else {
		r.longest = max(r.longest, f.at-r.eventAt)
	}
	r.eventAt = f.at
	if r.made < r.events {
		return false
	}
	f.ended(r)
	f.after(2*hop, func() {
		e.table.RecordPause(r.longest, f.load.Gap)
		e.perform(e.table.Done(r.id, f.now()))
	})
	return true
}

func (f *speedFleet) ended(r *speedRequest) {
	if !r.counts(&f.load) {
		return
	}
	lateFirst, latePause := r.first > f.load.Target, r.longest > f.load.Gap
	switch {
	case lateFirst && latePause:
		f.result.LateBoth++
	case lateFirst:
		f.result.LateFirst++
	case latePause:
		f.result.LatePause++
	default:
		f.result.OnTime++
	}
}

// report passes the engine's report to its agent.
func (e *speedEngine) report() {
	now := e.fleet.now()
	report := residency.Report{Running: make(map[string]bool), Events: make(map[string]int), RequestedAt: now}
	for _, r := range slices.Concat(e.unread, e.reading) {
		report.Running[r.id], report.Events[r.id] = true, 0
	}
	for _, r := range e.streams {
		report.Running[r.id], report.Events[r.id] = true, r.made
	}
	e.perform(e.table.Apply(report, now))
}
