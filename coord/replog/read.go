package replog

import "slices"

// readQueue holds the reads that a quorum has not confirmed yet.
type readQueue struct {
	// round is the number of the latest read round. A heartbeat with the round of
	// a read, sent after the read arrived, confirms it.
	round   uint64
	pending []pendingRead
	// unsent is set while no heartbeat carries the latest round yet.
	unsent bool
}

type pendingRead struct {
	id    uint64
	round uint64
	// index is 0 until the leader has committed an entry of its own term.
	index uint64
}

func (q *readQueue) clear() []uint64 {
	failed := make([]uint64, 0, len(q.pending))
	for _, r := range q.pending {
		failed = append(failed, r.id)
	}
	q.pending, q.unsent = nil, false
	return failed
}

// ReadIndex requests the index that a linearizable read must wait for. The
// result is returned in Ready.Reads or Ready.FailedReads under the ID, which
// the caller chooses.
func (n *Node) ReadIndex(id uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.options.faults.unconfirmedRead {
		n.ready.Reads = append(n.ready.Reads, Read{ID: id, Index: n.commit})
		return nil
	}
	if !n.reads.unsent {
		n.reads.unsent = true
		n.reads.round++
	}
	n.reads.pending = append(n.reads.pending, pendingRead{id: id, round: n.reads.round})
	n.confirmReads()
	return nil
}

// confirmReads completes the reads that a quorum has confirmed. A leader unaware
// that it was deposed would otherwise return stale state.
func (n *Node) confirmReads() {
	if term, ok := n.log.term(n.commit); !ok || term != n.term {
		return
	}
	confirmed := n.confirmedRound()
	waiting := n.reads.pending[:0]
	for _, r := range n.reads.pending {
		if r.index == 0 {
			r.index = n.commit
		}
		if r.round <= confirmed {
			n.ready.Reads = append(n.ready.Reads, Read{ID: r.id, Index: r.index})
		} else {
			waiting = append(waiting, r)
		}
	}
	n.reads.pending = waiting
}

func (n *Node) confirmedRound() uint64 {
	return n.quorumValue(n.reads.round, func(p *progress) uint64 { return p.confirmedRead })
}

// quorumValue returns the highest value reached by a quorum of voters; own is
// the value of this node.
func (n *Node) quorumValue(own uint64, value func(*progress) uint64) uint64 {
	config := n.Config()
	if len(config.Voters) == 0 {
		return 0
	}
	values := make([]uint64, 0, len(config.Voters))
	for _, m := range config.Voters {
		if m.ID == n.options.ID {
			values = append(values, own)
		} else {
			values = append(values, value(n.progress[m.ID]))
		}
	}
	slices.Sort(values)
	return values[len(values)-config.Quorum()]
}
