package residency

import "time"

// turnover estimates how soon places of a full batch become free, from the mean time
// that requests run.
//
// It addresses engines whose batch is full while their prompts are read in time:
// without it such an engine announces no delay, every entry sends its requests
// there, and they wait for seconds while other engines are idle.
type turnover struct {
	// ran is the time that all requests have run, ended how many have ended, both
	// with decaying weights. Requests that still run count in ran: the first ones to
	// end are the shortest, and their mean alone would be too low.
	ran   time.Duration
	ended float64
	at    time.Time
}

// endDecay is the factor by which each end reduces the weight of the earlier ones:
// about fifty ends determine the mean.
const endDecay = 0.98

// advance counts the time until now, in which the given number of requests ran.
func (v *turnover) advance(running int, now time.Time) {
	if running > 0 && !v.at.IsZero() {
		v.ran += time.Duration(running) * now.Sub(v.at)
	}
	v.at = now
}

func (v *turnover) recordEnd() {
	v.ran = time.Duration(endDecay * float64(v.ran))
	v.ended = endDecay*v.ended + 1
}

// run returns the mean time that a request runs; until one has ended, the time that
// all together have run, which is at least the time of the next end.
func (v *turnover) run() time.Duration {
	return time.Duration(float64(v.ran) / max(v.ended, 1))
}

// placeTime returns the mean time between two requests that end in a full batch.
func (v *turnover) placeTime(batch int) time.Duration {
	return v.run() / time.Duration(max(batch, 1))
}

// PlaceTime returns the mean time in which a place of a full batch becomes free.
func (t *Table) PlaceTime() time.Duration { return t.turnover.placeTime(t.options.Batch) }

// placeDelay returns how long a request waits for a place in the batch behind the
// given number of waiting requests.
func (t *Table) placeDelay(ahead int) time.Duration {
	missing := len(t.started) + ahead + 1 - t.options.Batch
	return time.Duration(max(missing, 0)) * t.PlaceTime()
}

// SlotDelay returns how long the load of an adapter that is requested now would wait
// for a slot, because requests use the adapters in all of them; 0 while a slot can
// be had.
func (t *Table) SlotDelay() time.Duration {
	short := t.absentWanted() + 1 - t.obtainableSlots()
	return time.Duration(max(short, 0)) * t.turnover.run()
}

// obtainableSlots counts the free slots and those of adapters that no request uses
// or waits for.
func (t *Table) obtainableSlots() int {
	wanted := t.wanted()
	n := t.options.MaxAdapters - t.occupied()
	for name, a := range t.adapters {
		if t.evictable(name, a, wanted) {
			n++
		}
	}
	return n
}

// absentWanted counts the adapters that requests wait for and that are neither held
// nor loading.
func (t *Table) absentWanted() int {
	n := 0
	for name := range t.wanted() {
		if a := t.adapters[name]; name != "" && (a == nil || a.version == absent && !a.loading) {
			n++
		}
	}
	return n
}
