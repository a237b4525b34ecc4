// Package membership keeps the directory of backend servers that have
// announced themselves. There is no list of servers: a server is present while
// its lease runs, and gone within one lease after its last announcement.
//
// Control instances hold a Directory each and hand out Deltas; entries hold a
// View that takes them in.
package membership

import (
	"math"
	"reflect"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// Kind distinguishes model engines from plain services.
type Kind string

const (
	// KindEngine is a model engine with adapter slots.
	KindEngine Kind = "engine"
	// KindService is a plain service.
	KindService Kind = "service"
)

// Load is a server's report about itself; it lags behind the truth.
type Load struct {
	// Running and Waiting count requests at the server.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Capacity is how many requests the engine can batch at once.
	Capacity int `json:"capacity"`
	// Resident lists the loaded adapters.
	Resident []catalogue.Ref `json:"resident,omitempty"`
	// Loading lists the adapters on their way.
	Loading []catalogue.Ref `json:"loading,omitempty"`
	// Obtainable counts the adapter slots that another adapter could get now.
	Obtainable int `json:"obtainable,omitempty"`
	// VictimUse is the decayed use, in requests, of the adapter that the next
	// load would evict; 0 when a slot is free.
	VictimUse float64 `json:"victimUse,omitempty"`
	// LoadMillis is the recent time of a load, permit included.
	LoadMillis int `json:"loadMillis,omitempty"`
	// StallPercent is the share of recent requests that waited for their
	// adapter, StallMillis how long these waited on average. Both are rounded.
	StallPercent int `json:"stallPercent,omitempty"`
	StallMillis  int `json:"stallMillis,omitempty"`
}

// useStep is the step in which daemons see VictimUse, in requests. The exact
// value decays from moment to moment, so that every report would differ from
// the last and carry eight bytes that no compression shortens.
const useStep = 0.125

func (l Load) coarse() Load {
	l.VictimUse = math.Round(l.VictimUse/useStep) * useStep
	return l
}

// Announcement is what a backend server, or the agent beside it, says of itself.
type Announcement struct {
	Server     string `json:"server"`
	Kind       Kind   `json:"kind"`
	Pool       string `json:"pool"`
	DataCentre string `json:"dataCentre"`
	// Address is where entries send requests: the agent's address, or the
	// server's own when it has no agent.
	Address string `json:"address"`
	// Agent is true when an agent gates the server.
	Agent bool `json:"agent"`
	// BaseModel is the model that an engine serves.
	BaseModel string `json:"baseModel,omitempty"`
	// Slots is the number of adapter slots of an engine.
	Slots int `json:"slots,omitempty"`
	// Incarnation grows with every restart of the announcing process.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with every announcement of one incarnation. A delayed
	// announcement with a lower number must not undo a later one, such as a
	// server's word that it is leaving.
	Sequence uint64 `json:"sequence"`
	// Leaving is true once the server takes no new work.
	Leaving bool `json:"leaving"`
	Load    Load `json:"load"`
}

// Bounds of an announcement. An announcer that exceeds them is refused, so that
// a faulty or foreign process cannot grow the directory of every daemon.
const (
	MaxAddressLength = 256
	MaxResident      = 1024
	MaxSlots         = 1024
)

// Validate reports the first rule that the announcement breaks.
func (a Announcement) Validate() error {
	if err := catalogue.CheckName(a.Server); err != nil {
		return errors.Wrap(err, "server")
	}
	if a.Kind != KindEngine && a.Kind != KindService {
		return errors.Errorf("server %s: kind %q is none of engine, service", a.Server, a.Kind)
	}
	for _, name := range []string{a.Pool, a.DataCentre, a.BaseModel} {
		if len(name) > catalogue.MaxNameLength {
			return errors.Errorf("server %s: a name is longer than %d bytes", a.Server, catalogue.MaxNameLength)
		}
	}
	if a.Address == "" || len(a.Address) > MaxAddressLength {
		return errors.Errorf("server %s: the address must have 1 to %d bytes", a.Server, MaxAddressLength)
	}
	if len(a.Load.Resident) > MaxResident || len(a.Load.Loading) > MaxResident || a.Slots < 0 || a.Slots > MaxSlots {
		return errors.Errorf("server %s: more than %d resident adapters or slots", a.Server, MaxResident)
	}
	for _, ref := range slices.Concat(a.Load.Resident, a.Load.Loading) {
		if _, err := catalogue.ParseRef(ref.String()); err != nil {
			return errors.Wrapf(err, "server %s: adapters", a.Server)
		}
	}
	return nil
}

// newerThan orders announcements of one server.
func (a Announcement) newerThan(b Announcement) bool { return a.stamp().after(b.stamp()) }

func (a Announcement) stamp() stamp { return stamp{a.Incarnation, a.Sequence} }

// sameIdentity reports whether two announcements differ in load and number only.
func (a Announcement) sameIdentity(b Announcement) bool {
	a.Load, b.Load = Load{}, Load{}
	a.Sequence, b.Sequence = 0, 0
	return reflect.DeepEqual(a, b)
}

// stamp orders the announcements of one server.
type stamp struct{ incarnation, sequence uint64 }

func (s stamp) after(o stamp) bool {
	if s.incarnation != o.incarnation {
		return s.incarnation > o.incarnation
	}
	return s.sequence > o.sequence
}

// Errors of Announce.
var (
	// ErrStale means that a newer announcement of the server is known.
	ErrStale = errors.New("a newer announcement of this server is known")
	// ErrFull means that the directory holds its most servers.
	ErrFull = errors.New("the directory holds its most servers")
)

// Options configure a directory.
type Options struct {
	// Lease is how long a server stays listed after its last announcement.
	Lease time.Duration
	// MaxServers bounds the servers, and the departed ones that are remembered.
	MaxServers int
}

const defaultMaxServers = 4096

// Directory is a soft-state table of announced servers with versions. It is
// not safe for concurrent use: one duty owns it.
type Directory struct {
	options Options
	epoch   uint64
	started time.Time
	// warm is what daemons were told of Warm.
	warm    bool
	version uint64
	nextID  uint32
	members map[string]*member
	// departures tell daemons that are behind which members have gone.
	departures []departure
	// departed keeps the last stamp of servers that went, so that a delayed
	// announcement does not list a stopped server again.
	departed      map[string]stamp
	departedOrder []string
}

type member struct {
	id           uint32
	announcement Announcement
	expires      time.Time
	// identityAt, residentAt and loadAt are the versions of the last change.
	identityAt, residentAt, loadAt uint64
	// shown is the load that daemons were told; the announcement's is newer.
	shown Load
}

type departure struct {
	version uint64
	id      uint32
}

// NewDirectory returns an empty directory. Epoch tells it apart from every
// earlier directory, whose versions mean nothing in this one.
func NewDirectory(options Options, epoch uint64, now time.Time) *Directory {
	if options.MaxServers == 0 {
		options.MaxServers = defaultMaxServers
	}
	return &Directory{
		options:  options,
		epoch:    epoch,
		started:  now,
		members:  make(map[string]*member),
		departed: make(map[string]stamp),
	}
}

// Epoch tells the directory apart from those of other control instances.
func (d *Directory) Epoch() uint64 { return d.epoch }

// Version moves when daemons have something to learn.
func (d *Directory) Version() uint64 { return d.version }

// Announce takes an announcement into account. A change of load is shown to
// daemons at the next Publish only, other changes at once.
func (d *Directory) Announce(a Announcement, now time.Time) error {
	if err := a.Validate(); err != nil {
		return err
	}
	known, present := d.members[a.Server]
	if !present {
		return d.join(a, now)
	}
	if !a.newerThan(known.announcement) {
		return ErrStale
	}
	if !a.sameIdentity(known.announcement) {
		d.version++
		known.identityAt = d.version
		known.shown = a.Load.coarse()
	}
	known.announcement = a
	known.expires = now.Add(d.options.Lease)
	return nil
}

func (d *Directory) join(a Announcement, now time.Time) error {
	if last, remembered := d.departed[a.Server]; remembered && !a.stamp().after(last) {
		return ErrStale
	}
	if len(d.members) >= d.options.MaxServers {
		return ErrFull
	}
	d.version++
	d.nextID++
	d.members[a.Server] = &member{
		id:           d.nextID,
		announcement: a,
		expires:      now.Add(d.options.Lease),
		identityAt:   d.version,
		shown:        a.Load.coarse(),
	}
	return nil
}

// Publish drops expired members and shows daemons the loads that changed since
// the last call.
func (d *Directory) Publish(now time.Time) {
	d.Expire(now)
	next := d.version + 1
	if !d.warm && d.Warm(now) {
		d.warm = true
		d.version = next
	}
	for _, m := range d.members {
		if d.showLoad(m, next) {
			d.version = next
		}
	}
}

func (d *Directory) showLoad(m *member, version uint64) bool {
	latest := m.announcement.Load.coarse()
	if reflect.DeepEqual(latest, m.shown) {
		return false
	}
	if !reflect.DeepEqual(latest.Resident, m.shown.Resident) {
		m.residentAt = version
	}
	m.loadAt = version
	m.shown = latest
	return true
}

// Expire drops the members whose lease has run out.
func (d *Directory) Expire(now time.Time) {
	for server, m := range d.members {
		if now.Before(m.expires) {
			continue
		}
		delete(d.members, server)
		d.version++
		d.departures = append(d.departures, departure{version: d.version, id: m.id})
		d.remember(server, m.announcement.stamp())
	}
	if excess := len(d.departures) - d.options.MaxServers; excess > 0 {
		d.departures = d.departures[excess:]
	}
}

func (d *Directory) remember(server string, last stamp) {
	if _, known := d.departed[server]; !known {
		d.departedOrder = append(d.departedOrder, server)
	}
	d.departed[server] = last
	if len(d.departedOrder) > d.options.MaxServers {
		delete(d.departed, d.departedOrder[0])
		d.departedOrder = d.departedOrder[1:]
	}
}

// Warm reports whether every living server has had a whole lease to announce
// itself since the directory began. Before that, absence proves nothing.
func (d *Directory) Warm(now time.Time) bool { return now.Sub(d.started) >= d.options.Lease }

// Live returns the members' last announcements, in no order.
func (d *Directory) Live() []Announcement {
	live := make([]Announcement, 0, len(d.members))
	for _, m := range d.members {
		live = append(live, m.announcement)
	}
	return live
}
