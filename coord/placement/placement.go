// Package placement chooses a backend server for a request by filters and
// scorers over an immutable view of the announced servers.
package placement

import (
	"slices"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
)

// Server is one candidate in a view.
type Server struct {
	membership.Announcement
	// Outstanding counts the viewer's own dispatches that the load report
	// does not include yet.
	Outstanding int
}

// View is an immutable picture of the servers at one moment.
type View struct {
	Servers []Server
}

// Request is what placement needs to know about a request.
type Request struct {
	Kind membership.Kind
	// Pool is the plain service's name; empty for engines.
	Pool string
	// Ref and BaseModel are set for engines.
	Ref       catalogue.Ref
	BaseModel string
	// Exclude names servers that this request already tried.
	Exclude []string
}

// Filter says whether a server may run the request.
type Filter func(Request, Server) bool

// Scorer rates a server for the request; higher is better.
type Scorer func(Request, Server) float64

// Picker combines filters and scorers.
type Picker struct {
	filters []Filter
	scorers []Scorer
}

// NewPicker returns a picker with the standard filters and scorers.
func NewPicker() *Picker {
	return &Picker{
		filters: []Filter{serves, notLeaving, notExcluded},
		scorers: []Scorer{residency, load},
	}
}

// Pick returns the best server, or false when none passes the filters.
func (p *Picker) Pick(request Request, view View) (Server, bool) {
	best, bestScore, found := Server{}, 0.0, false
	for _, server := range view.Servers {
		if !p.passes(request, server) {
			continue
		}
		score := p.score(request, server)
		if !found || score > bestScore {
			best, bestScore, found = server, score, true
		}
	}
	return best, found
}

func (p *Picker) passes(request Request, server Server) bool {
	for _, filter := range p.filters {
		if !filter(request, server) {
			return false
		}
	}
	return true
}

func (p *Picker) score(request Request, server Server) float64 {
	total := 0.0
	for _, scorer := range p.scorers {
		total += scorer(request, server)
	}
	return total
}

func serves(request Request, server Server) bool {
	if request.Kind != server.Kind {
		return false
	}
	if request.Kind == membership.KindService {
		return server.Pool == request.Pool
	}
	return server.BaseModel == request.BaseModel
}

func notLeaving(_ Request, server Server) bool { return !server.Leaving }

func notExcluded(request Request, server Server) bool {
	return !slices.Contains(request.Exclude, server.Server)
}

const residentBonus = 1.0

func residency(request Request, server Server) float64 {
	if request.Kind != membership.KindEngine {
		return 0
	}
	if slices.Contains(server.Load.Resident, request.Ref) {
		return residentBonus
	}
	return 0
}

func load(_ Request, server Server) float64 {
	capacity := max(server.Load.Capacity, 1)
	inFlight := server.Load.Running + server.Load.Waiting + server.Outstanding
	return -float64(inFlight) / float64(capacity)
}
