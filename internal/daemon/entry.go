package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/relay"
)

func (d *Daemon) startEntry(ctx context.Context) error {
	s := d.settings.Entry
	if s == nil {
		return nil
	}
	follower := follow.New(follow.Options{
		Daemon: d.settings.Instance,
		Peers:  d.settings.ControlPeers,
		Lease:  time.Duration(s.FreshnessLease),
	}, d.log)
	transport := relay.NewTransport(time.Duration(s.DialTimeout))
	e := entry.New(entry.Options{MaxBodyBytes: s.MaxBodyBytes}, follower, &http.Client{Transport: transport}, d.log)
	d.duties.Go(func() { follower.Run(ctx) })
	d.follower = follower
	return d.serveHTTP(entryListen, s.Listen, withDebug(e.Handler()), func(ctx context.Context) {
		e.Drain()
		pause(ctx, stopGrace)
		wait(ctx, e.Wait)
	})
}
