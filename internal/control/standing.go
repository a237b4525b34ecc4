package control

import (
	"context"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

const (
	// confirmInterval is the time between two confirmations by a quorum.
	confirmInterval = 250 * time.Millisecond
	// confirmTimeout bounds the wait for one confirmation.
	confirmTimeout = time.Second
	// maxConfirmationAge is the maximum age of a confirmation that is passed on to
	// daemons.
	maxConfirmationAge = freshness.DefaultLease
)

var (
	confirmedCount   = telemetry.Counter("control_confirmations")
	unconfirmedCount = telemetry.Counter("control_confirmations_failed")
)

// runConfirmations periodically confirms with the log that this instance's state is
// complete, so that replies to daemons' watches can carry the proof.
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
	requested := time.Now()
	if err := c.commandLog.Barrier(ctx); err != nil {
		unconfirmedCount.Add(1)
		return
	}
	confirmedCount.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed, c.confirmedIndex = requested, c.machine.ConfigIndex()
}

// standing returns what this instance can prove in reply to a request that arrived
// at the given time. The caller holds mu.
func (c *Control) standing(arrived time.Time) freshness.Standing {
	standing := c.commandLog.Standing()
	standing.ConfigIndex = c.machine.ConfigIndex()
	if !c.confirmed.IsZero() && time.Since(c.confirmed) <= maxConfirmationAge {
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
