package replica

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/rpc"
)

// maxIdleClients limits the number of idle connections kept per address.
const maxIdleClients = 32

// clientPool keeps connections for forwarded calls. Each connection carries one call
// at a time: a call that ends without its answer closes the connection, and must
// not leave the outcome of other calls unknown.
type clientPool struct {
	options []rpc.ClientOption

	mu     sync.Mutex
	idle   map[string][]*rpc.Client
	closed bool
}

func newClientPool(options []rpc.ClientOption) *clientPool {
	return &clientPool{options: options, idle: make(map[string][]*rpc.Client)}
}

func (p *clientPool) get(address string) *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return rpc.NewClient(address, p.options...)
	}
	client := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return client
}

func (p *clientPool) put(address string, client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[address]) >= maxIdleClients {
		client.Close()
		return
	}
	p.idle[address] = append(p.idle[address], client)
}

func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, clients := range p.idle {
		for _, client := range clients {
			client.Close()
		}
		delete(p.idle, address)
	}
}

// forward calls another instance, usually the leader. If the connection could not be
// established, or the other instance stops and did not take the call, the error is
// ErrNotCommitted; after any other failure it may have executed the call, and the error is
// ErrUnknown.
func (r *Replica) forward(ctx context.Context, address, method string, in, out any) error {
	client := r.pool.get(address)
	err := client.Call(ctx, method, in, out)
	if err == nil {
		r.pool.put(address, client)
		return nil
	}
	client.Close()
	var opErr *net.OpError
	if rpc.IsStopping(err) || errors.As(err, &opErr) && opErr.Op == "dial" {
		return notCommitted(err)
	}
	return unknownOutcome(err)
}
