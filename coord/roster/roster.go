// Package roster maintains the directory of backend servers of a deployment in
// which servers announce themselves. Announcements reach a daemon late, out of
// order and over several paths. The newest announcement of the newest incarnation
// wins, so that all daemons that have received the same announcements agree,
// regardless of their order.
package roster

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Server is the announcement of a backend server.
type Server struct {
	// ID identifies an incarnation. A few servers reuse their ID after a
	// restart.
	ID string `json:"id"`
	// Born is the start time of the incarnation, in Unix milliseconds of the
	// server's own clock.
	Born int64 `json:"born"`
	// Sequence increases with every announcement of an incarnation.
	Sequence int64  `json:"sequence"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	// DataCentre is the data centre in which the server runs.
	DataCentre string `json:"dataCentre"`
	Slots      int    `json:"slots"`
	// Version is the version of the server's software, without an order; empty when it
	// tells none.
	Version string `json:"version,omitempty"`
	// Leaving reports whether the server has stopped accepting new work, Gone
	// whether it has terminated.
	Leaving bool `json:"leaving,omitempty"`
	Gone    bool `json:"gone,omitempty"`
	// ColdMillis is the remaining time, in milliseconds, for which the server is
	// slow after its start.
	ColdMillis int64 `json:"coldMillis,omitempty"`
	// Models are the loaded base models, Adapters the loaded adapters as
	// model/adapter@version.
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Ages is set only on its way between daemons.
	Ages
}

// Ages tells when a daemon that passes an announcement on knows it, and the one before it, to have arrived at
// the first daemon.
type Ages struct {
	// AgeMillis is the time since the announcement arrived; 0 at the first daemon.
	AgeMillis int64 `json:"ageMillis,omitempty"`
	// EarlierMillis is the time since an earlier announcement of the same incarnation arrived, at the same
	// version; 0 if none is known.
	EarlierMillis int64 `json:"earlierMillis,omitempty"`
}

// arrivals returns the times to which the ages point.
func (a Ages) arrivals(now time.Time) (newest, earlier time.Time) {
	newest = now.Add(-time.Duration(max(a.AgeMillis, 0)) * time.Millisecond)
	if a.EarlierMillis > 0 {
		earlier = now.Add(-time.Duration(a.EarlierMillis) * time.Millisecond)
	}
	return newest, earlier
}

// newer reports whether s supersedes b, an announcement with the same ID.
func (s *Server) newer(b *Server) bool {
	if s.Born != b.Born {
		return s.Born > b.Born
	}
	if s.Gone != b.Gone {
		return s.Gone
	}
	return s.Sequence > b.Sequence
}

// undescribed reports whether s is a departure that was recorded before any announcement
// of the server had arrived.
func (s *Server) undescribed() bool { return s.Gone && s.Address == "" }

// departed returns b as gone, with the ages of its departure.
func (b *Server) departed(departure *Server) Server {
	gone := *b
	gone.Leaving, gone.Gone, gone.Ages = true, true, departure.Ages
	return gone
}

// Heartbeat reports only that an incarnation is alive. Most announcements contain
// no other change that daemons need.
type Heartbeat struct {
	ID       string `json:"id"`
	Born     int64  `json:"born"`
	Sequence int64  `json:"sequence"`
	Ages
}

// heartbeatInterval is the minimum time between two changes of an entry that
// report only that its server is alive. Daemons forward each change to others, and
// one heartbeat per second from each of 600 servers would be most of that traffic.
const heartbeatInterval = 4 * time.Second

// anyIncarnation is the start time under which the departure of an unknown server is
// recorded that did not name its incarnation. No announcement of that ID supersedes it.
const anyIncarnation = math.MaxInt64

// Entry is a server as known to this daemon.
type Entry struct {
	Server
	// LastHeard is when the newest announcement arrived at the first daemon, as far as this one knows.
	LastHeard time.Time
	// HeardBefore is when an earlier announcement of the same incarnation arrived at the first daemon, at the
	// same version; zero if none is known. A server sends one announcement after the other, so it sent the
	// newest one later than that.
	HeardBefore time.Time
	// Change is the number of this roster's change that last updated the entry;
	// higher numbers are newer.
	Change uint64
	// Material is the number of the last change that reported more than that the
	// server is alive.
	Material uint64
	// changedAt is when the change with the number Change was made.
	changedAt time.Time
}

// Aged returns the announcement with its ages, to be passed on.
func (e *Entry) Aged(now time.Time) Server {
	s := e.Server
	s.Ages = e.ages(now)
	return s
}

// Heartbeat returns the announcement as a heartbeat, to be passed on.
func (e *Entry) Heartbeat(now time.Time) Heartbeat {
	return Heartbeat{ID: e.ID, Born: e.Born, Sequence: e.Sequence, Ages: e.ages(now)}
}

func (e *Entry) ages(now time.Time) Ages {
	ages := Ages{AgeMillis: max(now.Sub(e.LastHeard).Milliseconds(), 0)}
	if !e.HeardBefore.IsZero() {
		ages.EarlierMillis = max(now.Sub(e.HeardBefore).Milliseconds(), 1)
	}
	return ages
}

// Roster holds the servers by ID.
type Roster struct {
	entries map[string]*Entry
	// addresses maps each address to the IDs of the entries with that address.
	addresses map[string][]string
	change    uint64
	// material is the number of the newest change that reported more than that a
	// server is alive.
	material uint64
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: make(map[string]*Entry), addresses: make(map[string][]string)}
}

// Apply applies an announcement. newest reports whether it is the newest one of its
// server, material whether it reports more than that the server is alive.
//
// A heartbeat that was delayed by a partition may arrive after its sender crashed
// and another incarnation registered at the address. Its earlier start time
// identifies it, and it must not list the crashed server again.
func (r *Roster) Apply(s Server, now time.Time) (newest, material bool) {
	known, ok := r.entries[s.ID]
	if ok && !s.newer(&known.Server) {
		return false, false
	}
	if ok && known.Born == s.Born && s.undescribed() {
		s = known.departed(&s)
	}
	if r.superseded(&s) {
		if !ok && !s.Leaving && !s.Gone {
			return false, false
		}
		s.Gone = true
	}
	// Leaving is final for an incarnation, even if announcements arrive out of
	// order.
	if ok && known.Born == s.Born {
		s.Leaving = s.Leaving || known.Leaving
	}
	material = !ok || known.Born != s.Born || known.Leaving != s.Leaving || known.Gone != s.Gone || known.Address != s.Address ||
		known.Service != s.Service || known.Version != s.Version || !slices.Equal(known.Models, s.Models)
	entry := &Entry{Server: s}
	entry.LastHeard, entry.HeardBefore = s.arrivals(now)
	entry.Ages = Ages{}
	if ok && known.Born == s.Born && known.Version == s.Version {
		entry.HeardBefore = later(entry.HeardBefore, later(known.LastHeard, known.HeardBefore))
	}
	switch {
	case material:
		r.recordMaterial(entry, now)
	case now.Sub(known.changedAt) < heartbeatInterval:
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ApplyHeartbeat applies a heartbeat. missing reports whether the incarnation is
// unknown to this daemon, which then needs its full announcement.
func (r *Roster) ApplyHeartbeat(b Heartbeat, now time.Time) (missing bool) {
	known, ok := r.entries[b.ID]
	if !ok || known.Born < b.Born {
		return true
	}
	if known.Born > b.Born || known.Gone || b.Sequence <= known.Sequence {
		return false
	}
	s := known.Server
	s.Sequence, s.Ages = b.Sequence, b.Ages
	// ColdMillis was relative to the time of the last announcement.
	s.ColdMillis = max(s.ColdMillis-now.Sub(known.LastHeard).Milliseconds(), 0)
	if _, material := r.Apply(s, now); !material {
		// The sender has already limited the rate of heartbeats, and other
		// daemons depend on this one to forward them.
		r.change++
		e := r.entries[b.ID]
		e.Change, e.changedAt = r.change, now
	}
	return false
}

// recordMaterial records a change that reports more than that the server is alive.
func (r *Roster) recordMaterial(e *Entry, now time.Time) {
	r.change++
	r.material = r.change
	e.Change, e.Material, e.changedAt = r.change, r.change, now
}

// put stores an entry and indexes it by its address, if that is known.
func (r *Roster) put(e *Entry) {
	if old := r.entries[e.ID]; old != nil && old.Address != e.Address {
		r.forgetAddress(old)
	}
	r.entries[e.ID] = e
	if e.Address == "" {
		return
	}
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

// superseded reports whether a server with a later start time is known at the
// address.
func (r *Roster) superseded(s *Server) bool {
	for _, id := range r.addresses[s.Address] {
		if id != s.ID && r.entries[id].Born > s.Born {
			return true
		}
	}
	return false
}

// replaceAt marks earlier incarnations at the address of s as gone, because two
// processes cannot listen on the same address.
func (r *Roster) replaceAt(s *Server, now time.Time) {
	for _, id := range r.addresses[s.Address] {
		if e := r.entries[id]; id != s.ID && e.Born < s.Born && !e.Gone {
			e.Gone = true
			r.recordMaterial(e, now)
		}
	}
}

// Leave records that an incarnation of a server has left permanently, whether it is
// known or not: its first announcement may still be on its way and must not list it
// afterwards. Without a born time (0) the known incarnation leaves; if none is known, any.
// It reports whether this changed the roster.
func (r *Roster) Leave(id string, born int64, now time.Time) (changed bool) {
	known, ok := r.entries[id]
	if ok && (born == 0 || born == known.Born) {
		if known.Gone {
			return false
		}
		known.Gone, known.Leaving, known.LastHeard = true, true, now
		r.recordMaterial(known, now)
		return true
	}
	if ok && known.Born > born {
		return false
	}
	if born == 0 {
		born = anyIncarnation
	}
	departed := &Entry{Server: Server{ID: id, Born: born, Leaving: true, Gone: true}, LastHeard: now}
	r.recordMaterial(departed, now)
	r.put(departed)
	return true
}

// Change returns the number of the last change.
func (r *Roster) Change() uint64 { return r.change }

// Material returns the number of the last change that reported more than that a
// server is alive.
func (r *Roster) Material() uint64 { return r.material }

// Since returns the entries that changed after the change with the given number,
// in order of change.
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

// Get returns the server with the given ID, and whether it is known.
func (r *Roster) Get(id string) (Entry, bool) {
	e, ok := r.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Expire removes gone servers that were last heard of before gone, and other
// servers that were last heard of before silent.
func (r *Roster) Expire(gone, silent time.Time) {
	for id, e := range r.entries {
		limit := silent
		if e.Gone {
			limit = gone
		}
		if !e.LastHeard.Before(limit) {
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

// Forget removes a server whose state is uncertain.
func (r *Roster) Forget(id string) {
	if e, ok := r.entries[id]; ok {
		r.change++
		r.material = r.change
		r.forgetAddress(e)
		delete(r.entries, id)
	}
}

// Serving returns the servers that are neither leaving nor gone, sorted by ID.
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
