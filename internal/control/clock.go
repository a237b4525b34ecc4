package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

const (
	// clockInterval is the time between two comparisons of the clocks.
	clockInterval = 10 * time.Second
	// maxClockAhead is how far an instance's clock may be ahead of the others
	// before it proposes nothing more.
	maxClockAhead = 5 * time.Second
)

var clockRefusedCount = telemetry.Counter("control_proposals_refused_clock")

// clockGuard keeps an instance whose clock is ahead from proposing. The state's
// clock is the highest proposer's time: one command from a clock that is a year
// ahead would let every lease and operation id expire at once, and keep all
// later ones from expiring for a year. Nobody would notice before calls ran
// twice or the table of operation ids was full.
type clockGuard struct {
	mu    sync.Mutex
	ahead time.Duration
}

func (g *clockGuard) set(ahead time.Duration) (crossed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	crossed = (ahead > maxClockAhead) != (g.ahead > maxClockAhead)
	g.ahead = ahead
	return crossed
}

// refuses reports whether the clock is too far ahead to propose, and by how much.
func (g *clockGuard) refuses() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ahead, g.ahead > maxClockAhead
}

func (c *Control) runClockChecks(ctx context.Context) {
	ticker := time.NewTicker(clockInterval)
	defer ticker.Stop()
	for {
		ahead := clockAhead(c.clockOffsets(ctx))
		if c.clock.set(ahead) {
			c.log.Warn("the clock's distance from the other control instances changed", zap.Duration("ahead", ahead))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// clockOffsets returns how far the clocks of the instances that answer, this
// one among them, are ahead of this one's.
func (c *Control) clockOffsets(ctx context.Context) []time.Duration {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex
	var offsets []time.Duration
	var questions sync.WaitGroup
	for _, address := range c.options.Peers {
		questions.Go(func() {
			client := rpc.NewClient(address, c.options.RPC...)
			defer client.Close()
			_, offset, err := askStanding(ctx, client)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			offsets = append(offsets, offset)
		})
	}
	questions.Wait()
	return offsets
}

// askStanding also returns how far the other's clock is ahead of this one's,
// taking the way there and back as equally long.
func askStanding(ctx context.Context, client *rpc.Client) (wire.StandingReply, time.Duration, error) {
	var reply wire.StandingReply
	sent := time.Now()
	if err := client.Call(ctx, wire.MethodStanding, wire.StandingRequest{}, &reply); err != nil {
		return wire.StandingReply{}, 0, err
	}
	middle := sent.Add(time.Since(sent) / 2)
	return reply, time.UnixMilli(reply.ClockMillis).Sub(middle).Round(time.Millisecond), nil
}

// clockAhead is how far this clock is ahead of the middle one. Of an even
// number the middle nearer to this clock counts: of two clocks nobody knows
// which is wrong.
func clockAhead(offsets []time.Duration) time.Duration {
	if len(offsets) == 0 {
		return 0
	}
	slices.Sort(offsets)
	lower, upper := offsets[(len(offsets)-1)/2], offsets[len(offsets)/2]
	if lower.Abs() < upper.Abs() {
		return -lower
	}
	return -upper
}
