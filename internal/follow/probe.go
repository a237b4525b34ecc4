package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/backoff"
	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

const (
	// probeInterval is the interval between two checks whether a probe is due.
	probeInterval = 250 * time.Millisecond
	// probeTimeout limits the calls of one probe.
	probeTimeout = 700 * time.Millisecond
)

// probeBackoff is the backoff of probes that yield no proof. Polls continue in the meantime,
// and a control instance that is available again delivers a proof with its first answer.
var probeBackoff = backoff.Options{Initial: probeInterval, Max: 4 * time.Second}

var probeCount = telemetry.Counter("follow_probes")

// recordStanding records the standing that a control instance reported.
func (f *Follower) recordStanding(standing freshness.Standing, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Advance(f.config.Index())
	f.tracker.Answer(standing, sent)
	f.logChange(time.Now())
}

// logChange logs a change of the kind of freshness. The caller holds mu.
func (f *Follower) logChange(now time.Time) {
	state := f.tracker.State(now)
	if state.Kind == f.loggedKind {
		return
	}
	f.loggedKind = state.Kind
	f.log.Info("configuration "+string(state.Kind), zap.String("reason", state.Reason), zap.Time("asOf", state.AsOf))
}

// confirmedPeer returns a peer that a quorum confirmed; empty when unknown.
func (f *Follower) confirmedPeer() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// forgetPeer clears a failed peer from the result of the last probe.
func (f *Follower) forgetPeer(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed == peer {
		f.confirmed = ""
	}
}

// runProbes probes all control instances whenever the followed one has not delivered a proof
// for a while.
func (f *Follower) runProbes(ctx context.Context) {
	clients := make([]*rpc.Client, len(f.options.Peers))
	for i, peer := range f.options.Peers {
		clients[i] = rpc.NewClient(peer, f.options.RPC...)
		defer clients[i].Close()
	}
	f.probeLoop(ctx, func() { f.probe(ctx, clients) })
}

// probeLoop probes whenever a probe is due, with a growing pause while probes yield no proof:
// all daemons ask the same few control instances.
func (f *Follower) probeLoop(ctx context.Context, probe func()) {
	var failures backoff.Outage
	pause := probeInterval
	for wait.For(ctx, pause) == nil {
		pause = probeInterval
		if !f.probeDue() {
			failures.Succeeded()
			continue
		}
		probe()
		if f.Freshness().MayAdmit() {
			failures.Succeeded()
			continue
		}
		pause = probeBackoff.Pause(failures.Failed(time.Now()), 0, rand.Float64())
	}
}

func (f *Follower) probeDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logChange(time.Now())
	return f.tracker.ProbeDue(time.Now())
}

// probeResult is the outcome of the call to one control instance.
type probeResult struct {
	peer     string
	standing freshness.Standing
	err      error
}

func (f *Follower) probe(ctx context.Context, clients []*rpc.Client) {
	probeCount.Add(1)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sent := time.Now()
	results := make([]probeResult, len(clients))
	var calls sync.WaitGroup
	for i, client := range clients {
		calls.Go(func() {
			var reply wire.StandingReply
			err := client.Call(ctx, wire.MethodStanding, wire.StandingRequest{}, &reply)
			results[i] = probeResult{peer: f.options.Peers[i], standing: reply.Standing, err: err}
		})
	}
	calls.Wait()
	f.recordProbe(sent, results)
}

func (f *Follower) recordProbe(sent time.Time, results []probeResult) {
	round := freshness.Round{Sent: sent}
	confirmed := ""
	for _, result := range results {
		switch {
		case result.err == nil:
			round.Answers = append(round.Answers, freshness.Answer{Address: result.peer, Standing: result.standing})
		case errors.Is(result.err, syscall.ECONNREFUSED):
			round.Refused = append(round.Refused, result.peer)
		}
		if confirmed == "" && result.err == nil && result.standing.Confirmed {
			confirmed = result.peer
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed = confirmed
	f.tracker.Advance(f.config.Index())
	f.tracker.Probe(round)
	f.logChange(time.Now())
}
