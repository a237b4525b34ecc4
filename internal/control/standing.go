package control

import (
	"context"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

const (
	// confirmInterval is the time between confirmations by a quorum.
	confirmInterval = 250 * time.Millisecond
	// confirmTimeout bounds one confirmation.
	confirmTimeout = time.Second
	// confirmLimit is how old a confirmation may be to be passed on.
	confirmLimit = freshness.DefaultLease
)

var (
	confirmedCount   = telemetry.Counter("control_confirmations")
	unconfirmedCount = telemetry.Counter("control_confirmations_failed")
)

// runConfirmations asks the log again and again whether this instance's state
// is whole, so that daemons' watches can carry the proof.
func (c *Control) runConfirmations(ctx context.Context) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		c.confirm(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Control) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	asked := time.Now()
	if err := c.durable.Barrier(ctx); err != nil {
		unconfirmedCount.Add(1)
		return
	}
	confirmedCount.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed, c.confirmedIndex = asked, c.machine.ConfigIndex()
}

// standing is what this instance can prove in answer to a question that
// arrived at the given time. The caller holds mu.
func (c *Control) standing(arrived time.Time) freshness.Standing {
	standing := c.durable.Standing()
	standing.ConfigIndex = c.machine.ConfigIndex()
	if !c.confirmed.IsZero() && time.Since(c.confirmed) <= confirmLimit {
		standing.Confirmed = true
		standing.ConfirmedAge = arrived.Sub(c.confirmed)
		standing.ConfirmedIndex = c.confirmedIndex
	}
	return standing
}

func (c *Control) answerStanding(context.Context, wire.StandingRequest) (wire.StandingReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return wire.StandingReply{Instance: c.options.Instance, Standing: c.standing(now), ClockMillis: now.UnixMilli()}, nil
}
