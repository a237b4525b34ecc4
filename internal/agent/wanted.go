package agent

import (
	"context"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

var wantedChangeCount = telemetry.Counter("agent_wanted_changes")

// followWanted closes and opens the gate as operators want it, before the
// change is confirmed to control. The last known order stays in force when
// control cannot be reached.
func (a *Agent) followWanted(ctx context.Context) {
	follow.New(follow.Options{
		Daemon:   "agent:" + a.options.Server,
		Peers:    a.options.ControlPeers,
		Server:   a.options.Server,
		RPC:      a.options.RPC,
		OnChange: func(config *follow.Config) { a.want(config.Wanted(a.options.Server)) },
	}, a.log).Run(ctx)
}

func (a *Agent) want(wanted state.Wanted) {
	closed := wanted != state.WantedServing
	if a.closed.Swap(closed) == closed {
		return
	}
	wantedChangeCount.Add(1)
	a.log.Info("wanted state changed", zap.String("wanted", string(wanted)))
}

// refusesWork reports whether the gate is closed, by a planned stop of this
// process or by an operator's order.
func (a *Agent) refusesWork() bool { return a.gate.Closed() || a.closed.Load() }
