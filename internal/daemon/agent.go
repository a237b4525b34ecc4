package daemon

import (
	"context"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/agent"
	"github.com/rosemarypass/rosemarypass/internal/ledger"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

// engineDialTimeout bounds the connection set-up to the agent's local engine.
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
		Intake:           d.intake,
	}, relay.NewClient(engineDialTimeout), d.log)
	d.background.Go(func() { a.Run(ctx) })
	d.readiness = append(d.readiness, a.Ready)
	return d.serveHTTP(agentListen, s.Listen, d.identity.Listen, a.Handler(), func(ctx context.Context) {
		a.Leave()
		// Keep the listener open until the entries have received the leave
		// announcement: an entry retries a refused request on another server at
		// once, but a request to a closed address only after a timeout.
		_ = wait.For(ctx, stopGrace)
		d.reportAbortedRequests(agentListen, a.Wait(ctx))
	})
}
