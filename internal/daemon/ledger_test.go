package daemon_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/claim"
	"github.com/rosemarypass/rosemarypass/internal/daemon"
	"github.com/rosemarypass/rosemarypass/internal/ledger"
	"github.com/rosemarypass/rosemarypass/internal/settings"
)

const (
	loopback   = "127.0.0.1:0"
	foundTime  = 20 * time.Second
	ledgerTime = 20 * time.Second
)

// freeAddresses holds every port until all are found, so that they differ.
func freeAddresses(tb testing.TB, n int) []string {
	tb.Helper()
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", loopback)
		if err != nil {
			tb.Fatal(err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// startControlTrio runs three control instances with disks. The first founds the
// log and leads it.
func startControlTrio(tb testing.TB) ([]*daemon.Daemon, *ledger.Client) {
	tb.Helper()
	peers := freeAddresses(tb, 3)
	var daemons []*daemon.Daemon
	for i, address := range peers {
		d, err := daemon.Start(settings.Settings{
			Instance: fmt.Sprintf("control-%d", i), DataCentre: "a", ControlPeers: peers,
			Control: &settings.Control{
				PeerListen: address, PeerAddress: address, OperatorListen: loopback,
				DataFolder: tb.TempDir(), Bootstrap: i == 0, ServerLease: settings.Duration(time.Second),
			},
		}, zap.NewNop())
		if err != nil {
			tb.Fatal(err)
		}
		daemons = append(daemons, d)
	}
	client := ledger.NewClient(peers)
	ctx, cancel := context.WithTimeout(tb.Context(), foundTime)
	defer cancel()
	if _, err := client.Apply(ctx, claim.Command{ID: claim.ID{Contract: "c", Key: "first"}, Look: &claim.Look{}}); err != nil {
		tb.Fatal(err)
	}
	return daemons, client
}

func stopAll(daemons []*daemon.Daemon) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, d := range daemons {
		d.Stop(ctx)
	}
}

// runOnce claims a key, ends it and resends it, as an entry would.
func runOnce(ctx context.Context, client *ledger.Client, key string) error {
	id := claim.ID{Contract: "c", Key: key}
	begin := claim.Command{ID: id, Begin: &claim.Begin{Token: "1", Fingerprint: []byte{1}}}
	finish := claim.Command{ID: id, Finish: &claim.Finish{Token: "1", Answer: claim.Answer{Status: 200, Kept: true, Body: []byte(key)}}}
	resend := claim.Command{ID: id, Begin: &claim.Begin{Token: "2", Fingerprint: []byte{1}}}
	wants := []struct {
		command claim.Command
		verdict claim.Verdict
	}{{begin, claim.Granted}, {finish, claim.Noted}, {resend, claim.Replay}}
	for _, want := range wants {
		reply, err := client.Apply(ctx, want.command)
		if err != nil {
			return err
		}
		if reply.Verdict != want.verdict {
			return fmt.Errorf("%s: %s, want %s", key, reply.Verdict, want.verdict)
		}
	}
	return nil
}

// The control instance that leads the log is stopped for an update while calls
// with keys come in. Each must be decided, once, by the others.
func TestClaimsOutliveAPlannedStopOfTheLeader(t *testing.T) {
	daemons, client := startControlTrio(t)
	defer stopAll(daemons[1:])
	ctx, cancel := context.WithTimeout(t.Context(), ledgerTime)
	defer cancel()
	halfway := make(chan struct{})
	var workers sync.WaitGroup
	for worker := range 4 {
		workers.Go(func() {
			for i := range 40 {
				if worker == 0 && i == 10 {
					close(halfway)
				}
				if err := runOnce(ctx, client, fmt.Sprintf("%d-%d", worker, i)); err != nil {
					t.Errorf("worker %d, call %d: %v", worker, i, err)
					return
				}
			}
		})
	}
	<-halfway
	if cut := daemons[0].Stop(ctx); cut != 0 {
		t.Errorf("the stop cut %d requests off", cut)
	}
	workers.Wait()
}

// BenchmarkClaimedCall is what a key costs a call: the commit that grants it
// and the commit that keeps its answer, through three control instances.
func BenchmarkClaimedCall(b *testing.B) {
	daemons, client := startControlTrio(b)
	defer stopAll(daemons)
	var calls atomic.Int64
	call := func() {
		id := claim.ID{Contract: "c", Key: fmt.Sprint("call-", calls.Add(1))}
		_, _ = client.Apply(b.Context(), claim.Command{ID: id, Begin: &claim.Begin{Token: "1", Fingerprint: []byte{1}}})
		_, _ = client.Apply(b.Context(), claim.Command{ID: id, Finish: &claim.Finish{Token: "1", Answer: claim.Answer{Status: 200, Kept: true, Body: make([]byte, 100)}}})
	}
	b.Run("one after another", func(b *testing.B) {
		for b.Loop() {
			call()
		}
	})
	b.Run("many at once", func(b *testing.B) {
		b.SetParallelism(benchmarkCallers)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				call()
			}
		})
	})
}

// benchmarkCallers is how many calls are in flight for each processor.
const benchmarkCallers = 16
