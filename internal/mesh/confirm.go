package mesh

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/backoff"
	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

const (
	// proofWait is how long a member of the log seeks a proof before it reports that
	// there is none; proofTimeout leaves additional time for its answer.
	proofWait    = 700 * time.Millisecond
	proofTimeout = proofWait + 300*time.Millisecond
	// standingInterval is the interval between two requests to a voter during a round.
	standingInterval = 50 * time.Millisecond
	// remoteProofDelay is how long a member seeks a proof on its own before it also asks
	// others.
	remoteProofDelay = 150 * time.Millisecond
	// maxProofRequests is how many members a process without a log asks in one round: the
	// first may be down or cut off. Each further request is delayed by hedgeDelay times
	// the number of processes that may ask too. In a small deployment all are asked
	// almost at once, so that none waits for a member that is down; in a large one rarely
	// more than the first is asked.
	maxProofRequests = 3
	hedgeDelay       = time.Millisecond
)

// proofBackoff paces rounds that found no proof, over all processes that ask the same few
// members.
var proofBackoff = backoff.Options{Initial: 30 * time.Millisecond, Max: 2 * time.Second, Rate: 500}

// memberBackoff paces the rounds of a member of the log. memberBackoff.Initial also applies
// between rounds that succeed.
var memberBackoff = backoff.Options{Initial: 30 * time.Millisecond, Max: 500 * time.Millisecond}

// errUnproven means that there is no proof that the held configuration is not stale.
var errUnproven = errors.New("no majority of the log has confirmed the configuration")

// confirmConfig retries until it proves that the held state includes every change that
// was acknowledged before the call. At a start, the state on the local disk or at the
// first other process may be older than what was in force here a second ago.
func (m *Mesh) confirmConfig(ctx context.Context) {
	var failures backoff.Outage
	for ctx.Err() == nil {
		pausesBefore := m.pauses.count()
		proven := m.newestWithin(ctx, 2*proofTimeout)
		// A proof from before a pause of this process does not cover the time since.
		if proven && m.pauses.count() == pausesBefore {
			m.documents.Confirm()
			return
		}
		_ = wait.For(ctx, proofBackoff.Pause(failures.Failed(time.Now()), m.size(), rand.Float64()))
	}
}

func (m *Mesh) newestWithin(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return m.ConfirmNewest(ctx)
}

// ConfirmNewest reports whether every change that was acknowledged before the call is in force
// here, and fetches missing changes. It returns false when no majority of the log can be
// reached before ctx ends.
func (m *Mesh) ConfirmNewest(ctx context.Context) bool { return m.prover.prove(ctx) }

// proveOnce seeks a proof from the local part of the log or from other members. A member
// that is cut off from the other members may still reach processes that reach them.
func (m *Mesh) proveOnce() bool {
	ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
	defer cancel()
	if m.host == nil || !m.host.isMember() {
		return m.requestProof(ctx)
	}
	own, remote := make(chan bool, 1), make(chan bool, 1)
	go func() { own <- m.host.prover.prove(ctx) }()
	go func() { remote <- wait.For(ctx, remoteProofDelay) == nil && m.requestProof(ctx) }()
	select {
	case proven := <-own:
		return proven || <-remote
	case proven := <-remote:
		return proven || <-own
	}
}

// requestProof asks members of the log for a state that is proven fresh.
func (m *Mesh) requestProof(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	members := m.members()
	var proven atomic.Bool
	var requests sync.WaitGroup
	delay := time.Duration(m.size()) * hedgeDelay
	for i, member := range members[:min(len(members), maxProofRequests)] {
		requests.Go(func() {
			if i > 0 && wait.For(ctx, time.Duration(i)*delay) != nil {
				return
			}
			if m.requestProofFrom(ctx, member) == nil {
				proven.Store(true)
				cancel()
			}
		})
	}
	requests.Wait()
	return proven.Load()
}

func (m *Mesh) requestProofFrom(ctx context.Context, address string) error {
	var reply pullReply
	if err := m.call(ctx, address, methodConfirm, m.newPullRequest(), &reply); err != nil {
		return err
	}
	if err := m.applyReply(&reply, originRead+address); err != nil {
		return err
	}
	if m.documents.Current().State.Index < reply.State.Index {
		return errUnproven
	}
	return nil
}

func (h *logHost) handleConfirm(ctx context.Context, in pullRequest) (pullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proofWait)
	defer cancel()
	if !h.prover.prove(ctx) {
		return pullReply{}, errUnproven
	}
	return h.mesh.pullReplyTo(in, h.mesh.documents.Current().State), nil
}

func (h *logHost) handleStanding(context.Context, standingRequest) (freshness.Standing, error) {
	r := h.current.Load()
	if r == nil {
		return freshness.Standing{}, errors.New("the log is not open")
	}
	standing := r.Standing()
	standing.ConfigIndex = h.mesh.documents.Current().State.Index
	return standing, nil
}

// proveByQuorum asks the leader for a confirmed read and all voters for their standings;
// the first of the two that proves freshness suffices. The standings need no leader: an
// acknowledged change is in the logs of a majority.
func (h *logHost) proveByQuorum() bool {
	r := h.current.Load()
	if r == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), proofWait)
	defer cancel()
	reads := make(chan error, 1)
	go func() {
		_, err := r.ReadIndex(ctx)
		reads <- err
	}()
	answers := h.pollVoters(ctx)
	latest := make(map[string]freshness.Answer)
	sent := time.Now()
	for {
		own, _ := h.handleStanding(ctx, standingRequest{})
		latest[h.mesh.options.Self.Address] = freshness.Answer{Address: h.mesh.options.Self.Address, Standing: own}
		if h.upToDate(freshness.Round{Sent: sent, Answers: slices.Collect(maps.Values(latest))}) {
			return true
		}
		select {
		case answer := <-answers:
			latest[answer.Address] = answer
			if answer.ConfigIndex > h.mesh.documents.Current().State.Index {
				h.mesh.pullOnce(ctx, answer.Address)
			}
		case err := <-reads:
			if err == nil {
				return true
			}
			reads = nil
		case <-ctx.Done():
			return false
		}
	}
}

// upToDate reports whether the answers prove that no change is missing here.
func (h *logHost) upToDate(round freshness.Round) bool {
	tracker := freshness.NewTracker(freshness.Options{})
	tracker.Advance(h.mesh.documents.Current().State.Index)
	tracker.Probe(round)
	return tracker.State(time.Now()).Kind == freshness.Fresh
}

// pollVoters polls all other voters for their standings until ctx ends.
func (h *logHost) pollVoters(ctx context.Context) <-chan freshness.Answer {
	answers := make(chan freshness.Answer)
	own, err := h.handleStanding(ctx, standingRequest{})
	if err != nil {
		return answers
	}
	for _, address := range own.Voters {
		if address != h.mesh.options.Self.Address {
			go h.mesh.pollStanding(ctx, address, answers)
		}
	}
	return answers
}

// pollStanding polls a voter repeatedly: during the round it may start, or apply entries
// that it already holds.
func (m *Mesh) pollStanding(ctx context.Context, address string, answers chan<- freshness.Answer) {
	for ctx.Err() == nil {
		var standing freshness.Standing
		if m.call(ctx, address, methodStanding, standingRequest{}, &standing) == nil {
			select {
			case answers <- freshness.Answer{Address: address, Standing: standing}:
			case <-ctx.Done():
			}
		}
		_ = wait.For(ctx, standingInterval)
	}
}
