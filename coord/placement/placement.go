// Package placement chooses a backend server for a request.
//
// A View is an immutable picture of the announced servers. Filters rule
// servers out, scorers say how many seconds the request would wait on each,
// and Picker takes the server with the least. Selector keeps what one entry
// knows beyond the view: its own dispatches since each load report.
package placement

import (
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/prefixcache"
)

// Request is what placement needs to know about a request.
type Request struct {
	Kind membership.Kind
	// Pool is the plain service's name; empty for engines.
	Pool string
	// Ref and BaseModel are set for engines.
	Ref       catalogue.Ref
	BaseModel string
	// Prefix names the blocks of the prompt; empty when it is not known.
	Prefix []prefixcache.Block
	// Exclude names servers that this request already tried.
	Exclude []string
}

// Estimates are what the viewer has learnt about the site.
type Estimates struct {
	// LoadTime is how long an adapter takes to arrive, permit included.
	LoadTime time.Duration
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// Active is how many servers the work should be packed on; 0 is all.
	Active int
}

// Candidate is a server as the viewer believes it to be now.
type Candidate struct {
	*Server
	// InFlight counts requests there, corrected by the viewer's own dispatches.
	InFlight float64
	// Resident is true when the adapter is loaded; Arriving when it is on its way.
	Resident bool
	Arriving bool
	// Obtainable counts slots that the adapter could get.
	Obtainable int
	// Remote is true in another data centre than the viewer's.
	Remote bool
	// Failures counts recent attempts that did not run, with decay.
	Failures float64
	// Preference is the server's place in the adapter's rendezvous order, from 0.
	Preference int
	// CachedBlocks is how much of the prompt's prefix the engine is expected to hold.
	CachedBlocks float64
}

// Filter says whether a server may run the request.
type Filter func(*Request, *Server) bool

// Scorer says how many seconds the request would wait on a candidate for one cause.
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

// NewCustomPicker returns a picker with other filters and scorers.
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

// Cost is the expected wait on a candidate, in seconds.
func (p *Picker) Cost(candidate *Candidate, estimates *Estimates) float64 {
	total := 0.0
	for _, scorer := range p.scorers {
		total += scorer(candidate, estimates)
	}
	return total
}
