package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

var supersededCount = telemetry.Counter("agent_superseded")

// fencingRetry is the backoff after a failed request for a fencing number.
const fencingRetry = 200 * time.Millisecond

var errNoNumber = errors.New("no fencing number was issued yet")

// Fencer issues fencing numbers from the replicated log. Each number is greater
// than all earlier ones.
type Fencer interface {
	Fence(ctx context.Context, server, holder string) (uint64, error)
}

// fencingNumber is this agent's fencing number. Without it, an agent that was
// replaced but still runs elsewhere would continue to load and evict adapters
// on an engine that its replacement manages. An engine that enforces fencing
// numbers refuses the orders of the older agent.
type fencingNumber struct {
	// issued is closed when number is set. Without a fencer it is closed from
	// the start, and the number is 0.
	issued chan struct{}
	number uint64
}

func newFencingNumber(fencer Fencer) *fencingNumber {
	f := &fencingNumber{issued: make(chan struct{})}
	if fencer == nil {
		close(f.issued)
	}
	return f
}

// get waits until the number is issued and returns it.
func (f *fencingNumber) get(ctx context.Context) (uint64, error) {
	select {
	case <-f.issued:
		return f.number, nil
	case <-ctx.Done():
		return 0, errNoNumber
	}
}

// acquireFencing requests a fencing number until it gets one.
func (a *Agent) acquireFencing(ctx context.Context) {
	if a.options.Fencer == nil {
		return
	}
	holder := fmt.Sprintf("agent-%d", a.started)
	for ctx.Err() == nil {
		number, err := a.options.Fencer.Fence(ctx, a.options.Server, holder)
		if err == nil {
			a.orders.fencing.number = number
			close(a.orders.fencing.issued)
			return
		}
		_ = wait.For(ctx, fencingRetry)
	}
}

// supersede takes this agent out of service because its engine has accepted
// orders of a newer agent.
func (a *Agent) supersede() {
	if a.gate.Closed() {
		return
	}
	supersededCount.Add(1)
	a.log.Error("engine refused the fencing number of this agent; a newer agent manages the engine", zap.Uint64("number", a.orders.fencing.number))
	a.gate.Close()
}
