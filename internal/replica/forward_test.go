package replica

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Guards against an operator's change with an unclear outcome, and one that is not sent to
// the next leader, because the leader stops: it says that it has not taken the change.
func TestChangeThatStoppingLeaderRefusesIsNotCommitted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	taken, release := make(chan struct{}, 1), make(chan struct{})
	propose := func(context.Context, json.RawMessage) (any, error) {
		taken <- struct{}{}
		<-release
		return wire.ProposeReply{}, nil
	}
	server := rpc.NewServer(map[string]rpc.Handler{wire.MethodReplicaPropose: propose}, rpc.WithDrain(wire.MethodReplicaPropose))
	go func() { _ = server.Serve(t.Context(), listener) }()
	r := &Replica{pool: newClientPool(nil)}
	defer r.pool.close()
	forward := func() error {
		return r.forward(t.Context(), listener.Addr().String(), wire.MethodReplicaPropose, wire.Propose{}, &wire.ProposeReply{})
	}
	first, stopped := make(chan error, 1), make(chan struct{})
	go func() { first <- forward() }()
	<-taken
	go func() {
		defer close(stopped)
		server.Shutdown(t.Context())
	}()
	// Until the stop has begun, the call is taken and waits for its release.
	var refused error
	for refused == nil {
		again := make(chan error, 1)
		go func() { again <- forward() }()
		select {
		case refused = <-again:
		case <-taken:
			time.Sleep(time.Millisecond)
		}
	}
	if !errors.Is(refused, ErrNotCommitted) {
		t.Errorf("a change that the stopping leader refused ended with %v, want not committed", refused)
	}
	close(release)
	if err := <-first; err != nil {
		t.Errorf("the change that it had taken ended with %v, want its answer", err)
	}
	<-stopped
}
