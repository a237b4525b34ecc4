package daemon_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/claim"
	"github.com/rosemarypass/rosemarypass/internal/daemon"
	"github.com/rosemarypass/rosemarypass/internal/ledger"
)

const (
	foundTime  = 20 * time.Second
	ledgerTime = 20 * time.Second
)

// startLedger runs three control instances, of which the first founds the log
// and leads it, and returns them with a client.
func startLedger(tb testing.TB) ([]*daemon.Daemon, *ledger.Client) {
	tb.Helper()
	daemons, peers := startControls(tb, 3)
	client := ledger.NewClient(peers)
	ctx, cancel := context.WithTimeout(tb.Context(), foundTime)
	defer cancel()
	if _, err := client.Apply(ctx, claim.Command{ID: claim.ID{Contract: "c", Key: "first"}, Look: &claim.Look{}}); err != nil {
		tb.Fatal(err)
	}
	return daemons, client
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
	daemons, client := startLedger(t)
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
	_, client := startLedger(b)
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
