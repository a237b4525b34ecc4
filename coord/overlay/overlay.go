// Package overlay decides which processes of a deployment greet each other. Up
// to some number of them all greet all. Beyond it a few of them are hubs: hubs
// greet each other, and each other process greets two hubs, which pass on what
// it says and tell it what they hear. What a process sends then grows with the
// number of hubs, and what a hub sends with its share of the others, where
// greetings of all by all grow with the number of processes at each.
//
// All processes derive the hubs from the processes they know. Those who know
// different ones for a moment may disagree; whoever is greeted passes news on,
// so that nothing is lost by it.
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
	// Disk is true when it can hold the log, Member when it is in it.
	Disk   bool
	Member bool
	// Lost is true when it did not answer lately.
	Lost bool
}

const (
	// MostHubs is the number of processes up to which all greet all. A hub of 370
	// processes then has some 45 others to tell, with two hubs each.
	MostHubs = 16
	// hubsEach is how many hubs each other process greets: one may be lost.
	hubsEach = 2
)

// Hubs lists the hubs among nodes: the members of the log, whose leader must
// hear the others, then those with a disk, then others, over all data centres
// alike.
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
			if n.Member || len(hubs) < MostHubs {
				hubs = append(hubs, n)
			}
		}
	}
	return hubs
}

// Greet lists the addresses that self greets, and whether it is a hub; others are
// the processes it knows.
func Greet(self Node, others []Node) (greeted []string, hub bool) {
	hubs := Hubs(append([]Node{self}, others...))
	if slices.ContainsFunc(hubs, func(n Node) bool { return n.Address == self.Address }) {
		return addresses(slices.DeleteFunc(hubs, func(n Node) bool { return n.Address == self.Address })), true
	}
	slices.SortStableFunc(hubs, func(a, b Node) int {
		return cmp.Or(falseFirst(a.Lost, b.Lost), falseFirst(a.DataCentre != self.DataCentre, b.DataCentre != self.DataCentre),
			cmp.Compare(rendezvous.Weight(self.Address, a.Address), rendezvous.Weight(self.Address, b.Address)))
	})
	return addresses(hubs[:min(hubsEach, len(hubs))]), false
}

func addresses(nodes []Node) []string {
	list := make([]string, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, n.Address)
	}
	return list
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Spread orders items so that each beginning of the list has about as many of
// each data centre. describe gives an item's data centre and a name that orders
// those of one data centre.
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
	for _, of := range byCentre {
		slices.SortFunc(of, func(a, b T) int {
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
