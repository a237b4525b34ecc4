package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	claimCount       = telemetry.Counter("control_claims")
	claimFailedCount = telemetry.Counter("control_claims_failed")
	suspicionCount   = telemetry.Counter("control_suspicions")
)

// claim commits an entry's command about a call that must run at most once. After
// an error it is unknown whether the command was committed; the entry resends it.
func (c *Control) claim(ctx context.Context, in wire.Claim) (wire.ClaimReply, error) {
	claimCount.Add(1)
	result, err := c.Propose(ctx, state.Command{Claim: &in.Command})
	if err != nil {
		claimFailedCount.Add(1)
		return wire.ClaimReply{}, err
	}
	if result.Claim == nil {
		claimFailedCount.Add(1)
		return wire.ClaimReply{}, errors.Errorf("claim refused: %s", result.Message)
	}
	return wire.ClaimReply{Reply: *result.Claim}, nil
}

// suspect commits a command about requests that crash their servers.
func (c *Control) suspect(ctx context.Context, in wire.Suspicion) (wire.SuspicionReply, error) {
	suspicionCount.Add(1)
	result, err := c.Propose(ctx, state.Command{Suspicion: &in.Command})
	if err != nil {
		return wire.SuspicionReply{}, err
	}
	if result.Suspicion == "" {
		return wire.SuspicionReply{}, errors.Errorf("suspicion refused: %s", result.Message)
	}
	return wire.SuspicionReply{Verdict: result.Suspicion}, nil
}

// fence commits the next fencing number of a backend server's engine.
func (c *Control) fence(ctx context.Context, in wire.Fence) (wire.FenceReply, error) {
	result, err := c.Propose(ctx, state.Command{Fence: &state.Fence{Server: in.Server, Holder: in.Holder}})
	if err != nil {
		return wire.FenceReply{}, err
	}
	if result.Code != state.CodeOK {
		return wire.FenceReply{}, errors.Errorf("no fencing number: %s", result.Message)
	}
	return wire.FenceReply{Number: result.Fencing}, nil
}
