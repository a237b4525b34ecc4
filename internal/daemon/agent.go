package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/agent"
	"github.com/rosemarypass/rosemarypass/internal/relay"
)

func (d *Daemon) startAgent(ctx context.Context) error {
	s := d.settings.Agent
	if s == nil {
		return nil
	}
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
	}, &http.Client{Transport: relay.NewTransport(time.Second)}, d.log)
	d.duties.Go(func() { a.Run(ctx) })
	return d.serveHTTP("agent.listen", s.Listen, withDebug(a.Handler()), func(ctx context.Context) {
		a.Leave()
		wait(ctx, a.Wait)
	})
}
