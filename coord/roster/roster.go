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

// Beat says that an incarnation still lives, and nothing else: most
// announcements tell other daemons no more than that.
type Beat struct {
	ID       string `json:"id"`
	Born     int64  `json:"born"`
	Sequence int64  `json:"sequence"`
}

// beatInterval is the least time between two changes of an entry that say no
// more than that its server lives. Daemons pass each change on to others, and a
// heartbeat of each of 600 servers every second would be most of what they say.
const beatInterval = 4 * time.Second

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
	// changedAt is the time of Change.
	changedAt time.Time
}

// Roster holds the servers by ID.
type Roster struct {
	entries map[string]*Entry
	// addresses are the IDs that were heard of at each address.
	addresses map[string][]string
	change    uint64
	// material is the newest change that said more than that a server lives.
	material uint64
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: make(map[string]*Entry), addresses: make(map[string][]string)}
}

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
	entry := &Entry{Server: s, Heard: now}
	switch {
	case material:
		r.mark(entry, now)
	case now.Sub(known.changedAt) < beatInterval:
		entry.Change, entry.Material, entry.changedAt = known.Change, known.Material, known.changedAt
	default:
		r.change++
		entry.Change, entry.Material, entry.changedAt = r.change, known.Material, now
	}
	r.put(entry)
	if !s.Gone {
		r.replaceAt(&s, now)
	}
	return true, material
}

// Hear takes a beat. missing is true when the incarnation is not known here, so
// that a beat cannot say what it is.
func (r *Roster) Hear(b Beat, now time.Time) (missing bool) {
	known, ok := r.entries[b.ID]
	if !ok || known.Born < b.Born {
		return true
	}
	if known.Born > b.Born || known.Gone || b.Sequence <= known.Sequence {
		return false
	}
	s := known.Server
	s.Sequence = b.Sequence
	// What was said of the time until it is warm was said then.
	s.ColdMillis = max(s.ColdMillis-now.Sub(known.Heard).Milliseconds(), 0)
	if _, material := r.Take(s, now); !material {
		// Whoever told it has waited already, and others wait for this one.
		r.change++
		e := r.entries[b.ID]
		e.Change, e.changedAt = r.change, now
	}
	return false
}

// mark counts a change that says more than that the server lives.
func (r *Roster) mark(e *Entry, now time.Time) {
	r.change++
	r.material = r.change
	e.Change, e.Material, e.changedAt = r.change, r.change, now
}

// put stores an entry and finds it by its address.
func (r *Roster) put(e *Entry) {
	if before := r.entries[e.ID]; before != nil && before.Address != e.Address {
		r.forgetAddress(before)
	}
	r.entries[e.ID] = e
	if ids := r.addresses[e.Address]; !slices.Contains(ids, e.ID) {
		r.addresses[e.Address] = append(ids, e.ID)
	}
}

func (r *Roster) forgetAddress(e *Entry) {
	ids := slices.DeleteFunc(r.addresses[e.Address], func(id string) bool { return id == e.ID })
	if len(ids) == 0 {
		delete(r.addresses, e.Address)
		return
	}
	r.addresses[e.Address] = ids
}

// outlived is true when a later born server was heard of at the address.
func (r *Roster) outlived(s *Server) bool {
	for _, id := range r.addresses[s.Address] {
		if id != s.ID && r.entries[id].Born > s.Born {
			return true
		}
	}
	return false
}

// replaceAt marks earlier incarnations at the address of s as gone: two
// processes cannot listen there.
func (r *Roster) replaceAt(s *Server, now time.Time) {
	for _, id := range r.addresses[s.Address] {
		if e := r.entries[id]; id != s.ID && e.Born < s.Born && !e.Gone {
			e.Gone = true
			r.mark(e, now)
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
		e.Gone, e.Leaving, e.Heard = true, true, now
		r.mark(e, now)
	}
	return e.Server, true
}

// Change is the number of the last change.
func (r *Roster) Change() uint64 { return r.change }

// Material is the number of the last change of what servers there are and what
// they are.
func (r *Roster) Material() uint64 { return r.material }

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
		if !e.Heard.Before(limit) {
			continue
		}
		if !e.Gone && !e.Leaving {
			r.change++
			r.material = r.change
		}
		r.forgetAddress(e)
		delete(r.entries, id)
	}
}

// Forget drops a server of which nothing is known for sure.
func (r *Roster) Forget(id string) {
	if e, ok := r.entries[id]; ok {
		r.change++
		r.material = r.change
		r.forgetAddress(e)
		delete(r.entries, id)
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
