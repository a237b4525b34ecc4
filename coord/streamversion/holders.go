package streamversion

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/rosemarypass/rosemarypass/coord/rendezvous"
)

// Node is a process that can hold records.
type Node struct {
	Address string
	// Disk reports whether its records outlive a restart.
	Disk bool
}

const (
	// diskCopies and otherCopies are the numbers of processes that are told of a stream, beside the one
	// that began it: its record outlives the restart of all, and the loss of two machines with that one.
	diskCopies  = 1
	otherCopies = 2
	// Copies is the number of both.
	Copies = diskCopies + otherCopies
)

// Told returns the processes that are told of a stream: the first with a disk, and the first of the
// rest, in an order that all processes derive alike.
func Told(s Stream, nodes []Node) []Node { return choose(s, nodes, diskCopies, otherCopies) }

// Asked returns the processes that are asked for a stream: more than are told, as processes that know
// different ones derive different holders.
func Asked(s Stream, nodes []Node) []Node { return choose(s, nodes, 2*diskCopies, 2*otherCopies) }

func choose(s Stream, nodes []Node, disks, others int) []Node {
	type ranked struct {
		Node
		weight uint64
	}
	key := strconv.FormatUint(uint64(s), 16)
	order := make([]ranked, 0, len(nodes))
	for _, node := range nodes {
		order = append(order, ranked{node, rendezvous.Weight(key, node.Address)})
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	var chosen, rest []Node
	for _, r := range order {
		if r.Disk && len(chosen) < disks {
			chosen = append(chosen, r.Node)
		} else {
			rest = append(rest, r.Node)
		}
	}
	return append(chosen, rest[:min(others, len(rest))]...)
}
