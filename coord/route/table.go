package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

// Table looks up the route of a request. It is immutable.
type Table struct {
	document *Document
	hosts    map[string][]*Route
	services map[string]*Service
	teams    map[contract.KeyDigest]*Team
	ranks    map[order]int
}

// NewTable indexes a document that passed Check.
func NewTable(d *Document) *Table {
	t := &Table{document: d, hosts: make(map[string][]*Route), services: make(map[string]*Service, len(d.Services)), teams: indexTeams(d.Teams), ranks: indexRanks(d)}
	for i := range d.Routes {
		r := &d.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	return t
}

// Version returns the version of the document.
func (t *Table) Version() uint64 { return t.document.Version }

// Bounds returns the limits on what a caller may send.
func (t *Table) Bounds() Bounds { return t.document.Bounds }

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services.
func (t *Table) Services() []Service { return t.document.Services }

// HasTeams reports whether requests on routes that are not open need a key.
func (t *Table) HasTeams() bool { return t.document.HasTeams }

// Teams returns all teams.
func (t *Table) Teams() []Team { return t.document.Teams }

// TeamByKey returns the team that holds a key, or nil if there is none.
func (t *Table) TeamByKey(key contract.KeyDigest) *Team { return t.teams[key] }

// Rank returns the rank of a team's requests on a route, 0 for the first to be served; team is nil where there
// is none.
func (t *Table) Rank(team *Team, r *Route) int {
	if rank, ok := t.ranks[orderOf(team, r)]; ok {
		return rank
	}
	return r.Priority
}

// Lookup returns the route of the host with the longest prefix that matches the
// path, or nil if there is none. A port in the host is ignored.
func (t *Table) Lookup(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick returns the service for one request of the route. draw is a random number,
// uniform in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	at := int(draw * float64(total))
	for _, share := range r.Split {
		if at -= share.Weight; at < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
