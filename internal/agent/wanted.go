package agent

import (
	"context"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

var wantedChangeCount = telemetry.Counter("agent_wanted_changes")

// followWanted refuses or accepts new requests according to the state that operators
// want, before the change is confirmed to control. If control is unreachable, the
// last known state stays in effect.
func (a *Agent) followWanted(ctx context.Context) {
	follow.New(follow.Options{
		Daemon:   "agent:" + a.options.Server,
		Peers:    a.options.ControlPeers,
		Server:   a.options.Server,
		RPC:      a.options.RPC,
		OnChange: func(config *follow.Config) { a.applyWanted(config.Wanted(a.options.Server)) },
	}, a.log).Run(ctx)
}

func (a *Agent) applyWanted(wanted state.Wanted) {
	closed := wanted != state.WantedServing
	if a.operatorClosed.Swap(closed) == closed {
		return
	}
	wantedChangeCount.Add(1)
	a.log.Info("wanted state changed", zap.String("wanted", string(wanted)))
}

// refusesWork reports whether new requests are refused, because of a planned
// stop of this process or an operator's request.
func (a *Agent) refusesWork() bool { return a.gate.Closed() || a.operatorClosed.Load() }
