package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
)

// Server is one server in a view.
type Server struct {
	membership.Announcement
	// Rank is the server's position in its group, from 0. All viewers of the same
	// servers compute the same ranks.
	Rank int
	hash uint64
}

// group is a set of servers that can replace each other.
type group struct {
	kind membership.Kind
	name string
}

func groupOf(kind membership.Kind, pool, baseModel string) group {
	if kind == membership.KindService {
		return group{kind: kind, name: pool}
	}
	return group{kind: kind, name: baseModel}
}

// View is an immutable snapshot of the servers.
type View struct {
	servers []Server
	groups  map[group][]int32
	holding map[catalogue.Ref][]int32
	byName  map[string]int32
	at      time.Time
}

// NewView indexes announcements.
func NewView(announced []membership.Announcement, at time.Time) *View {
	v := &View{
		servers: make([]Server, len(announced)),
		groups:  make(map[group][]int32),
		holding: make(map[catalogue.Ref][]int32),
		byName:  make(map[string]int32, len(announced)),
		at:      at,
	}
	for i, a := range announced {
		v.servers[i] = Server{Announcement: a, hash: xxhash.Sum64String(a.Server)}
	}
	slices.SortFunc(v.servers, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Server, b.Server))
	})
	for i := range v.servers {
		v.index(int32(i))
	}
	return v
}

func (v *View) index(i int32) {
	s := &v.servers[i]
	v.byName[s.Server] = i
	if !s.Leaving {
		g := groupOf(s.Kind, s.Pool, s.BaseModel)
		s.Rank = len(v.groups[g])
		v.groups[g] = append(v.groups[g], i)
	}
	for _, ref := range s.Load.Resident {
		v.holding[ref] = append(v.holding[ref], i)
	}
	for _, ref := range s.Load.Loading {
		v.holding[ref] = append(v.holding[ref], i)
	}
}

// Servers returns the servers in the view's fixed order.
func (v *View) Servers() []Server { return v.servers }
