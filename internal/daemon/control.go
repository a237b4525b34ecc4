package daemon

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/broker"
	"github.com/rosemarypass/rosemarypass/coord/quota"
	"github.com/rosemarypass/rosemarypass/internal/control"
	"github.com/rosemarypass/rosemarypass/internal/replica"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/socket"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

func (d *Daemon) startControl(ctx context.Context) error {
	s := d.settings.Control
	if s == nil {
		return nil
	}
	c := control.New(control.Options{
		Instance:          d.settings.Instance,
		Peers:             d.settings.ControlPeers,
		ServerLease:       time.Duration(s.ServerLease),
		OperatorKeyHashes: s.OperatorKeyHashes,
		AnnounceKeyHashes: s.AnnounceKeyHashes,
		RPC:               d.rpcOptions(),
		Intake:            d.intake,
	}, d.log)
	listener, err := socket.Listen(s.PeerListen, socket.PeerUnread)
	if err != nil {
		return errors.Wrap(err, "control.peerListen")
	}
	handlers := c.Handlers()
	ownership, stopReplica, err := d.startReplica(ctx, c, handlers)
	if err != nil {
		_ = listener.Close()
		return err
	}
	quotas := control.NewQuotas(quota.DefaultOptions(), ownership, c.ActiveContract, d.log)
	c.UseQuotas(quotas)
	maps.Copy(handlers, quotas.Handlers())
	d.background.Go(func() { quotas.Run(ctx) })
	loads := control.NewLoadBroker(broker.Options{})
	handlers[wire.MethodLoads] = rpc.Typed(loads.Sync)
	server := rpc.NewServer(handlers, rpc.WithDrain(committingMethods...), rpc.WithMaxConns(d.settings.ConnectionLimits().Peers), rpc.WithLog(d.log))
	d.background.Go(func() { loads.Run(ctx) })
	d.background.Go(func() { _ = server.Serve(ctx, d.identity.Listen(listener)) })
	d.background.Go(func() { c.Run(ctx) })
	d.drains = append(d.drains, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, commandDrainTimeout)
		defer cancel()
		_ = listener.Close()
		server.Shutdown(ctx)
	})
	d.control = c
	return d.serveHTTP(operatorListen, s.OperatorListen, d.identity.ListenPublic, c.OperatorHandler(), stopReplica)
}

// startReplica starts log replication if the settings name a data folder. It adds
// the RPC methods of the log to handlers and returns the quota ownership and the
// function that a planned stop calls first.
func (d *Daemon) startReplica(ctx context.Context, c *control.Control, handlers map[string]rpc.Handler) (control.Ownership, func(context.Context), error) {
	s := d.settings.Control
	if s.DataFolder == "" {
		return c.SoleOwnership(), func(context.Context) {}, nil
	}
	r, err := replica.Open(replica.Options{
		Instance:  d.settings.Instance,
		Address:   s.PeerAddress,
		Peers:     d.settings.ControlPeers,
		Bootstrap: s.Bootstrap,
		Folder:    s.DataFolder,
		RPC:       d.rpcOptions(),
	}, c, d.log)
	if err != nil {
		return nil, nil, errors.Wrap(err, "control.dataFolder")
	}
	c.UseReplica(r)
	maps.Copy(handlers, r.Handlers())
	d.background.Go(func() { r.Run(ctx) })
	ownership := control.NewLeaderOwnership(r)
	d.background.Go(func() { ownership.Run(ctx) })
	return ownership, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
		defer cancel()
		r.Stop(ctx)
	}, nil
}

// committingMethods are the calls of other processes that commit a command to the log. A
// stop answers those in progress: their callers could not tell whether they took effect.
var committingMethods = []string{
	wire.MethodReplicaPropose, wire.MethodReplicaChange, wire.MethodClaim, wire.MethodSuspect, wire.MethodFence,
}

// commandDrainTimeout bounds the wait of a stop for commands of other processes. Most
// callers wait no longer for one.
const commandDrainTimeout = 2 * time.Second

// leadershipTransferTimeout bounds the leadership transfer during a planned stop.
const leadershipTransferTimeout = 3 * time.Second
