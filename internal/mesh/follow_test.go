package mesh

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/loopback"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

// startIsolatedEntry starts a process that is cut off from the log without knowing it: it answers, but never has an
// update.
func startIsolatedEntry(t *testing.T) (address string) {
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

// The entry that another one follows is cut off from the log but keeps answering. Changes must arrive from elsewhere,
// or callers are routed by an old configuration for as long as the partition lasts.
func TestFollowerLeavesIsolatedSource(t *testing.T) {
	f := startFleet(t, 1, 0)
	f.put(0, 1)
	source := startIsolatedEntry(t)
	m := New(Options{Self: Process{Name: "follower", Address: "127.0.0.1:1", Entry: true, Started: 1}, Bootstrap: true}, NewDocuments(decode, zap.NewNop()), zap.NewNop())
	// The mesh greets both processes, does not follow either by itself, and does not seek a first configuration.
	m.ctx = t.Context()
	for _, address := range []string{source, f.addresses[0]} {
		m.addPeer(Process{Address: address, Entry: true})
	}
	m.followEntry(t.Context(), source, func() bool { return true })
	if next := m.pickSource(); next != f.addresses[0] {
		t.Errorf("the next source is %s, want %s", next, f.addresses[0])
	}
}
