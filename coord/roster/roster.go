// Package roster is the directory of backend servers of a deployment in which
// servers announce themselves. Announcements reach a daemon out of order, late
// and over several ways; the newest one of the newest incarnation wins, so that
// all daemons that have heard the same agree, whatever the order.
package roster

import (
	"cmp"
	"slices"
	"time"
)

// Server is what a backend server says of itself.
type Server struct {
	// ID names an incarnation; a few servers start again under the same one.
	ID string `json:"id"`
	// Born is when the incarnation started, in Unix milliseconds of its own
	// clock.
	Born int64 `json:"born"`
	// Sequence increases with each announcement of an incarnation.
	Sequence int64  `json:"sequence"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	// DataCentre is where it runs.
	DataCentre string `json:"dataCentre"`
	Slots      int    `json:"slots"`
	// Leaving servers take no new work; Gone ones have ended.
	Leaving bool `json:"leaving,omitempty"`
	Gone    bool `json:"gone,omitempty"`
	// ColdMillis is how much longer it is slow after its start.
	ColdMillis int64 `json:"coldMillis,omitempty"`
	// Models are the base models that it holds, Adapters as model/adapter@version.
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// newer reports whether a says something later than b of the same ID.
func (s *Server) newer(b *Server) bool {
	if s.Born != b.Born {
		return s.Born > b.Born
	}
	if s.Gone != b.Gone {
		return s.Gone
	}
	return s.Sequence > b.Sequence
}

// Entry is a server as this daemon knows it.
type Entry struct {
	Server
	// Heard is when its newest announcement arrived here.
	Heard time.Time
	// Change counts this roster's changes; entries with a higher one are newer
	// here.
	Change uint64
	// Material is the change that last said more than that it lives.
	Material uint64
}

// Roster holds the servers by ID.
type Roster struct {
	entries map[string]*Entry
	change  uint64
}

// New returns an empty roster.
func New() *Roster { return &Roster{entries: make(map[string]*Entry)} }

// Take considers an announcement. news is true when it is the newest of its
// server, material when it says more than that the server lives.
//
// A heartbeat that a partition held up may arrive after its sender crashed and
// another incarnation registered at the address: the older birth marks it, and
// it must not bring a dead server back to the address.
func (r *Roster) Take(s Server, now time.Time) (news, material bool) {
	known, ok := r.entries[s.ID]
	if ok && !s.newer(&known.Server) {
		return false, false
	}
	if r.outlived(&s) {
		if !ok {
			return false, false
		}
		s.Gone = true
	}
	// Leaving is final for an incarnation, also for a late reader.
	if ok && known.Born == s.Born {
		s.Leaving = s.Leaving || known.Leaving
	}
	material = !ok || known.Born != s.Born || known.Leaving != s.Leaving || known.Gone != s.Gone || known.Address != s.Address ||
		known.Service != s.Service || !slices.Equal(known.Models, s.Models)
	r.change++
	entry := &Entry{Server: s, Heard: now, Change: r.change, Material: r.change}
	if !material {
		entry.Material = known.Material
	}
	r.entries[s.ID] = entry
	if !s.Gone {
		r.replaceAt(&s)
	}
	return true, material
}

// outlived is true when a later born server was heard of at the address.
func (r *Roster) outlived(s *Server) bool {
	for _, e := range r.entries {
		if e.ID != s.ID && e.Address == s.Address && e.Born > s.Born {
			return true
		}
	}
	return false
}

// replaceAt marks earlier incarnations at the address of s as gone: two
// processes cannot listen there.
func (r *Roster) replaceAt(s *Server) {
	for _, e := range r.entries {
		if e.ID != s.ID && e.Address == s.Address && e.Born < s.Born && !e.Gone {
			r.change++
			e.Gone, e.Change, e.Material = true, r.change, r.change
		}
	}
}

// Leave marks a server as gone for good, and reports whether it was known to
// be there.
func (r *Roster) Leave(id string, now time.Time) (Server, bool) {
	e, ok := r.entries[id]
	if !ok {
		return Server{}, false
	}
	if !e.Gone {
		r.change++
		e.Gone, e.Leaving, e.Heard, e.Change, e.Material = true, true, now, r.change, r.change
	}
	return e.Server, true
}

// Change is the number of the last change.
func (r *Roster) Change() uint64 { return r.change }

// Since lists the entries that changed after a number, in order of change.
func (r *Roster) Since(change uint64) []Entry {
	var changed []Entry
	for _, e := range r.entries {
		if e.Change > change {
			changed = append(changed, *e)
		}
	}
	slices.SortFunc(changed, func(a, b Entry) int { return cmp.Compare(a.Change, b.Change) })
	return changed
}

// Get returns one server.
func (r *Roster) Get(id string) (Entry, bool) {
	e, ok := r.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Expire forgets gone servers that were last heard of before gone, and others
// before silent.
func (r *Roster) Expire(gone, silent time.Time) {
	for id, e := range r.entries {
		limit := silent
		if e.Gone {
			limit = gone
		}
		if e.Heard.Before(limit) {
			delete(r.entries, id)
		}
	}
}

// Serving lists the servers of a service that are not known to leave.
func (r *Roster) Serving() []Entry {
	var serving []Entry
	for _, e := range r.entries {
		if !e.Leaving && !e.Gone {
			serving = append(serving, *e)
		}
	}
	slices.SortFunc(serving, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return serving
}
