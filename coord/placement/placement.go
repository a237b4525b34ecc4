// Package placement chooses a backend server for a request.
//
// A View is an immutable snapshot of the announced servers. Filters exclude
// servers, scorers estimate how many seconds the request would wait on each,
// and Picker sums the scores; the server with the lowest total is chosen.
// Selector adds the state that only one entry has: its own dispatches since each
// load report.
package placement

import (
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/prefixcache"
)

// Request holds the properties of a request that placement depends on.
type Request struct {
	Kind membership.Kind
	// Pool is the plain service's name; empty for engines.
	Pool string
	// Ref and BaseModel are set for engines.
	Ref       catalogue.Ref
	BaseModel string
	// Prefix identifies the blocks of the prompt; empty when unknown.
	Prefix []prefixcache.Block
	// Exclude lists the servers that this request has already tried.
	Exclude []string
}

// Estimates are the viewer's estimates for the site.
type Estimates struct {
	// LoadTime is the time to load an adapter, including the wait for a permit.
	LoadTime time.Duration
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// Active is the number of servers to pack requests on; 0 means all.
	Active int
}

// Candidate is the viewer's current estimate of a server's state.
type Candidate struct {
	*Server
	// InFlight is the number of requests on the server, corrected by the viewer's
	// own dispatches.
	InFlight float64
	// Resident is true when the adapter is loaded; Arriving when its load is in
	// progress.
	Resident bool
	Arriving bool
	// Obtainable is the number of slots that the adapter could get.
	Obtainable int
	// Remote is true when the server is in another data centre than the viewer.
	Remote bool
	// Failures is the decaying count of recent attempts that did not run.
	Failures float64
	// Preference is the server's position in the adapter's rendezvous order, from
	// 0.
	Preference int
	// CachedBlocks is the expected number of blocks of the prompt's prefix that
	// the engine holds.
	CachedBlocks float64
}

// Filter reports whether a server may run the request.
type Filter func(*Request, *Server) bool

// Scorer returns how many seconds the request would wait on a candidate for one
// reason.
type Scorer func(*Candidate, *Estimates) float64

// Picker combines filters and scorers.
type Picker struct {
	filters []Filter
	scorers []Scorer
}

// NewPicker returns a picker with the standard filters and scorers.
func NewPicker() *Picker {
	return &Picker{
		filters: []Filter{Serves, NotLeaving, NotExcluded},
		scorers: []Scorer{QueueWait, LoadWait, EvictionCost, Affinity, PrefixSaved, Packing, DataCentre, Health},
	}
}

// NewCustomPicker returns a picker with the given filters and scorers.
func NewCustomPicker(filters []Filter, scorers []Scorer) *Picker {
	return &Picker{filters: filters, scorers: scorers}
}

// Passes reports whether every filter lets the server run the request.
func (p *Picker) Passes(request *Request, server *Server) bool {
	for _, filter := range p.filters {
		if !filter(request, server) {
			return false
		}
	}
	return true
}

// Cost returns the expected wait on a candidate, in seconds.
func (p *Picker) Cost(candidate *Candidate, estimates *Estimates) float64 {
	total := 0.0
	for _, scorer := range p.scorers {
		total += scorer(candidate, estimates)
	}
	return total
}
