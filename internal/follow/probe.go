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
	// probeInterval is how often the need of a probe is looked at.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one question of a probe.
	probeTimeout = 700 * time.Millisecond
)

// probeTries are the probes that bring no proof. Polls go on meanwhile, and a control
// instance that is there again proves with its first answer.
var probeTries = backoff.Options{First: probeInterval, Most: 4 * time.Second}

var probeCount = telemetry.Counter("follow_probes")

// answered takes in what a control instance said of itself.
func (f *Follower) answered(standing freshness.Standing, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Advance(f.config.Index())
	f.tracker.Answer(standing, sent)
	f.logChange(time.Now())
}

// logChange logs a change of what the follower can prove. The caller holds mu.
func (f *Follower) logChange(now time.Time) {
	state := f.tracker.State(now)
	if state.Kind == f.kind {
		return
	}
	f.kind = state.Kind
	f.log.Info("configuration "+string(state.Kind), zap.String("reason", state.Reason), zap.Time("asOf", state.AsOf))
}

// confirmedPeer is a peer that a quorum stands behind, empty when unknown.
func (f *Follower) confirmedPeer() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// forgetPeer drops a peer that failed from what the last probe found.
func (f *Follower) forgetPeer(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed == peer {
		f.confirmed = ""
	}
}

// runProbes asks every control instance whenever the followed one has not
// brought a proof for a while.
func (f *Follower) runProbes(ctx context.Context) {
	clients := make([]*rpc.Client, len(f.options.Peers))
	for i, peer := range f.options.Peers {
		clients[i] = rpc.NewClient(peer, f.options.RPC...)
		defer clients[i].Close()
	}
	f.keepProbing(ctx, func() { f.probe(ctx, clients) })
}

// keepProbing probes whenever that is due, and ever more seldom while it brings no
// proof: all daemons ask the same few control instances.
func (f *Follower) keepProbing(ctx context.Context, probe func()) {
	var trouble backoff.Trouble
	pause := probeInterval
	for wait.For(ctx, pause) == nil {
		pause = probeInterval
		if !f.probeDue() {
			trouble.Over()
			continue
		}
		probe()
		if f.Freshness().MayAdmit() {
			trouble.Over()
			continue
		}
		pause = probeTries.Pause(trouble.Failed(time.Now()), 0, rand.Float64())
	}
}

func (f *Follower) probeDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logChange(time.Now())
	return f.tracker.ProbeDue(time.Now())
}

// probed is the outcome of one question.
type probed struct {
	peer     string
	standing freshness.Standing
	err      error
}

func (f *Follower) probe(ctx context.Context, clients []*rpc.Client) {
	probeCount.Add(1)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sent := time.Now()
	results := make([]probed, len(clients))
	var questions sync.WaitGroup
	for i, client := range clients {
		questions.Go(func() {
			var reply wire.StandingReply
			err := client.Call(ctx, wire.MethodStanding, wire.StandingRequest{}, &reply)
			results[i] = probed{peer: f.options.Peers[i], standing: reply.Standing, err: err}
		})
	}
	questions.Wait()
	f.probed(sent, results)
}

func (f *Follower) probed(sent time.Time, results []probed) {
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
