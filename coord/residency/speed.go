package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/capacity"
)

// HoldPolicy selects what happens to a prompt whose reading would stall the engine's
// streams for longer than their routes allow.
type HoldPolicy uint8

const (
	// HoldAtEngine makes the prompt wait at the agent for a faster phase.
	HoldAtEngine HoldPolicy = iota
	// HoldNever starts the prompt; entries are expected to avoid engines in a slow
	// phase.
	HoldNever
)

// PacePolicy selects the speed by which starts are paced and delays published.
type PacePolicy uint8

const (
	// PaceBySpeed uses the current speed.
	PaceBySpeed PacePolicy = iota
	// PaceByBaseline uses the baseline.
	PaceByBaseline
)

const (
	// maxHold is how long a prompt is held at most: slow phases last 0.2 to 0.7 s.
	maxHold = time.Second
	// holdShare is the share of the allowed pause that a stall may take; the rest is
	// for the transmission of an event to the caller.
	holdShare = 0.9
	// nearBaseline is the factor up to which a prompt that would stall the streams at
	// baseline speed too is not held.
	nearBaseline = 1.1
	// deadlineReserve is how long before its StartDeadline a held prompt is started:
	// a hold must not make the agent refuse a request.
	deadlineReserve = 50 * time.Millisecond
	// minReadWork is the least reading time, at baseline speed, from which the speed
	// is derived: a step in progress and the transmission of the first event take up
	// to 20 ms.
	minReadWork = 25 * time.Millisecond
	// factorStep is the step to which the published factor is rounded. holdStep and
	// holdTokens are the steps of the published hold. They prevent publications that
	// would not change the choice of an engine.
	factorStep = 0.25
	holdStep   = 100 * time.Millisecond
	holdTokens = 250
	// factorChange is the difference from the published factor above which a new one is
	// published. It is above 0.13, the error of an estimate from 8 steps.
	factorChange = 0.2
)

// scaled returns the time that work takes at a factor of its baseline time.
func scaled(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// publishedFactor returns the factor by which published delays are multiplied.
func (t *Table) publishedFactor(now time.Time) float64 {
	if t.options.Pace == PaceByBaseline {
		return 1
	}
	return t.roundedFactor(now)
}

// paceFactor returns the factor by which the cost of a start is multiplied.
func (t *Table) paceFactor(now time.Time) float64 {
	if t.options.Pace == PaceByBaseline {
		return 1
	}
	return t.speed.Factor(now)
}

// roundedFactor returns the factor as it is published, in multiples of factorStep. It
// changes only when the estimate differs from it by more than factorChange.
func (t *Table) roundedFactor(now time.Time) float64 {
	factor := t.speed.Factor(now)
	if math.Abs(factor-t.published) > factorChange {
		t.published = max(math.Round(factor/factorStep)*factorStep, factorStep)
	}
	return t.published
}

// Told records that the engine reported its speed to an entry at a time, in percent of
// the baseline time; 0 for none.
func (t *Table) Told(percent int, at, now time.Time) { t.speed.Told(percent, at, now) }

// Factor returns how long work takes on the engine's machine now, as a factor of
// the baseline. known is false without data.
func (t *Table) Factor(now time.Time) (factor float64, known bool) {
	_, known = t.speed.Age(now)
	return t.speed.Factor(now), known
}

// SpeedDoubts returns how often the speed that the engine reported was found false.
func (t *Table) SpeedDoubts() int { return t.speed.Doubts() }

// Holds returns how many prompts were held, and how many of these were started
// because they had been held for the maximum time.
func (t *Table) Holds() (held, toTheEnd int) { return t.held, t.heldToEnd }

// SlowPercent returns the published speed in percent of the baseline time, 0
// without data.
func (t *Table) SlowPercent(now time.Time) int {
	if _, known := t.speed.Age(now); !known {
		return 0
	}
	return int(math.Round(100 * t.roundedFactor(now)))
}

// Hold returns the number of prompt tokens above which a start is held now, and for how
// long; 0 when no start is held.
func (t *Table) Hold(now time.Time) (above int, left time.Duration) {
	if t.options.Hold != HoldAtEngine {
		return 0, 0
	}
	factor, rate, limit := t.speed.Factor(now), t.pacer.rate(), t.smallestGap()
	if factor <= nearBaseline || rate <= 0 || limit <= 0 {
		return 0, 0
	}
	budget := float64(limit)*holdShare - float64(t.speed.Step())*factor
	tokens := int(budget/float64(time.Millisecond)/factor*rate) - t.unreadTokens()
	return max(tokens/holdTokens*holdTokens, 1), max(t.speed.SlowLeft(now).Round(holdStep), holdStep)
}

// holds reports whether a request that could start now is held because reading its
// prompt would stall the engine's streams for too long.
func (t *Table) holds(r *Request, now time.Time) bool {
	if !t.stalls(r, now) {
		return false
	}
	if r.heldSince.IsZero() {
		if !now.Before(r.StartDeadline.Add(-deadlineReserve)) {
			return false
		}
		r.heldSince = now
		t.held++
		return true
	}
	if now.Sub(r.heldSince) >= maxHold {
		t.heldToEnd++
		return false
	}
	return now.Before(r.StartDeadline.Add(-deadlineReserve))
}

// stalls reports whether a start of the prompt would stall a stream for too long now, and
// waiting for a faster phase would help.
func (t *Table) stalls(r *Request, now time.Time) bool {
	if t.options.Hold != HoldAtEngine {
		return false
	}
	factor := t.speed.Factor(now)
	if factor == 1 {
		return false
	}
	limit := time.Duration(holdShare * float64(t.smallestGap()))
	if limit <= 0 {
		return false
	}
	stall := t.pacer.cost(t.unreadTokens()+r.Prompt, 1) + t.speed.Step()
	return scaled(stall, factor) > limit && (stall <= limit || factor > nearBaseline)
}

// smallestGap returns the smallest pause that is allowed to a stream which has had its
// first event; 0 when no stream has a limit.
func (t *Table) smallestGap() time.Duration {
	var smallest time.Duration
	for _, s := range t.started {
		if s.read && s.gap > 0 && (smallest == 0 || s.gap < smallest) {
			smallest = s.gap
		}
	}
	return smallest
}

// unreadTokens returns the number of tokens of the started prompts that are unread.
func (t *Table) unreadTokens() int {
	tokens := 0
	for _, s := range t.started {
		if !s.read {
			tokens += s.prompt
		}
	}
	return tokens
}

// markRead records that a started prompt was read, from its first event or from a report
// of the engine, whichever is earlier.
func (t *Table) markRead(s *startedRequest, at time.Time) {
	if s.read {
		return
	}
	s.read = true
	from, work := s.at, t.pacer.readTime(s.prompt)
	if t.readAt.After(from) {
		// The engine began to read it in the step after the previous prompt, or read both
		// in the same piece.
		from = t.readAt
		work += -t.pacer.fit.constant() + min(t.speed.Step(), at.Sub(from))
	}
	t.readAt = at
	if t.pacer.cost(s.prompt, 1) < minReadWork || t.pacer.fit.rate() <= 0 {
		work = 0
	}
	t.speed.Read(from, at, work, t.unread())
}

// unread reports whether a started prompt is not known to be read.
func (t *Table) unread() bool {
	for _, s := range t.started {
		if !s.read {
			return true
		}
	}
	return false
}

// observeProgress passes the progress of the runs in a report on to the estimate of the
// speed.
func (t *Table) observeProgress(r Report, now time.Time) {
	if r.Events == nil {
		return
	}
	t.runs = t.runs[:0]
	for id, events := range r.Events {
		t.runs = append(t.runs, capacity.Run{ID: id, Events: events})
	}
	// Sorted because the order of a map is random, and the first of the prompts that were
	// read since the last report is treated differently.
	slices.SortFunc(t.runs, func(a, b capacity.Run) int { return cmp.Compare(a.ID, b.ID) })
	for _, run := range t.runs {
		if s := t.started[run.ID]; s != nil && run.Events > 0 && !s.read {
			t.markRead(s, firstEventBefore(s, r.RequestedAt, t.reportedAt))
		}
	}
	t.reportedAt = r.RequestedAt
	t.speed.Report(t.runs, t.unread(), r.RequestedAt, now)
	t.observeUnread(r, now)
}

// firstEventBefore estimates when a request whose first event is known only from a report
// had it: halfway between the report before it, or the start, and the report.
func firstEventBefore(s *startedRequest, reported, before time.Time) time.Time {
	if before.Before(s.at) {
		before = s.at
	}
	if reported.Before(before) {
		return before
	}
	return before.Add(reported.Sub(before) / 2)
}

// observeUnread passes on how long the prompts that the engine is reading have
// been unread.
func (t *Table) observeUnread(r Report, now time.Time) {
	var since time.Time
	var work time.Duration
	for id, s := range t.started {
		if s.read {
			continue
		}
		work += t.pacer.readTime(s.prompt)
		if _, listed := r.Events[id]; listed && r.Waiting == 0 && (since.IsZero() || s.at.Before(since)) {
			since = s.at
		}
	}
	if since.IsZero() {
		t.speed.Unread(now, 0, now)
		return
	}
	if t.readAt.After(since) {
		since = t.readAt
	}
	t.speed.Unread(since, work, r.RequestedAt)
}
