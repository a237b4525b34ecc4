package daemon_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/claim"
	"github.com/rosemarypass/rosemarypass/internal/daemon"
	"github.com/rosemarypass/rosemarypass/internal/ledger"
)

// startLedger runs three control instances and returns them with a ledger
// client. The first instance bootstraps the log and is its leader.
func startLedger(tb testing.TB) ([]*daemon.Daemon, *ledger.Client) {
	tb.Helper()
	daemons, peers := startControls(tb, 3)
	client := ledger.NewClient(peers)
	if _, err := client.Apply(tb.Context(), claim.Command{ID: claim.ID{Contract: "c", Key: "first"}, Look: &claim.Look{}}); err != nil {
		tb.Fatal(err)
	}
	return daemons, client
}

// claimAndReplay begins a claim, finishes it and begins it again with a second
// token, as an entry does for a retried call; the second begin must be answered
// with the recorded answer.
func claimAndReplay(ctx context.Context, client *ledger.Client, key string) error {
	id := claim.ID{Contract: "c", Key: key}
	begin := claim.Command{ID: id, Begin: &claim.Begin{Token: "1", Fingerprint: []byte{1}}}
	finish := claim.Command{ID: id, Finish: &claim.Finish{Token: "1", Answer: claim.Answer{Status: 200, Kept: true, Body: []byte(key)}}}
	replay := claim.Command{ID: id, Begin: &claim.Begin{Token: "2", Fingerprint: []byte{1}}}
	steps := []struct {
		command claim.Command
		verdict claim.Verdict
	}{{begin, claim.Granted}, {finish, claim.Noted}, {replay, claim.Replay}}
	for _, step := range steps {
		reply, err := client.Apply(ctx, step.command)
		if err != nil {
			return err
		}
		if reply.Verdict != step.verdict {
			return fmt.Errorf("claim %s: got verdict %s, want %s", key, reply.Verdict, step.verdict)
		}
	}
	return nil
}

// Guards against lost or repeated claim decisions when the leader of the log is
// stopped for an update: each concurrent call with a key must be decided exactly
// once by the remaining instances.
func TestClaimsSurvivePlannedLeaderStop(t *testing.T) {
	daemons, client := startLedger(t)
	ctx := t.Context()
	halfway := make(chan struct{})
	var workers sync.WaitGroup
	for worker := range 4 {
		workers.Go(func() {
			for i := range 40 {
				if worker == 0 && i == 10 {
					close(halfway)
				}
				if err := claimAndReplay(ctx, client, fmt.Sprintf("%d-%d", worker, i)); err != nil {
					t.Errorf("worker %d, call %d: %v", worker, i, err)
					return
				}
			}
		})
	}
	<-halfway
	if aborted := daemons[0].Stop(ctx); aborted != 0 {
		t.Errorf("the stop aborted %d requests, want 0", aborted)
	}
	workers.Wait()
}

// BenchmarkClaimedCall measures the cost of an idempotency key for one call: the
// commit that grants the claim and the commit that stores its answer, replicated
// on three control instances.
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

// benchmarkCallers is the number of calls in flight per processor.
const benchmarkCallers = 16
