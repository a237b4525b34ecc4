// Package capacity estimates how long work takes on a machine at this moment, as
// a factor of its baseline: 1 is normal, 2.5 means that everything takes two and
// a half times as long.
//
// Machines that are shared with other workloads change their speed several times
// a second. Speed is a pure state machine: it takes what was observed, with its
// time, and returns estimates.
package capacity

import (
	"math"
	"slices"
	"time"
)

// Source selects the observations from which the factor is estimated.
type Source uint8

const (
	// SourceBoth uses a recent value that the server itself reports, and otherwise
	// the progress of its work.
	SourceBoth Source = iota
	// SourceProgress uses only the progress of the server's work.
	SourceProgress
	// SourceTold uses only the values that the server itself reports.
	SourceTold
	// SourceNone uses nothing: the factor is always 1.
	SourceNone
)

// Options selects how the factor is estimated.
type Options struct {
	Source Source
	// OnlyIfTold makes progress count only once the server has reported its speed.
	// The speed of other servers is assumed to be constant.
	OnlyIfTold bool
}

const (
	// MinFactor and MaxFactor bound the factor.
	MinFactor = 0.2
	MaxFactor = 8.0
	// freshness is the age up to which a value is used as it is. Older ones decay
	// towards 1 with the given half-life: phases last 0.2 to 0.7 s.
	freshness = 100 * time.Millisecond
	halfLife  = 300 * time.Millisecond
	// window is the time before now in which the steps in use lie, and readWindow the
	// age up to which a read counts. minWindow is the least time that they must cover:
	// a report covers 0 to 4 steps, and fewer than three reports determine the step
	// time only within a factor of 2.
	window     = 160 * time.Millisecond
	readWindow = 100 * time.Millisecond
	minWindow  = 90 * time.Millisecond
	// maxReportGap is the time between two reports, and the delay of a report, above
	// which reports are not compared.
	maxReportGap = 200 * time.Millisecond
	// joinReads is the time for which a prompt that was read does not count while
	// others are unread: prompts that are read in one piece end together.
	joinReads = 15 * time.Millisecond
)

// Run is a run that a server reports, with the number of events that it has made.
type Run struct {
	ID     string
	Events int
}

// sample is an interval in which the server did a known amount of work, given as the
// time that the work takes at baseline speed.
type sample struct {
	at         time.Time
	took, work time.Duration
	read       bool
}

// outdated reports whether the sample no longer counts.
func (n *sample) outdated(now time.Time) bool {
	if n.read {
		return now.Sub(n.at) > readWindow
	}
	return now.Sub(n.at)+n.took > window
}

// Speed estimates the factor of one server. It is not safe for concurrent use.
type Speed struct {
	options  Options
	baseline baseline
	// events holds the events of the runs in the latest report, and reportedAt its
	// time; zero when the next report has no predecessor.
	events     map[string]int
	reportedAt time.Time
	samples    []sample
	// pending is the lower bound of the factor that follows from the prompts that are
	// unread; 0 for none.
	pending   float64
	pendingAt time.Time
	// unread is set while a prompt is unread; interrupted is set once one was unread
	// or read since the latest report.
	unread      bool
	interrupted bool
	progress    reading
	told        reading
	// tells is set once the server has reported its speed.
	tells        bool
	plausibility plausibility
	phases       phases
	// deltas is reused between reports.
	deltas []int
}

// reading is an estimate with the time of the data behind it.
type reading struct {
	factor float64
	at     time.Time
}

// New returns an estimator without data.
func New(options Options) *Speed {
	return &Speed{options: options, events: make(map[string]int), phases: phases{mean: initialPhase}}
}

// SetOptions selects how the factor is estimated from now on.
func (s *Speed) SetOptions(options Options) { s.options = options }

// Report records a report of the runs on the server that was requested at the
// given time. unread is set while a prompt may be unread, since no run makes an
// event while the server reads one.
func (s *Speed) Report(runs []Run, unread bool, requestedAt, now time.Time) {
	gap := requestedAt.Sub(s.reportedAt)
	if now.Sub(requestedAt) > maxReportGap {
		s.reportedAt, s.unread, s.interrupted = time.Time{}, unread, unread
		s.baseline.interrupt()
		return
	}
	for _, r := range runs {
		unread = unread || r.Events == 0
	}
	comparable := !s.reportedAt.IsZero() && gap > 0 && gap <= maxReportGap && !unread && !s.interrupted
	steps, common := s.steps(runs)
	s.reportedAt, s.unread, s.interrupted = requestedAt, unread, unread
	if !comparable || !common {
		s.baseline.interrupt()
		s.estimate(now)
		return
	}
	s.baseline.add(gap, steps)
	if step := s.baseline.step; step > 0 {
		s.add(sample{at: requestedAt, took: gap, work: time.Duration(steps) * step})
	}
	s.estimate(now)
}

// steps returns the median number of events that the runs present in this report
// and the one before it made between them, and keeps the events of this one.
func (s *Speed) steps(runs []Run) (steps int, common bool) {
	s.deltas = s.deltas[:0]
	for _, r := range runs {
		if before, known := s.events[r.ID]; known && before > 0 && r.Events >= before {
			s.deltas = append(s.deltas, r.Events-before)
		}
	}
	clear(s.events)
	for _, r := range runs {
		s.events[r.ID] = r.Events
	}
	if len(s.deltas) == 0 {
		return 0, false
	}
	slices.Sort(s.deltas)
	return s.deltas[len(s.deltas)/2], true
}

// Read records that a prompt was read between two times. work is how long reading it
// takes at baseline speed. unread is set while other prompts are unread.
func (s *Speed) Read(from, at time.Time, work time.Duration, unread bool) {
	s.unread, s.interrupted = unread, true
	if work <= 0 || at.Before(from) {
		return
	}
	s.pending = 0
	s.add(sample{at: at, took: at.Sub(from), work: work, read: true})
	if !unread {
		s.estimate(at)
	}
}

// Unread records that prompts have been unread since the server began to read them.
// work is how long reading them takes at baseline speed.
func (s *Speed) Unread(since time.Time, work time.Duration, now time.Time) {
	s.pending = 0
	if work > 0 && now.Sub(since) > work {
		s.pending, s.pendingAt = float64(now.Sub(since))/float64(work), now
	}
}

func (s *Speed) add(n sample) { s.samples = append(s.samples, n) }

// estimate updates the factor from the progress.
func (s *Speed) estimate(now time.Time) {
	s.samples = slices.DeleteFunc(s.samples, func(n sample) bool { return n.outdated(now) })
	factor, at, ok := s.mean(now, false)
	switch {
	case ok && factor > 0:
		s.progress = reading{factor: factor, at: at}
	case ok:
		// The streams are halted because their callers do not read. This says nothing
		// about the speed, and neither did the estimate while the halt began.
		s.progress = reading{}
	}
	// Reads are left out: their baseline is corrected by the reported factors.
	if factor, _, ok := s.mean(now, true); ok && factor > 0 {
		s.plausibility.observe(factor)
	}
	s.phases.observe(s.Factor(now), now)
}

// mean returns the factor that follows from the samples in the window, 0 if no work was
// done in it, and the time of the latest sample. ok is false if the samples cover too
// little time. stepsOnly leaves reads out.
func (s *Speed) mean(now time.Time, stepsOnly bool) (factor float64, at time.Time, ok bool) {
	var took, work time.Duration
	for _, n := range s.samples {
		if n.outdated(now) || n.read && (stepsOnly || s.unread && now.Sub(n.at) < joinReads) {
			continue
		}
		took, work = took+n.took, work+n.work
		if n.at.After(at) {
			at = n.at
		}
	}
	if took < minWindow && work < minWindow {
		return 0, at, false
	}
	if work <= 0 {
		return 0, at, true
	}
	return bound(float64(took) / float64(work)), at, true
}

// Told records a factor that the server reported at a time, in percent. Values of 0 and
// less mean that it reported none.
func (s *Speed) Told(percent int, at, now time.Time) {
	if percent <= 0 || at.Before(s.told.at) {
		return
	}
	if at.After(now) {
		at = now
	}
	factor := bound(float64(percent) / 100)
	s.told, s.tells = reading{factor: factor, at: at}, true
	if s.options.Source == SourceBoth {
		s.plausibility.compare(factor, now)
	}
	s.phases.observe(s.Factor(now), now)
}

// Factor returns the current factor; 1 without data.
func (s *Speed) Factor(now time.Time) float64 {
	r, told := s.latest(now)
	factor := r.decayed(now)
	if s.usesProgress() && !told && s.pending > factor && now.Sub(s.pendingAt) <= freshness {
		factor = bound(s.pending)
	}
	return factor
}

// Age returns the age of the data behind the factor; ok is false without data.
func (s *Speed) Age(now time.Time) (age time.Duration, ok bool) {
	r, _ := s.latest(now)
	if r.at.IsZero() {
		return 0, false
	}
	return max(now.Sub(r.at), 0), true
}

func (s *Speed) usesProgress() bool {
	if s.options.OnlyIfTold && !s.tells {
		return false
	}
	return s.options.Source == SourceBoth || s.options.Source == SourceProgress
}

// latest returns the reading behind the factor, and whether the server reported it.
func (s *Speed) latest(now time.Time) (r reading, told bool) {
	if s.options.OnlyIfTold && !s.tells {
		return reading{}, false
	}
	switch s.options.Source {
	case SourceNone:
		return reading{}, false
	case SourceProgress:
		return s.progress, false
	case SourceTold:
		return s.told, true
	}
	if s.plausibility.active(now) {
		return s.progress, false
	}
	if !s.told.at.IsZero() && (now.Sub(s.told.at) <= freshness || s.told.at.After(s.progress.at)) {
		return s.told, true
	}
	return s.progress, false
}

// IndependentFactor returns the factor without what was derived from the reading
// of prompts. It is for the correction of samples of the reading rate: a factor derived
// from the same samples would cancel out, and a change of the rate would never be
// learned.
func (s *Speed) IndependentFactor(now time.Time) float64 {
	told := s.told
	if s.options.Source == SourceNone || s.options.Source == SourceProgress || s.plausibility.active(now) {
		told = reading{}
	}
	if s.usesProgress() && (told.at.IsZero() || now.Sub(told.at) > freshness) {
		if factor, at, ok := s.mean(now, true); ok && factor > 0 && at.After(told.at) {
			return reading{factor: factor, at: at}.decayed(now)
		}
	}
	return told.decayed(now)
}

// Step returns the time of a step at baseline speed; 0 while unknown.
func (s *Speed) Step() time.Duration { return s.baseline.step }

// Doubts returns how often the reported factors were found false.
func (s *Speed) Doubts() int { return s.plausibility.doubts }

// SlowLeft returns how long the current slow phase is expected to last.
func (s *Speed) SlowLeft(now time.Time) time.Duration { return s.phases.left(now) }

// Restarted discards what was observed of a server that has restarted. The
// baseline remains: it runs on the same machine.
func (s *Speed) Restarted() {
	clear(s.events)
	s.reportedAt, s.unread, s.interrupted, s.pending = time.Time{}, false, false, 0
	s.samples = s.samples[:0]
	s.progress, s.told, s.tells = reading{}, reading{}, false
	s.plausibility.toldAt, s.plausibility.seen, s.plausibility.n = time.Time{}, 0, 0
	s.baseline.interrupt()
	s.phases.since = time.Time{}
}

// decayed returns the factor, decayed towards 1 by its age.
func (r reading) decayed(now time.Time) float64 {
	if r.at.IsZero() {
		return 1
	}
	age := max(now.Sub(r.at)-freshness, 0)
	return bound(1 + (r.factor-1)*math.Exp2(-float64(age)/float64(halfLife)))
}

func bound(factor float64) float64 { return min(max(factor, MinFactor), MaxFactor) }
