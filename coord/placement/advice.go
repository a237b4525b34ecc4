package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/membership"
)

// Limit says what decides how many servers a group needs.
type Limit string

const (
	// LimitBatches means that the places in batches decide.
	LimitBatches Limit = "batches"
	// LimitSlots means that the adapters in use at once decide.
	LimitSlots Limit = "slots"
	// LimitLoads means that the weight store has fallen behind: fewer slots
	// would need more loads.
	LimitLoads Limit = "loads"
)

// Advice says how many servers of one group could be stopped, and why.
type Advice struct {
	Kind membership.Kind `json:"kind"`
	// Group is the base model of engines, or the pool of plain services.
	Group string `json:"group"`
	// Servers counts those that take work now.
	Servers int `json:"servers"`
	// Needed carries the highest demand of the observed time at the targets;
	// Spare is kept beyond that for a failure.
	Needed int `json:"needed"`
	Spare  int `json:"spare"`
	// PeakInFlight and PeakPinned are the requests, and the adapter slots in
	// use, at that demand.
	PeakInFlight int `json:"peakInFlight"`
	PeakPinned   int `json:"peakPinned"`
	// Limit is what decides.
	Limit Limit `json:"limit"`
	// Stoppable are the servers to stop first, in order: those that the
	// entries use last.
	Stoppable []string `json:"stoppable"`
	// Observed is how long demand has been observed, at most a day. Advice on
	// less than a day may have missed the peak.
	Observed time.Duration `json:"observed"`
}

const (
	// adviceBucket and adviceBuckets span the day whose peak is kept.
	adviceBucket  = 5 * time.Minute
	adviceBuckets = 288
	// adviceSpare is kept for the loss of a server.
	adviceSpare = 1
	// slowLoadMillis is the load time above which no server should go.
	slowLoadMillis = 1000
)

// Advisor keeps the demand of the last day. One duty owns it.
type Advisor struct {
	view   *View
	groups map[group]*history
	begun  time.Time
}

// history is the highest demand in each bucket of the last day.
type history struct {
	peaks [adviceBuckets]peak
}

type peak struct {
	bucket int64
	needed float64
	demand demand
}

// NewAdvisor returns an advisor that has observed nothing.
func NewAdvisor() *Advisor {
	return &Advisor{view: NewView(nil, time.Time{}), groups: make(map[group]*history)}
}

// Observe takes the directory's present state.
func (a *Advisor) Observe(announced []membership.Announcement, now time.Time) {
	if a.begun.IsZero() {
		a.begun = now
	}
	a.view = NewView(announced, now)
	bucket := now.UnixNano() / int64(adviceBucket)
	for g, members := range a.view.groups {
		h, ok := a.groups[g]
		if !ok {
			h = &history{}
			a.groups[g] = h
		}
		h.add(bucket, a.view.demandOf(members))
	}
}

func (h *history) add(bucket int64, d demand) {
	p := &h.peaks[bucket%adviceBuckets]
	needed := d.unbounded()
	if p.bucket != bucket || needed > p.needed {
		*p = peak{bucket: bucket, needed: needed, demand: d}
	}
}

// unbounded is how many servers the demand needs, also beyond those there are.
func (d demand) unbounded() float64 { return max(d.byBatches(), d.bySlots(), 1) }

func (h *history) highest(bucket int64) peak {
	var highest peak
	for _, p := range h.peaks {
		if p.bucket > bucket-adviceBuckets && p.needed > highest.needed {
			highest = p
		}
	}
	return highest
}

// Advise returns one advice for each group of servers, engines first.
func (a *Advisor) Advise(now time.Time) []Advice {
	advices := make([]Advice, 0, len(a.view.groups))
	for g, members := range a.view.groups {
		advices = append(advices, a.advise(g, members, now))
	}
	slices.SortFunc(advices, func(x, y Advice) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Group, y.Group))
	})
	return advices
}

func (a *Advisor) advise(g group, members []int32, now time.Time) Advice {
	highest := a.groups[g].highest(now.UnixNano() / int64(adviceBucket))
	advice := Advice{
		Kind:         g.kind,
		Group:        g.name,
		Servers:      len(members),
		Needed:       int(math.Ceil(highest.needed)),
		Spare:        adviceSpare,
		PeakInFlight: int(highest.demand.inFlight),
		PeakPinned:   int(highest.demand.pinned),
		Limit:        LimitBatches,
		Stoppable:    []string{},
		Observed:     min(now.Sub(a.begun), adviceBuckets*adviceBucket),
	}
	if highest.demand.bySlots() > highest.demand.byBatches() {
		advice.Limit = LimitSlots
	}
	if a.view.loadsAreSlow(members) {
		advice.Limit = LimitLoads
		return advice
	}
	for i := len(members) - 1; i >= advice.Needed+advice.Spare; i-- {
		advice.Stoppable = append(advice.Stoppable, a.view.servers[members[i]].Server)
	}
	return advice
}

func (v *View) loadsAreSlow(members []int32) bool {
	sum, n := 0, 0
	for _, i := range members {
		if millis := v.servers[i].Load.LoadMillis; millis > 0 {
			sum += millis
			n++
		}
	}
	return n > 0 && sum/n > slowLoadMillis
}
