package daemon

import (
	"context"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/agent"
	"github.com/rosemarypass/rosemarypass/internal/ledger"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

// engineDialTimeout bounds connecting to the engine beside the agent.
const engineDialTimeout = time.Second

func (d *Daemon) startAgent(ctx context.Context) error {
	s := d.settings.Agent
	if s == nil {
		return nil
	}
	commands := ledger.NewClient(d.settings.ControlPeers, d.rpcOptions()...)
	a := agent.New(agent.Options{
		Server:           s.Server,
		Pool:             s.Pool,
		DataCentre:       d.settings.DataCentre,
		BaseModel:        s.BaseModel,
		Address:          s.Listen,
		Engine:           s.Engine,
		Slots:            s.Slots,
		Queue:            s.Queue,
		LoadTimeout:      time.Duration(s.LoadTimeout),
		AnnounceInterval: time.Duration(s.AnnounceInterval),
		ControlPeers:     d.settings.ControlPeers,
		Suspicions:       commands,
		Fencer:           commands,
		RPC:              d.rpcOptions(),
	}, relay.NewClient(engineDialTimeout), d.log)
	d.duties.Go(func() { a.Run(ctx) })
	d.readiness = append(d.readiness, a.Ready)
	return d.serveHTTP(agentListen, s.Listen, d.identity.Listen, a.Handler(), func(ctx context.Context) {
		a.Leave()
		// The listener stays until entries have heard: a refusal sends a
		// request elsewhere at once, a dead address only after a timeout.
		_ = wait.For(ctx, stopGrace)
		d.reportCut(agentListen, a.Wait(ctx))
	})
}
