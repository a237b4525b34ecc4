package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// Delta brings a View from one version of a directory to another. Numbers
// stand for servers, so that a load report costs a few bytes.
type Delta struct {
	// Epoch and Version name the content that the delta leads to.
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
	// Whole means that Joined lists every member.
	Whole bool `json:"whole"`
	// Warm means that a server which is not listed is gone. A control
	// instance that just started does not know yet.
	Warm bool `json:"warm"`
	// Lease is the directory's lease.
	Lease     time.Duration `json:"lease"`
	Left      []uint32      `json:"left"`
	Joined    []Joined      `json:"joined"`
	Loads     []LoadOf      `json:"loads"`
	Residents []Resident    `json:"residents"`
}

// Joined is a member that is new or whose identity changed.
type Joined struct {
	ID           uint32       `json:"id"`
	Announcement Announcement `json:"announcement"`
}

// LoadOf is a member's load without its resident adapters.
type LoadOf struct {
	ID   uint32 `json:"id"`
	Load Load   `json:"load"`
}

// Resident is a member's new list of resident adapters.
type Resident struct {
	ID       uint32          `json:"id"`
	Adapters []catalogue.Ref `json:"adapters"`
}

// Delta returns what changed since a version of this directory's epoch, or the
// whole content when that is not known any more.
func (d *Directory) Delta(epoch, since uint64, now time.Time) Delta {
	whole := epoch != d.epoch || since > d.version || since < d.oldest()
	delta := Delta{Epoch: d.epoch, Version: d.version, Whole: whole, Warm: d.Warm(now), Lease: d.options.Lease}
	if whole {
		since = 0
	} else {
		delta.Left = d.leftSince(since)
	}
	for _, m := range d.members {
		m.addTo(&delta, since)
	}
	delta.sort()
	return delta
}

// oldest is the version from which on departures are known.
func (d *Directory) oldest() uint64 {
	if len(d.departures) < d.options.MaxServers {
		return 0
	}
	return d.departures[0].version
}

func (d *Directory) leftSince(since uint64) []uint32 {
	var left []uint32
	for _, gone := range d.departures {
		if gone.version > since {
			left = append(left, gone.id)
		}
	}
	return left
}

func (m *member) addTo(delta *Delta, since uint64) {
	if m.identityAt > since {
		shown := m.announcement
		shown.Load = m.shown
		delta.Joined = append(delta.Joined, Joined{ID: m.id, Announcement: shown})
		return
	}
	if m.loadAt > since {
		load := m.shown
		load.Resident = nil
		delta.Loads = append(delta.Loads, LoadOf{ID: m.id, Load: load})
	}
	if m.residentAt > since {
		delta.Residents = append(delta.Residents, Resident{ID: m.id, Adapters: m.shown.Resident})
	}
}

func (d *Delta) sort() {
	slices.SortFunc(d.Joined, func(a, b Joined) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Loads, func(a, b LoadOf) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Residents, func(a, b Resident) int { return cmp.Compare(a.ID, b.ID) })
}

// View is a daemon's copy of a directory. It is not safe for concurrent use.
type View struct {
	epoch   uint64
	version uint64
	warm    bool
	members map[uint32]Announcement
	// held are members of the last directory that a control instance which
	// just started has not heard of yet. Emptying the view instead would
	// leave an entry without servers after control restarts.
	held map[string]Announcement
	// leaving are servers of which another control instance told that they
	// leave, until when the present one must have heard it too.
	leaving map[string]time.Time
}

// NewView returns an empty view.
func NewView() *View { return &View{members: make(map[uint32]Announcement)} }

// Epoch is the directory that the view last took a delta from.
func (v *View) Epoch() uint64 { return v.epoch }

// Version is the directory's version that the view stands at.
func (v *View) Version() uint64 { return v.version }

// Apply takes a delta in and reports whether the view changed.
func (v *View) Apply(d Delta, now time.Time) bool {
	if !d.Whole && d.Epoch != v.epoch {
		return false
	}
	forgot := v.forgetLeaving(now)
	if d.Epoch == v.epoch && d.Version == v.version && d.Warm == v.warm {
		return forgot
	}
	last := v.byServer()
	if d.Epoch != v.epoch {
		v.rememberLeaving(now.Add(d.Lease))
	}
	if d.Whole {
		v.members = make(map[uint32]Announcement, len(d.Joined))
	}
	v.epoch, v.version, v.warm = d.Epoch, d.Version, d.Warm
	v.merge(d, last)
	v.hold(last)
	return true
}

func (v *View) merge(d Delta, last map[string]Announcement) {
	for _, id := range d.Left {
		delete(v.members, id)
	}
	for _, joined := range d.Joined {
		next := joined.Announcement
		if known, seen := last[next.Server]; !seen || next.newerThan(known) {
			delete(v.leaving, next.Server)
		}
		v.members[joined.ID] = next
	}
	for _, changed := range d.Loads {
		if m, known := v.members[changed.ID]; known {
			changed.Load.Resident = m.Load.Resident
			m.Load = changed.Load
			v.members[changed.ID] = m
		}
	}
	for _, changed := range d.Residents {
		if m, known := v.members[changed.ID]; known {
			m.Load.Resident = changed.Adapters
			v.members[changed.ID] = m
		}
	}
}

// hold keeps what was known before while the control instance is not warm.
func (v *View) hold(last map[string]Announcement) {
	v.held = nil
	if v.warm {
		return
	}
	for _, m := range v.members {
		delete(last, m.Server)
	}
	v.held = last
}

// rememberLeaving keeps the word of the control instance that the daemon moves
// away from: the next one may lag. A server that the next one still lists after
// a whole lease has announced itself there in the meantime.
func (v *View) rememberLeaving(until time.Time) {
	if v.leaving == nil {
		v.leaving = make(map[string]time.Time)
	}
	for _, m := range v.members {
		if m.Leaving {
			v.leaving[m.Server] = until
		}
	}
}

func (v *View) forgetLeaving(now time.Time) bool {
	forgot := false
	for server, until := range v.leaving {
		if !now.Before(until) {
			delete(v.leaving, server)
			forgot = true
		}
	}
	return forgot
}

func (v *View) byServer() map[string]Announcement {
	all := make(map[string]Announcement, len(v.members)+len(v.held))
	for server, m := range v.held {
		all[server] = m
	}
	for _, m := range v.members {
		all[m.Server] = m
	}
	return all
}

// Servers returns the members by name.
func (v *View) Servers() []Announcement {
	all := make([]Announcement, 0, len(v.members)+len(v.held))
	for _, m := range v.members {
		all = append(all, m)
	}
	for _, m := range v.held {
		all = append(all, m)
	}
	for i := range all {
		if _, leaves := v.leaving[all[i].Server]; leaves {
			all[i].Leaving = true
		}
	}
	slices.SortFunc(all, func(a, b Announcement) int { return cmp.Compare(a.Server, b.Server) })
	return all
}
