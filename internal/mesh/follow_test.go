package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/loopback"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

// startCutOff starts a process that is cut off from the log and does not know: it answers, and has no news.
func startCutOff(t *testing.T) (address string) {
	t.Helper()
	addresses, err := loopback.Addresses(1)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := Listen(addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	self := Process{Name: "cut off", Address: addresses[0], Entry: true, Disk: true, Member: "m", Cluster: "c", Started: 1}
	server := rpc.NewServer(map[string]rpc.Handler{
		methodSync: rpc.Typed(func(context.Context, greeting) (greetingReply, error) { return greetingReply{From: self}, nil }),
		methodPull: rpc.Typed(func(ctx context.Context, in pullRequest) (pullReply, error) {
			return pullReply{Digest: in.Digest}, wait.For(ctx, time.Duration(in.WaitMillis)*time.Millisecond)
		}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		server.Close()
	})
	return addresses[0]
}

// The entry that another one follows is cut off from the log and goes on to answer. Each change must come by another way
// all the same, or callers are routed by an old configuration for as long as the cut lasts.
func TestASourceThatIsCutOffIsLeft(t *testing.T) {
	f := startFleet(t, 1, 1)
	f.put(0, 1)
	eventually(t, f.nodes[1].Usable)
	address := startCutOff(t)
	f.nodes[1].meet(Process{Address: address, Entry: true})
	eventually(t, func() bool {
		f.nodes[1].mu.Lock()
		defer f.nodes[1].mu.Unlock()
		return f.nodes[1].peers[address].process.Disk
	})
	for version := uint64(2); version < 6; version++ {
		f.put(0, version)
		eventually(t, func() bool { return f.nodes[1].Documents().Current().State.Version == version })
	}
}
