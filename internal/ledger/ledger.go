// Package ledger sends commands of daemons to the replicated log of the control
// instances: commands about calls that must run at most once, commands about requests
// that crash their servers, and requests for fencing numbers.
package ledger

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/claim"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var retryCount = telemetry.Counter("ledger_commands_resent")

const (
	// attemptTimeout bounds one call to one control instance.
	attemptTimeout = time.Second
	// retryInterval is the time between two attempts of a call.
	retryInterval = 50 * time.Millisecond
)

// Client sends commands to one control instance at a time and moves on to the next one
// when a call fails.
type Client struct {
	peers []*rpc.Client
	// current selects, modulo the number of peers, the peer to call. It advances
	// when a call fails.
	current atomic.Uint64
}

// NewClient returns a client of the control instances at the given addresses.
func NewClient(addresses []string, options ...rpc.ClientOption) *Client {
	c := &Client{}
	for _, address := range addresses {
		c.peers = append(c.peers, rpc.NewClient(address, options...))
	}
	return c
}

// Apply sends a command about a call that must run at most once. After an error it is
// unknown whether the command took effect.
func (c *Client) Apply(ctx context.Context, command claim.Command) (claim.Reply, error) {
	ctx, span := telemetry.StartClient(ctx, telemetry.SpanEntryClaim)
	defer span.End()
	var reply wire.ClaimReply
	err := c.call(ctx, wire.MethodClaim, wire.Claim{Command: command}, &reply)
	return reply.Reply, err
}

// Suspect sends a command about requests that crash their servers. After an error it is
// unknown whether the command took effect.
func (c *Client) Suspect(ctx context.Context, command suspicion.Command) (suspicion.Verdict, error) {
	var reply wire.SuspicionReply
	err := c.call(ctx, wire.MethodSuspect, wire.Suspicion{Command: command}, &reply)
	return reply.Verdict, err
}

// Fence obtains the next fencing number for orders to a backend server's engine.
func (c *Client) Fence(ctx context.Context, server, holder string) (uint64, error) {
	var reply wire.FenceReply
	err := c.call(ctx, wire.MethodFence, wire.Fence{Server: server, Holder: holder}, &reply)
	return reply.Number, err
}

// call sends a command until a control instance answers or ctx ends. If an answer is
// lost, the command is sent again, which is safe because every command identifies its
// attempt, crash or trial, and an additional fencing number is harmless.
func (c *Client) call(ctx context.Context, method string, in, out any) error {
	for {
		at := c.current.Load()
		err := c.attempt(ctx, c.peers[at%uint64(len(c.peers))], method, in, out)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrap(err, "no control instance answered")
		}
		retryCount.Add(1)
		c.current.CompareAndSwap(at, at+1)
		_ = wait.For(ctx, retryInterval)
	}
}

func (c *Client) attempt(ctx context.Context, peer *rpc.Client, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return peer.Call(ctx, method, in, out)
}

// Close closes the connections to the control instances.
func (c *Client) Close() {
	for _, peer := range c.peers {
		peer.Close()
	}
}
