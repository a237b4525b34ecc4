package control

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/replica"
)

const (
	// ownershipInterval is the time between two confirmations of the leader by a quorum.
	ownershipInterval = 150 * time.Millisecond
	// ownershipLease is how long a confirmation is valid, counted from its request.
	// It is shorter than the election timeout, during which no voter that took
	// part in the confirmation elects another leader.
	ownershipLease = 500 * time.Millisecond
)

// LeaderOwnership makes the leader of the log the owner of the quotas.
//
// The leader's own lease is counted in ticks, and a process that was suspended has
// missed ticks: after it resumes it would rely on an expired lease for a moment and
// lease shares that its successor leases too. Therefore a quorum confirms the leader
// periodically, and the validity of a confirmation is measured with the clock from
// before its request.
type LeaderOwnership struct {
	replica *replica.Replica

	mu sync.Mutex
	// term is the confirmed term, and startIndex the log's last index when the term
	// was first confirmed.
	term, startIndex uint64
	validUntil       time.Time
}

// NewLeaderOwnership returns an unconfirmed ownership. Run keeps it up to date.
func NewLeaderOwnership(r *replica.Replica) *LeaderOwnership { return &LeaderOwnership{replica: r} }

// Run requests confirmations of the ownership until ctx ends.
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
	requested := time.Now()
	before := o.replica.Status()
	if before.Role != replog.Leader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ownershipLease)
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
		o.term, o.startIndex = after.Term, after.Last
	}
	o.validUntil = requested.Add(ownershipLease)
}

// QuotaTenure implements Ownership.
func (o *LeaderOwnership) QuotaTenure() (epoch, lastIndex uint64, owner bool) {
	status := o.replica.Status()
	o.mu.Lock()
	defer o.mu.Unlock()
	// A leader that has requested a leadership transfer holds no lease.
	owner = status.LeaseTicks > 0 && status.Term == o.term && time.Now().Before(o.validUntil)
	return o.term, o.startIndex, owner
}
