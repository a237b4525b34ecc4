// Package membership keeps the directory of backend servers that have announced
// themselves. No configured list of servers exists: a server is listed until its
// lease expires, which is one lease after its last announcement.
//
// Each control instance holds a Directory and serves Deltas; entries apply them
// to a View.
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

// Load is a server's report of its own load. It lags behind the actual state.
type Load struct {
	// Running and Waiting are the numbers of requests at the server.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Capacity is the number of requests that the engine can batch at once.
	Capacity int `json:"capacity"`
	// Resident lists the loaded adapters.
	Resident []catalogue.Ref `json:"resident,omitempty"`
	// Loading lists the adapters that are being loaded.
	Loading []catalogue.Ref `json:"loading,omitempty"`
	// Obtainable is the number of adapter slots that are available to another
	// adapter now.
	Obtainable int `json:"obtainable,omitempty"`
	// VictimUse is the decayed use, in requests, of the adapter that the next
	// load would evict; 0 if a slot is free.
	VictimUse float64 `json:"victimUse,omitempty"`
	// LoadMillis is the recent duration of an adapter load in milliseconds,
	// including the wait for the permit.
	LoadMillis int `json:"loadMillis,omitempty"`
	// StallPercent is the percentage of recent requests that waited for their
	// adapter, and StallMillis their average wait in milliseconds. Both are
	// rounded.
	StallPercent int `json:"stallPercent,omitempty"`
	StallMillis  int `json:"stallMillis,omitempty"`
}

// useStep is the resolution, in requests, to which VictimUse is rounded before it
// is sent to daemons. The exact value decays continuously, so that every report
// would differ from the last and carry eight bytes that do not compress.
const useStep = 0.125

func (l Load) rounded() Load {
	l.VictimUse = math.Round(l.VictimUse/useStep) * useStep
	return l
}

// Announcement is the state that a backend server, or the agent in front of it,
// reports.
type Announcement struct {
	Server     string `json:"server"`
	Kind       Kind   `json:"kind"`
	Pool       string `json:"pool"`
	DataCentre string `json:"dataCentre"`
	// Address is where entries send requests: the agent's address, or the
	// server's own if it has no agent.
	Address string `json:"address"`
	// Agent reports whether an agent gates the server.
	Agent bool `json:"agent"`
	// BaseModel is the model that an engine serves.
	BaseModel string `json:"baseModel,omitempty"`
	// Slots is the number of the engine's adapter slots.
	Slots int `json:"slots,omitempty"`
	// Incarnation increases with every restart of the announcing process.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with every announcement of one incarnation. A delayed
	// announcement with a lower number must not undo a later one, such as the
	// notice that the server is leaving.
	Sequence uint64 `json:"sequence"`
	// Leaving reports whether the server has stopped accepting new work.
	Leaving bool `json:"leaving"`
	Load    Load `json:"load"`
}

// Bounds of an announcement. An announcement that exceeds them is refused, so
// that a faulty or foreign process cannot grow the directory of every daemon.
const (
	MaxAddressLength = 256
	MaxResident      = 1024
	MaxSlots         = 1024
)

// Validate returns an error for the first rule that the announcement violates.
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

// newerThan reports whether a supersedes b, an announcement of the same server.
func (a Announcement) newerThan(b Announcement) bool { return a.stamp().after(b.stamp()) }

func (a Announcement) stamp() stamp { return stamp{a.Incarnation, a.Sequence} }

// sameIdentity reports whether two announcements differ only in load and sequence
// number.
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
	// ErrFull means that the directory holds its maximum number of servers.
	ErrFull = errors.New("the directory holds its most servers")
)

// Options configures a Directory.
type Options struct {
	// Lease is how long a server stays listed after its last announcement.
	Lease time.Duration
	// MaxServers bounds the number of listed servers and, separately, of departed
	// servers that are remembered.
	MaxServers int
}

const defaultMaxServers = 4096

// Directory is a versioned soft-state table of announced servers. It is not safe
// for concurrent use; its owner serializes the calls.
type Directory struct {
	options Options
	epoch   uint64
	started time.Time
	// warm is the value of Warm last published to daemons.
	warm    bool
	version uint64
	nextID  uint32
	members map[string]*member
	// departures lists the members that left, for daemons that are behind.
	departures []departure
	// departed holds the last stamp of servers that left, so that a delayed
	// announcement does not list a stopped server again.
	departed      map[string]stamp
	departedOrder []string
}

type member struct {
	id           uint32
	announcement Announcement
	expires      time.Time
	// identityAt, residentAt and loadAt are the versions in which the identity,
	// the resident adapters and the load last changed.
	identityAt, residentAt, loadAt uint64
	// published is the load last published to daemons; the announcement's load
	// may be newer.
	published Load
}

type departure struct {
	version uint64
	id      uint32
}

// NewDirectory returns an empty directory. The epoch distinguishes it from every
// earlier directory, whose versions have no meaning in this one.
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

// Epoch returns the epoch, which distinguishes the directory from those of other
// control instances.
func (d *Directory) Epoch() uint64 { return d.epoch }

// Version returns the current version, which increases whenever there is a change
// for daemons.
func (d *Directory) Version() uint64 { return d.version }

// Announce records an announcement. A changed load becomes visible to daemons at
// the next Publish, any other change immediately. It returns ErrStale if a newer
// announcement of the server is known, and ErrFull if there is no room for another
// server.
func (d *Directory) Announce(a Announcement, now time.Time) error {
	if err := a.Validate(); err != nil {
		return err
	}
	current, present := d.members[a.Server]
	if !present {
		return d.join(a, now)
	}
	if !a.newerThan(current.announcement) {
		return ErrStale
	}
	if !a.sameIdentity(current.announcement) {
		d.version++
		current.identityAt = d.version
		current.published = a.Load.rounded()
	}
	current.announcement = a
	current.expires = now.Add(d.options.Lease)
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
		published:    a.Load.rounded(),
	}
	return nil
}

// Publish drops expired members and makes the loads that changed since the last
// call visible to daemons.
func (d *Directory) Publish(now time.Time) {
	d.Expire(now)
	next := d.version + 1
	if !d.warm && d.Warm(now) {
		d.warm = true
		d.version = next
	}
	for _, m := range d.members {
		if d.publishLoad(m, next) {
			d.version = next
		}
	}
}

func (d *Directory) publishLoad(m *member, version uint64) bool {
	latest := m.announcement.Load.rounded()
	if reflect.DeepEqual(latest, m.published) {
		return false
	}
	if !reflect.DeepEqual(latest.Resident, m.published.Resident) {
		m.residentAt = version
	}
	m.loadAt = version
	m.published = latest
	return true
}

// Expire drops the members whose lease has expired.
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

// Warm reports whether every running server has had a whole lease to announce
// itself since the directory was created. Before that, a missing server may still
// be running.
func (d *Directory) Warm(now time.Time) bool { return now.Sub(d.started) >= d.options.Lease }

// Live returns the last announcement of each member, in no particular order.
func (d *Directory) Live() []Announcement {
	live := make([]Announcement, 0, len(d.members))
	for _, m := range d.members {
		live = append(live, m.announcement)
	}
	return live
}
