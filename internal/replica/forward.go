package replica

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/rpc"
)

// maxIdleClients bounds the connections that are kept for one address.
const maxIdleClients = 32

// clientPool keeps connections for forwarded calls. Each carries one call at a
// time: a call that ends without its answer closes its connection, and must not
// leave others with an unknown fate.
type clientPool struct {
	options []rpc.ClientOption

	mu     sync.Mutex
	idle   map[string][]*rpc.Client
	closed bool
}

func newClientPool(options []rpc.ClientOption) *clientPool {
	return &clientPool{options: options, idle: make(map[string][]*rpc.Client)}
}

func (p *clientPool) take(address string) *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return rpc.NewClient(address, p.options...)
	}
	client := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
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
	for address, kept := range p.idle {
		for _, client := range kept {
			client.Close()
		}
		delete(p.idle, address)
	}
}

// forward calls another instance, the leader as a rule. A connection that could
// not be made has carried nothing; after any other failure the leader may have
// taken the call.
func (r *Replica) forward(ctx context.Context, address, method string, in, out any) error {
	client := r.pool.take(address)
	err := client.Call(ctx, method, in, out)
	if err == nil {
		r.pool.put(address, client)
		return nil
	}
	client.Close()
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return notCommitted(err)
	}
	return unknownFate(err)
}
