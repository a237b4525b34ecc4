package slots

import (
	"math"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// trackedPerSlot is the number of adapters per slot whose use is tracked, loaded or
// not: an adapter requested again soon after its eviction should be kept next time.
const trackedPerSlot = 16

// usage estimates how often each adapter is requested, with exponential decay.
type usage struct {
	halfLife time.Duration
	limit    int
	entries  map[catalogue.Ref]usageEntry
}

type usageEntry struct {
	weight float64
	at     time.Time
	// loadTime is the last measured load time in seconds, or 0 if there is none.
	loadTime float64
}

func newUsage(halfLife time.Duration, limit int) *usage {
	return &usage{halfLife: halfLife, limit: limit, entries: make(map[catalogue.Ref]usageEntry)}
}

func (u *usage) touch(ref catalogue.Ref, now time.Time) {
	e := u.entries[ref]
	e.weight = u.decayed(e, now) + 1
	e.at = now
	u.entries[ref] = e
	if len(u.entries) > 2*u.limit {
		u.prune(now)
	}
}

func (u *usage) recordLoad(ref catalogue.Ref, took time.Duration) {
	if e, ok := u.entries[ref]; ok {
		e.loadTime = took.Seconds()
		u.entries[ref] = e
	}
}

// value returns the load time, in seconds, that keeping the adapter is expected to save.
func (u *usage) value(ref catalogue.Ref, now time.Time) float64 {
	e := u.entries[ref]
	cost := e.loadTime
	if cost == 0 {
		cost = 1
	}
	return u.decayed(e, now) * cost
}

// use returns the decayed count of requests for the adapter.
func (u *usage) use(ref catalogue.Ref, now time.Time) float64 { return u.decayed(u.entries[ref], now) }

func (u *usage) decayed(e usageEntry, now time.Time) float64 {
	if e.weight == 0 {
		return 0
	}
	return e.weight * math.Exp2(-now.Sub(e.at).Seconds()/u.halfLife.Seconds())
}

// prune drops adapters with no more than the mean weight until at most limit remain,
// so that memory is bounded regardless of the size of the catalogue.
func (u *usage) prune(now time.Time) {
	for len(u.entries) > u.limit {
		total := 0.0
		for _, e := range u.entries {
			total += u.decayed(e, now)
		}
		mean := total / float64(len(u.entries))
		for ref, e := range u.entries {
			if u.decayed(e, now) <= mean {
				delete(u.entries, ref)
			}
		}
	}
}

// failure is the backoff of an adapter whose load failed.
type failure struct {
	pause time.Duration
	until time.Time
}

// backOff refuses the adapter for a pause that doubles with each consecutive failure.
// Otherwise every request for a broken adapter would cost the weight store a load.
func (t *Table) backOff(ref catalogue.Ref, now time.Time) {
	pause := t.options.RetryMin
	if f, ok := t.failures[ref]; ok {
		pause = min(2*f.pause, t.options.RetryMax)
	}
	t.failures[ref] = failure{pause: pause, until: now.Add(pause)}
}

// forgetFailures drops backoffs that ended more than RetryMax ago.
func (t *Table) forgetFailures(now time.Time) {
	for ref, f := range t.failures {
		if now.Sub(f.until) > t.options.RetryMax {
			delete(t.failures, ref)
		}
	}
}
