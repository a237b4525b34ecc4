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

// fencingRetry is the pause after a failed question for a fencing number.
const fencingRetry = 200 * time.Millisecond

var errNoNumber = errors.New("no fencing number was issued yet")

// Fencer issues fencing numbers from the replicated log, each above all before.
type Fencer interface {
	Fence(ctx context.Context, server, holder string) (uint64, error)
}

// fencingNumber is this agent's number. An agent that was replaced, but is
// still running somewhere, would otherwise go on loading and evicting at an
// engine that another one fills; an engine that enforces numbers refuses it.
type fencingNumber struct {
	// issued is closed when number is set. Without a fencer it is closed
	// from the start, and the number is 0.
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

// get waits for the number.
func (f *fencingNumber) get(ctx context.Context) (uint64, error) {
	select {
	case <-f.issued:
		return f.number, nil
	case <-ctx.Done():
		return 0, errNoNumber
	}
}

// acquireFencing asks for a number until it has one.
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

// supersede takes this agent out of service: its engine has obeyed a newer one.
func (a *Agent) supersede() {
	if a.gate.Closed() {
		return
	}
	supersededCount.Add(1)
	a.log.Error("the engine refuses this agent's fencing number: a newer agent owns it", zap.Uint64("number", a.orders.fencing.number))
	a.gate.Close()
}
