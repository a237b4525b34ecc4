package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarypass/rosemarypass/coord/placement"
	"github.com/rosemarypass/rosemarypass/coord/quota"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/ledger"
	"github.com/rosemarypass/rosemarypass/internal/limiter"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/wait"
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
		RPC:    d.rpcOptions(),
	}, d.log)
	client := relay.NewClient(time.Duration(s.DialTimeout), d.clientOptions()...)
	limits := limiter.New(limiter.Options{
		Instance:  d.settings.Instance,
		Peers:     d.settings.ControlPeers,
		RPC:       d.rpcOptions(),
		Quota:     quota.DefaultOptions(),
		Freshness: follower.Freshness,
	}, follower.Config(), d.log)
	d.background.Go(func() { limits.Run(ctx) })
	commands := ledger.NewClient(d.settings.ControlPeers, d.rpcOptions()...)
	e := entry.New(entry.Options{
		Admission:        limits,
		MaxBodyBytes:     s.MaxBodyBytes,
		Intake:           d.intake,
		BodyTimeout:      time.Duration(s.BodyTimeout),
		WriteTimeout:     time.Duration(s.WriteTimeout),
		FirstByteTimeout: time.Duration(s.FirstByteTimeout),
		StallTimeout:     time.Duration(s.StallTimeout),
		SecureAgents:     d.identity != nil,
		Placement: placement.SelectorOptions{
			Packing:    d.settings.Packing,
			DataCentre: d.settings.DataCentre,
			Salt:       xxhash.Sum64String(d.settings.Instance),
		},
		Claims:     commands,
		Suspicions: commands,
	}, follower, client, d.log)
	d.background.Go(func() { follower.Run(ctx) })
	d.readiness = append(d.readiness, e.Ready)
	d.follower = follower
	return d.serveHTTP(entryListen, s.Listen, plaintext, e.Handler(), func(ctx context.Context) {
		e.Drain()
		_ = wait.For(ctx, stopGrace)
		d.reportAbortedRequests(entryListen, e.Wait(ctx))
		limits.Stop(ctx)
	})
}
