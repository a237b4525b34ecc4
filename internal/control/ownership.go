package control

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/replica"
)

const (
	// ownershipInterval is the time between two confirmations by a quorum.
	ownershipInterval = 150 * time.Millisecond
	// ownershipHold is how long a confirmation lasts from when it was asked
	// for: less than an election timeout, during which no voter that took
	// part in it elects another leader.
	ownershipHold = 500 * time.Millisecond
)

// LeaderOwnership makes the leader of the log the owner of the quotas.
//
// The leader's own lease counts ticks, which a process that stood still has
// missed: it would believe in an old lease for a moment after it goes on, and
// lease shares that its successor leases too. So a quorum confirms the leader
// over and over, and a confirmation is counted by the clock from before it was
// asked for.
type LeaderOwnership struct {
	replica *replica.Replica

	mu sync.Mutex
	// term is the confirmed one, since the last index when it was confirmed first.
	term, since uint64
	until       time.Time
}

// NewLeaderOwnership returns an ownership; Run keeps it up to date.
func NewLeaderOwnership(r *replica.Replica) *LeaderOwnership { return &LeaderOwnership{replica: r} }

// Run confirms the ownership until ctx ends.
func (o *LeaderOwnership) Run(ctx context.Context) {
	ticker := time.NewTicker(ownershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.confirm(ctx)
		}
	}
}

func (o *LeaderOwnership) confirm(ctx context.Context) {
	asked := time.Now()
	before := o.replica.Status()
	if before.Role != replog.Leader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ownershipHold)
	defer cancel()
	if _, err := o.replica.ReadIndex(ctx); err != nil {
		return
	}
	after := o.replica.Status()
	if after.Role != replog.Leader || after.Term != before.Term {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term != after.Term {
		o.term, o.since = after.Term, after.Last
	}
	o.until = asked.Add(ownershipHold)
}

// QuotaTenure implements Ownership.
func (o *LeaderOwnership) QuotaTenure() (epoch, lastIndex uint64, owner bool) {
	status := o.replica.Status()
	o.mu.Lock()
	defer o.mu.Unlock()
	// A leader that has asked for a transfer has no lease any more.
	owner = status.LeaseTicks > 0 && status.Term == o.term && time.Now().Before(o.until)
	return o.term, o.since, owner
}
