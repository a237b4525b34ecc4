package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/membership"
)

// Limit is the resource that determines how many servers a group needs.
type Limit string

const (
	// LimitBatches means that batch capacity determines it.
	LimitBatches Limit = "batches"
	// LimitSlots means that the adapters in concurrent use determine it.
	LimitSlots Limit = "slots"
	// LimitLoads means that the weight store has fallen behind: fewer slots would
	// cause more loads.
	LimitLoads Limit = "loads"
)

// Advice states which servers of one group could be stopped, and why.
type Advice struct {
	Kind membership.Kind `json:"kind"`
	// Group is the base model of engines, or the pool of plain services.
	Group string `json:"group"`
	// Servers is the number of servers that accept new requests.
	Servers int `json:"servers"`
	// Needed is the number of servers that carry the peak demand of the observed
	// time at the target utilization; Spare servers are kept in addition for a
	// failure.
	Needed int `json:"needed"`
	Spare  int `json:"spare"`
	// PeakInFlight and PeakPinned are the requests in flight and the adapter
	// slots in use at that peak.
	PeakInFlight int `json:"peakInFlight"`
	PeakPinned   int `json:"peakPinned"`
	// Limit is the limiting resource.
	Limit Limit `json:"limit"`
	// Stoppable lists the servers to stop, in order. It starts with the servers
	// that entries choose last.
	Stoppable []string `json:"stoppable"`
	// Observed is how long demand has been observed, at most a day. Advice based
	// on less than a day may have missed the peak.
	Observed time.Duration `json:"observed"`
}

const (
	// adviceBucket and adviceBuckets span the day for which the peak is kept.
	adviceBucket  = 5 * time.Minute
	adviceBuckets = 288
	// adviceSpare covers the loss of one server.
	adviceSpare = 1
	// slowLoadMillis is the mean load time above which no server should be
	// stopped.
	slowLoadMillis = 1000
)

// Advisor keeps the demand of the last day. It is not safe for concurrent use.
type Advisor struct {
	view          *View
	groups        map[group]*history
	observedSince time.Time
}

// history holds the peak demand in each bucket of the last day.
type history struct {
	peaks [adviceBuckets]peak
}

type peak struct {
	bucket int64
	needed float64
	demand demand
}

// NewAdvisor returns an advisor without observations.
func NewAdvisor() *Advisor {
	return &Advisor{view: NewView(nil, time.Time{}), groups: make(map[group]*history)}
}

// Observe records the current state of the directory.
func (a *Advisor) Observe(announced []membership.Announcement, now time.Time) {
	if a.observedSince.IsZero() {
		a.observedSince = now
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

// unbounded returns how many servers the demand needs, even if there are fewer.
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
		Observed:     min(now.Sub(a.observedSince), adviceBuckets*adviceBucket),
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
