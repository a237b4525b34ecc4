package daemon

import (
	"context"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/peertls"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
)

// loadIdentity loads the instance's certificates if the settings name any.
func (d *Daemon) loadIdentity(context.Context) error {
	s := d.settings.PeerTLS
	if s == nil {
		return nil
	}
	identity, err := peertls.Load(peertls.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority})
	if err != nil {
		return errors.Wrap(err, "peerTLS")
	}
	d.identity = identity
	return nil
}

func (d *Daemon) rpcOptions() []rpc.ClientOption {
	return []rpc.ClientOption{rpc.WithIdentity(d.identity)}
}

// clientOptions returns the options with which HTTP clients reach other
// processes: TLS if this instance has an identity.
func (d *Daemon) clientOptions() []relay.Option {
	if d.identity == nil {
		return nil
	}
	return []relay.Option{relay.WithSecure(d.identity.Secure)}
}
