package daemon

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/broker"
	"github.com/rosemarypass/rosemarypass/internal/control"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
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
	}, d.log)
	listener, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return errors.Wrap(err, "control.peerListen")
	}
	loads := control.NewLoadBroker(broker.Options{})
	handlers := c.Handlers()
	handlers[wire.MethodLoads] = rpc.Typed(loads.Sync)
	server := rpc.NewServer(handlers)
	d.duties.Go(func() { loads.Run(ctx) })
	d.duties.Go(func() { _ = server.Serve(ctx, listener) })
	d.duties.Go(func() { c.Run(ctx) })
	d.drains = append(d.drains, func(context.Context) {
		_ = listener.Close()
		server.Close()
	})
	d.control = c
	return d.serveHTTP("control.operatorListen", s.OperatorListen, withDebug(c.OperatorHandler()), func(context.Context) {})
}
