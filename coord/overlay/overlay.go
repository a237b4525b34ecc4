// Package overlay decides which processes of a deployment greet each other. In
// small deployments every process greets every other (full mesh). In larger ones
// a few processes are hubs: hubs greet each other, and every other process greets
// two hubs, which forward its updates and send it those of others. The traffic of
// a process then grows with the number of hubs, and that of a hub with its share
// of the other processes, whereas in a full mesh the traffic of each process grows
// with the number of all processes.
//
// Each process derives the hubs from the processes that it knows. Processes that
// temporarily know different ones may select different hubs. No update is lost,
// because every process that is greeted forwards updates.
package overlay

import (
	"cmp"
	"slices"

	"github.com/rosemarypass/rosemarypass/coord/rendezvous"
)

// Node is one process.
type Node struct {
	Address    string
	DataCentre string
	// Disk reports whether the process can store the log, Member whether it is a
	// member of the log.
	Disk   bool
	Member bool
	// Lost reports whether the process has not answered recently.
	Lost bool
}

const (
	// MaxHubs is the maximum number of hubs, unless the log has more members, and
	// the number of processes up to which every process greets every other. With
	// 370 processes and two hubs each, a hub serves about 45 other processes.
	MaxHubs = 16
	// hubsPerProcess is the number of hubs that every other process greets, so that
	// one of them may be lost.
	hubsPerProcess = 2
)

// Hubs returns the hubs among nodes: first the members of the log, whose leader
// must receive the updates of all others, then processes with a disk, then the
// rest. Each group is spread evenly over all data centres.
func Hubs(nodes []Node) []Node {
	var hubs []Node
	for _, rank := range []func(Node) bool{
		func(n Node) bool { return n.Member },
		func(n Node) bool { return n.Disk && !n.Member },
		func(n Node) bool { return !n.Disk && !n.Member },
	} {
		var ranked []Node
		for _, n := range nodes {
			if rank(n) {
				ranked = append(ranked, n)
			}
		}
		for _, n := range Spread(ranked, func(n Node) (string, string) { return n.DataCentre, n.Address }) {
			if n.Member || len(hubs) < MaxHubs {
				hubs = append(hubs, n)
			}
		}
	}
	return hubs
}

// Greet returns the addresses that self greets, and reports whether self is a hub.
// others are the processes that self knows.
func Greet(self Node, others []Node) (greeted []string, hub bool) {
	hubs := Hubs(append([]Node{self}, others...))
	if slices.ContainsFunc(hubs, func(n Node) bool { return n.Address == self.Address }) {
		return addresses(slices.DeleteFunc(hubs, func(n Node) bool { return n.Address == self.Address })), true
	}
	slices.SortStableFunc(hubs, func(a, b Node) int {
		return cmp.Or(compareBool(a.Lost, b.Lost), compareBool(a.DataCentre != self.DataCentre, b.DataCentre != self.DataCentre),
			cmp.Compare(rendezvous.Weight(self.Address, a.Address), rendezvous.Weight(self.Address, b.Address)))
	})
	return addresses(hubs[:min(hubsPerProcess, len(hubs))]), false
}

func addresses(nodes []Node) []string {
	list := make([]string, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, n.Address)
	}
	return list
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Spread orders items so that every prefix of the list has about the same number
// of items from each data centre. describe returns the data centre of an item and
// a name by which the items of one data centre are ordered.
func Spread[T any](items []T, describe func(T) (dataCentre, name string)) []T {
	byCentre := make(map[string][]T)
	var centres []string
	for _, item := range items {
		centre, _ := describe(item)
		if byCentre[centre] == nil {
			centres = append(centres, centre)
		}
		byCentre[centre] = append(byCentre[centre], item)
	}
	slices.Sort(centres)
	for _, group := range byCentre {
		slices.SortFunc(group, func(a, b T) int {
			_, first := describe(a)
			_, second := describe(b)
			return cmp.Compare(first, second)
		})
	}
	spread := make([]T, 0, len(items))
	for turn := 0; len(spread) < len(items); turn++ {
		for _, centre := range centres {
			if turn < len(byCentre[centre]) {
				spread = append(spread, byCentre[centre][turn])
			}
		}
	}
	return spread
}
