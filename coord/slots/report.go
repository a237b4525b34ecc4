package slots

import (
	"math"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// Report is what a table tells about itself.
type Report struct {
	// Resident and Loading are adapters, sorted.
	Resident []catalogue.Ref
	Loading  []catalogue.Ref
	// Obtainable counts the slots that another adapter could get now.
	Obtainable int
	// VictimUse is the decayed use of the adapter that the next load would
	// evict, rounded to a power of two so that its decay is not news all the
	// time; 0 when a slot is free.
	VictimUse float64
	// Running and Waiting count requests.
	Running int
	Waiting int
}

// Report describes the table.
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
			r.VictimUse = roundToPower(t.usage.use(victim, now))
		}
	}
	return r
}

// leastUse is the use below which an adapter counts as unused.
const leastUse = 0.25

func roundToPower(use float64) float64 {
	if use < leastUse {
		return 0
	}
	return math.Exp2(math.Round(math.Log2(use)))
}
