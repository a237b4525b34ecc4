package mesh

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/founding"
	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/replica"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

const (
	// membersInterval is the interval between two checks of the log's membership.
	membersInterval = 250 * time.Millisecond
	// changeTimeout bounds one membership change.
	changeTimeout = 2 * time.Second
)

// manageMembers runs on the leader: it adds processes with a disk to the log and removes
// members that will not come back, one change at a time.
func (h *logHost) manageMembers(ctx context.Context) {
	for ctx.Err() == nil {
		_ = wait.For(ctx, membersInterval)
		r := h.current.Load()
		if r == nil || r.Status().Role != replog.Leader {
			continue
		}
		change := founding.NextChange(h.membership(r.Status()))
		if change.Kind == founding.ChangeNone {
			continue
		}
		err := h.applyChange(ctx, r, change)
		h.mesh.log.Info("membership of the log", zap.String("change", string(change.Kind)), zap.String("member", change.Member), zap.String("address", change.Address), telemetry.Cause(err))
	}
}

func (h *logHost) applyChange(ctx context.Context, r *replica.Replica, change founding.Change) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	switch change.Kind {
	case founding.ChangeAdd:
		return r.AddLearner(ctx, replog.Member{ID: replog.ID(change.Member), Address: change.Address})
	case founding.ChangePromote:
		return r.Promote(ctx, replog.ID(change.Member))
	default:
		return r.Remove(ctx, replog.ID(change.Member))
	}
}

// membership describes the members of the log and the processes that could become
// members.
func (h *logHost) membership(status replog.Status) founding.Membership {
	m := h.mesh
	view := founding.Membership{Self: string(status.ID), Cluster: status.Config.Cluster, ToleratedLosses: m.options.ToleratedLosses}
	caughtUp := make(map[replog.ID]bool, len(status.Members))
	for _, s := range status.Members {
		caughtUp[s.ID] = s.CaughtUp
	}
	for _, member := range status.Config.Members() {
		view.Members = append(view.Members, founding.Member{
			ID: string(member.ID), Address: member.Address, Voter: status.Config.Voter(member.ID), CaughtUp: caughtUp[member.ID],
		})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, q := range m.peers {
		if q.process.Started == 0 {
			continue
		}
		view.Known = append(view.Known, founding.KnownProcess{Process: processOf(q.process), Silent: now.Sub(q.lastHeard)})
	}
	return view
}
