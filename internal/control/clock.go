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
	// clockInterval is the time between two comparisons of the control instances' clocks.
	clockInterval = 10 * time.Second
	// maxClockAhead is how far an instance's clock may be ahead of the others
	// before the instance stops proposing.
	maxClockAhead = 5 * time.Second
)

var clockRefusedCount = telemetry.Counter("control_proposals_refused_clock")

// clockGuard prevents an instance whose clock is ahead from proposing. The state's
// clock is the highest time of any proposer: one command from a clock that is a
// year ahead would expire every lease and operation id at once, and keep all later
// ones from expiring for a year. The fault would only show when calls ran twice or
// the table of operation ids was full.
type clockGuard struct {
	mu    sync.Mutex
	ahead time.Duration
}

// set records how far the clock is ahead and reports whether that crossed
// maxClockAhead in either direction.
func (g *clockGuard) set(ahead time.Duration) (crossed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	crossed = (ahead > maxClockAhead) != (g.ahead > maxClockAhead)
	g.ahead = ahead
	return crossed
}

// check returns how far the clock is ahead and whether that is too far to propose.
func (g *clockGuard) check() (time.Duration, bool) {
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
			c.log.Warn("clock offset from the other control instances crossed the limit", zap.Duration("ahead", ahead))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// clockOffsets returns how far the clock of each instance that answers, including
// this one, is ahead of the local clock.
func (c *Control) clockOffsets(ctx context.Context) []time.Duration {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex
	var offsets []time.Duration
	var wg sync.WaitGroup
	for _, address := range c.options.Peers {
		wg.Go(func() {
			client := rpc.NewClient(address, c.options.RPC...)
			defer client.Close()
			_, offset, err := fetchStanding(ctx, client)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			offsets = append(offsets, offset)
		})
	}
	wg.Wait()
	return offsets
}

// fetchStanding returns the standing of another instance and how far its clock is
// ahead of the local clock, assuming that the call takes equally long in both
// directions.
func fetchStanding(ctx context.Context, client *rpc.Client) (wire.StandingReply, time.Duration, error) {
	var reply wire.StandingReply
	sent := time.Now()
	if err := client.Call(ctx, wire.MethodStanding, wire.StandingRequest{}, &reply); err != nil {
		return wire.StandingReply{}, 0, err
	}
	midpoint := sent.Add(time.Since(sent) / 2)
	return reply, time.UnixMilli(reply.ClockMillis).Sub(midpoint).Round(time.Millisecond), nil
}

// clockAhead returns how far the local clock is ahead of the median. Of an even
// number of clocks, the median nearer to the local clock is used, because with two
// clocks it is impossible to tell which one is wrong.
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
