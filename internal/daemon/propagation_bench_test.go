package daemon_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/daemon"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/loopback"
	"github.com/rosemarypass/rosemarypass/internal/settings"
)

func freeAddress(b testing.TB) string {
	addresses, err := loopback.Addresses(1)
	if err != nil {
		b.Fatal(err)
	}
	return addresses[0]
}

// startControls runs n control instances that replicate their log on disk, and
// returns them with their peer addresses.
func startControls(b testing.TB, n int) ([]*daemon.Daemon, []string) {
	peers := make([]string, n)
	for i := range peers {
		peers[i] = freeAddress(b)
	}
	daemons := make([]*daemon.Daemon, n)
	for i := range daemons {
		d, err := daemon.Start(settings.Settings{
			Instance:       fmt.Sprint("control-", i),
			ControlPeers:   peers,
			PlaintextPeers: true,
			Control: &settings.Control{
				PeerListen:     peers[i],
				PeerAddress:    peers[i],
				OperatorListen: freeAddress(b),
				DataFolder:     b.TempDir(),
				Bootstrap:      i == 0,
				ServerLease:    settings.Duration(2500 * time.Millisecond),
			},
		}, zap.NewNop())
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			d.Stop(ctx)
		})
		daemons[i] = d
	}
	return daemons, peers
}

func putContract(expected uint64, rate float64) state.Command {
	return state.Command{PutContract: &state.PutContract{Expected: expected, Contract: contract.Contract{
		ID:     "cascade",
		Limits: contract.Limits{RequestsPerSecond: rate, TokensPerMinute: 1, Concurrency: 1, MaxWait: time.Second},
		Share:  1,
	}}}
}

// proposeWithRetry retries until the command is accepted, because a leader must
// be elected first.
func proposeWithRetry(b *testing.B, d *daemon.Daemon, command state.Command) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		result, err := d.Control().Propose(ctx, command)
		if err == nil && result.Code == state.CodeOK {
			return result.Index
		}
		if ctx.Err() != nil {
			b.Fatalf("proposal not accepted: got %+v, %v", result, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func awaitIndex(b *testing.B, followers []*follow.Follower, index uint64) {
	deadline := time.Now().Add(20 * time.Second)
	for _, f := range followers {
		for f.Config().Index() < index {
			if time.Now().After(deadline) {
				b.Fatal("a daemon did not reach the expected index")
			}
			time.Sleep(50 * time.Microsecond)
		}
	}
}

// BenchmarkReplicatedInForce measures the time from the proposal of a change,
// replicated on three instances that each write to disk, until it is in force in
// every daemon.
func BenchmarkReplicatedInForce(b *testing.B) {
	for _, count := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("daemons=", count), func(b *testing.B) {
			controls, peers := startControls(b, 3)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			followers := make([]*follow.Follower, count)
			for i := range followers {
				followers[i] = follow.New(follow.Options{Daemon: fmt.Sprint("entry-", i), Peers: peers}, zap.NewNop())
				go followers[i].Run(ctx)
			}
			last := proposeWithRetry(b, controls[0], putContract(0, 1))
			awaitIndex(b, followers, last)
			var accepted time.Duration
			changes := 0
			for b.Loop() {
				// A control instance sends a change to its followers at once if
				// it has sent none within its batch interval.
				b.StopTimer()
				time.Sleep(60 * time.Millisecond)
				b.StartTimer()
				changes++
				started := time.Now()
				last = proposeWithRetry(b, controls[0], putContract(last, float64(changes+1)))
				accepted += time.Since(started)
				awaitIndex(b, followers, last)
			}
			b.ReportMetric(float64(accepted.Microseconds())/float64(changes), "accepted-µs")
		})
	}
}
