package mesh

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/serverrate"
)

// announceServer announces a server at one entry and waits until all know it.
func (f *fleet) announceServer(i int, id string) serverrate.Life {
	f.t.Helper()
	life := serverrate.Life{ID: id, Born: time.Now().UnixMilli()}
	s := roster.Server{ID: id, Born: life.Born, Sequence: 1, Service: streamService, Address: id + ":1"}
	eventually(f.t, func() bool { return f.nodes[i].Announce(context.Background(), s) == nil })
	for _, node := range f.nodes {
		eventually(f.t, func() bool { e, ok := node.Announced(id); return ok && e.Born == life.Born })
	}
	return life
}

// awaitRate waits until entries know the rate of a server, 0 for none.
func (f *fleet) awaitRate(life serverrate.Life, rate float64, nodes ...int) {
	f.t.Helper()
	for i, node := range f.nodes {
		if slices.Contains(nodes, i) {
			eventually(f.t, func() bool { return node.ServerRates().Rates[life] == rate })
		}
	}
}

// Guards against entries that send as they like to a server whose rate another entry has heard of, and ones that obey it after it has ended.
func TestRatesAreToldToAllEntries(t *testing.T) {
	f := startFleet(t, 2, 3)
	life := f.announceServer(0, "s1")
	f.nodes[4].RateNamed(life, 2.5)
	f.awaitRate(life, 2.5, 0, 1, 2, 3, 4)
	// Evidence is told older than it is by a margin, which must have passed since the naming.
	eventually(t, func() bool {
		f.nodes[1].RateNotNamed(life, time.Now())
		return len(f.nodes[0].ServerRates().Rates) == 0
	})
	f.awaitRate(life, 0, 0, 1, 2, 3, 4)
}

// Guards against an entry that has started, serves, and does not know which servers are in need.
func TestStartedEntryIsToldTheRates(t *testing.T) {
	f := startFleet(t, 2, 2)
	life := f.announceServer(0, "s1")
	f.nodes[0].RateNamed(life, 7)
	f.awaitRate(life, 7, 0, 1, 2, 3)
	f.stop(3)
	f.start(3, false)
	eventually(t, f.nodes[3].Informed)
	f.awaitRate(life, 7, 3)
}

// Guards against rates of servers that are gone, which would be kept and told for good.
func TestRateEndsWithItsServer(t *testing.T) {
	f := startFleet(t, 2, 1)
	life := f.announceServer(0, "s1")
	f.nodes[1].RateNamed(life, 3)
	f.awaitRate(life, 3, 0, 1, 2)
	eventually(t, func() bool { return f.nodes[0].Leave(context.Background(), life.ID, life.Born) == nil })
	f.awaitRate(life, 0, 0, 1, 2)
	eventually(t, func() bool { return !f.nodes[2].ServerRates().Recorded })
}
