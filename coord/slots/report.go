package slots

import (
	"math"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// Report describes the state of a table.
type Report struct {
	// Resident are the loaded adapters and Loading those being loaded, sorted.
	Resident []catalogue.Ref
	Loading  []catalogue.Ref
	// Obtainable is the number of slots that further adapters could get now.
	Obtainable int
	// VictimUse is the decayed use of the adapter that the next load would
	// evict, or 0 if a slot is free. It is rounded to a power of two so that
	// its decay does not change the report all the time.
	VictimUse float64
	// Running and Waiting are numbers of requests.
	Running int
	Waiting int
}

// Report returns the state of the table.
func (t *Table) Report(now time.Time) Report {
	r := Report{Running: len(t.running), Waiting: t.waiting, Obtainable: max(t.obtainable(), 0)}
	for _, ref := range t.refs() {
		switch t.slots[ref].phase {
		case phaseLoaded:
			r.Resident = append(r.Resident, ref)
		case phaseLoading:
			r.Loading = append(r.Loading, ref)
		}
	}
	if len(t.slots) == t.options.Slots {
		if victim, ok := t.victim(now); ok {
			r.VictimUse = roundToPowerOfTwo(t.usage.use(victim, now))
		}
	}
	return r
}

// minUse is the use below which an adapter counts as unused.
const minUse = 0.25

func roundToPowerOfTwo(use float64) float64 {
	if use < minUse {
		return 0
	}
	return math.Exp2(math.Round(math.Log2(use)))
}
