// Package membership keeps the directory of backend servers that have
// announced themselves. There is no list of servers: a server is present while
// its lease runs, and gone within one lease after its last announcement.
package membership

import (
	"time"

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

func (a Announcement) olderThan(b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Sequence <= b.Sequence
}

// Directory is a soft-state table of announced servers. It is not safe for
// concurrent use: one duty owns it.
type Directory struct {
	lease   time.Duration
	members map[string]member
}

type member struct {
	announcement Announcement
	expires      time.Time
}

// NewDirectory returns an empty directory whose members expire a lease after
// their last announcement.
func NewDirectory(lease time.Duration) *Directory {
	return &Directory{lease: lease, members: make(map[string]member)}
}

// Announce takes an announcement into account and reports whether it was newer
// than what was known.
func (d *Directory) Announce(a Announcement, now time.Time) bool {
	known, present := d.members[a.Server]
	if present && a.olderThan(known.announcement) {
		return false
	}
	d.members[a.Server] = member{announcement: a, expires: now.Add(d.lease)}
	return true
}

// Live drops expired members and returns the others, in no order.
func (d *Directory) Live(now time.Time) []Announcement {
	live := make([]Announcement, 0, len(d.members))
	for server, m := range d.members {
		if !now.Before(m.expires) {
			delete(d.members, server)
			continue
		}
		live = append(live, m.announcement)
	}
	return live
}
