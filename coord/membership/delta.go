package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// Delta updates a View from one version of a directory to another. It refers to
// servers by numeric IDs, so that a load report takes only a few bytes.
type Delta struct {
	// Epoch and Version identify the content after the delta is applied.
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
	// Whole means that Joined lists every member.
	Whole bool `json:"whole"`
	// Warm means that a server that is not listed is gone. A control instance
	// that has just started does not know which servers are gone.
	Warm bool `json:"warm"`
	// Lease is how long the directory lists a server after its last
	// announcement.
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

// Delta returns the changes since the given version of the given epoch. It
// returns the whole content if the epoch is not this directory's or if the
// departures since that version are no longer known.
func (d *Directory) Delta(epoch, since uint64, now time.Time) Delta {
	whole := epoch != d.epoch || since > d.version || since < d.oldest()
	delta := Delta{Epoch: d.epoch, Version: d.version, Whole: whole, Warm: d.Warm(now), Lease: d.options.Lease}
	if whole {
		since = 0
	} else {
		delta.Left = d.leftSince(since)
	}
	for _, m := range d.members {
		m.appendTo(&delta, since)
	}
	delta.sort()
	return delta
}

// oldest returns the version since which all departures are known.
func (d *Directory) oldest() uint64 {
	if len(d.departures) < d.options.MaxServers {
		return 0
	}
	return d.departures[0].version
}

func (d *Directory) leftSince(since uint64) []uint32 {
	var left []uint32
	for _, departed := range d.departures {
		if departed.version > since {
			left = append(left, departed.id)
		}
	}
	return left
}

func (m *member) appendTo(delta *Delta, since uint64) {
	if m.identityAt > since {
		announced := m.announcement
		announced.Load = m.published
		delta.Joined = append(delta.Joined, Joined{ID: m.id, Announcement: announced})
		return
	}
	if m.loadAt > since {
		load := m.published
		load.Resident = nil
		delta.Loads = append(delta.Loads, LoadOf{ID: m.id, Load: load})
	}
	if m.residentAt > since {
		delta.Residents = append(delta.Residents, Resident{ID: m.id, Adapters: m.published.Resident})
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
	// retained are members of the previous directory that a newly started control
	// instance does not list yet. Dropping them would leave an entry without
	// servers after a restart of control.
	retained map[string]Announcement
	// leaving maps servers that another control instance reported as leaving to
	// the time by which the current instance must know it as well.
	leaving map[string]time.Time
}

// NewView returns an empty view.
func NewView() *View { return &View{members: make(map[uint32]Announcement)} }

// Epoch returns the epoch of the directory whose delta was applied last.
func (v *View) Epoch() uint64 { return v.epoch }

// Version returns the version of the directory that the view reflects.
func (v *View) Version() uint64 { return v.version }

// Apply applies a delta and reports whether the view changed.
func (v *View) Apply(d Delta, now time.Time) bool {
	if !d.Whole && d.Epoch != v.epoch {
		return false
	}
	expired := v.forgetLeaving(now)
	if d.Epoch == v.epoch && d.Version == v.version && d.Warm == v.warm {
		return expired
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
	v.retain(last)
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

// retain keeps the servers in last that are not listed any more while the control
// instance is not warm.
func (v *View) retain(last map[string]Announcement) {
	v.retained = nil
	if v.warm {
		return
	}
	for _, m := range v.members {
		delete(last, m.Server)
	}
	v.retained = last
}

// rememberLeaving keeps the servers that the previous control instance reported
// as leaving, because the next one may lag. A server that the next one still
// lists after a whole lease has announced itself there in the meantime.
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

// forgetLeaving drops the remembered leaving servers whose time has passed, and
// reports whether there were any.
func (v *View) forgetLeaving(now time.Time) bool {
	expired := false
	for server, until := range v.leaving {
		if !now.Before(until) {
			delete(v.leaving, server)
			expired = true
		}
	}
	return expired
}

func (v *View) byServer() map[string]Announcement {
	all := make(map[string]Announcement, len(v.members)+len(v.retained))
	for server, m := range v.retained {
		all[server] = m
	}
	for _, m := range v.members {
		all[m.Server] = m
	}
	return all
}

// Servers returns the members, sorted by name.
func (v *View) Servers() []Announcement {
	all := make([]Announcement, 0, len(v.members)+len(v.retained))
	for _, m := range v.members {
		all = append(all, m)
	}
	for _, m := range v.retained {
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
