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
	// proofWait is how long a member of the log looks for a proof before it says
	// that there is none, proofTimeout leaves its answer some time.
	proofWait    = 700 * time.Millisecond
	proofTimeout = proofWait + 300*time.Millisecond
	// standingPause is the pause between two questions to a voter while a round lasts.
	standingPause = 50 * time.Millisecond
	// askAfter is how long a member looks for a proof before it asks others too.
	askAfter = 150 * time.Millisecond
	// proofsAsked is how many members a process without a log asks in one round: the
	// first may be down or cut off. Each further one is asked hedge later for each
	// process that may ask too: of a few all are asked at once, as nobody waits then
	// for one that is down, and of many rarely more than the first.
	proofsAsked = 3
	hedge       = time.Millisecond
)

// proofTries are the tries that found no proof, of all who ask the same few members.
var proofTries = backoff.Options{First: 30 * time.Millisecond, Most: 2 * time.Second, Rate: 500}

// memberTries are the rounds of a member of the log, memberTries.First the pause
// between two of them also where proofs are found.
var memberTries = backoff.Options{First: 30 * time.Millisecond, Most: 500 * time.Millisecond}

// errUnproven means that nothing shows that the configuration held is not an old
// one.
var errUnproven = errors.New("no majority of the log has confirmed the configuration")

// seekProof seeks a proof that what is held includes every change that was
// acknowledged before the call. What the own disk or the first other process
// holds at a start may be older than what was in force here a second ago.
func (m *Mesh) seekProof(ctx context.Context) {
	var trouble backoff.Trouble
	for ctx.Err() == nil {
		stood := m.pauses.count()
		proven := m.newestWithin(ctx, 2*proofTimeout)
		// A proof from before this process stood still says nothing of the time since.
		if proven && m.pauses.count() == stood {
			m.documents.Confirm()
			return
		}
		_ = wait.For(ctx, proofTries.Pause(trouble.Failed(time.Now()), m.size(), rand.Float64()))
	}
}

func (m *Mesh) newestWithin(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return m.Newest(ctx)
}

// Newest reports whether every change that was acknowledged before the call is in
// force here, and brings what is missing. It is false when no majority of the log
// can be asked before ctx ends.
func (m *Mesh) Newest(ctx context.Context) bool { return m.prover.prove(ctx) }

// proveOnce proves by the own part of the log, or by asking its members. A member
// that is cut off from the other ones may still reach those who reach them.
func (m *Mesh) proveOnce() bool {
	ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
	defer cancel()
	if m.host == nil || !m.host.takesPart() {
		return m.askProof(ctx)
	}
	own, others := make(chan bool, 1), make(chan bool, 1)
	go func() { own <- m.host.prover.prove(ctx) }()
	go func() { others <- wait.For(ctx, askAfter) == nil && m.askProof(ctx) }()
	select {
	case proven := <-own:
		return proven || <-others
	case proven := <-others:
		return proven || <-own
	}
}

// askProof asks some members of the log for a state that is not an old one.
func (m *Mesh) askProof(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	members := m.members()
	var given atomic.Bool
	var asked sync.WaitGroup
	apart := time.Duration(m.size()) * hedge
	for i, member := range members[:min(len(members), proofsAsked)] {
		asked.Go(func() {
			if i > 0 && wait.For(ctx, time.Duration(i)*apart) != nil {
				return
			}
			if m.askProofOf(ctx, member) == nil {
				given.Store(true)
				cancel()
			}
		})
	}
	asked.Wait()
	return given.Load()
}

func (m *Mesh) askProofOf(ctx context.Context, address string) error {
	var reply pullReply
	if err := m.ask(ctx, address, methodConfirm, m.request(), &reply); err != nil {
		return err
	}
	if reply.Newer {
		m.takePulled(reply.State, originRead+address)
	}
	if m.documents.Current().State.Index < reply.State.Index {
		return errUnproven
	}
	return nil
}

func (h *logHost) takeConfirm(ctx context.Context, in pullRequest) (pullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proofWait)
	defer cancel()
	if !h.prover.prove(ctx) {
		return pullReply{}, errUnproven
	}
	return answerState(in, h.mesh.documents.Current().State), nil
}

func (h *logHost) takeStanding(context.Context, standingRequest) (freshness.Standing, error) {
	r := h.current.Load()
	if r == nil {
		return freshness.Standing{}, errors.New("the log is not open")
	}
	standing := r.Standing()
	standing.ConfigIndex = h.mesh.documents.Current().State.Index
	return standing, nil
}

// proveByVoters asks the leader for a confirmed read and all voters for their standings;
// the first of the two that shows it is enough. With the second no leader is
// needed: an acknowledged change lies in the logs of a majority.
func (h *logHost) proveByVoters() bool {
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
	answers := h.askVoters(ctx)
	known := make(map[string]freshness.Answer)
	sent := time.Now()
	for {
		own, _ := h.takeStanding(ctx, standingRequest{})
		known[h.mesh.options.Self.Address] = freshness.Answer{Address: h.mesh.options.Self.Address, Standing: own}
		if h.whole(freshness.Round{Sent: sent, Answers: slices.Collect(maps.Values(known))}) {
			return true
		}
		select {
		case answer := <-answers:
			known[answer.Address] = answer
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

// whole reports whether the answers show that nothing is missing here.
func (h *logHost) whole(round freshness.Round) bool {
	tracker := freshness.NewTracker(freshness.Options{})
	tracker.Advance(h.mesh.documents.Current().State.Index)
	tracker.Probe(round)
	return tracker.State(time.Now()).Kind == freshness.Fresh
}

// askVoters asks all other voters for their standings until ctx ends.
func (h *logHost) askVoters(ctx context.Context) <-chan freshness.Answer {
	answers := make(chan freshness.Answer)
	own, err := h.takeStanding(ctx, standingRequest{})
	if err != nil {
		return answers
	}
	for _, address := range own.Voters {
		if address != h.mesh.options.Self.Address {
			go h.mesh.askStandings(ctx, address, answers)
		}
	}
	return answers
}

// askStandings asks a voter again and again: it may start, or apply what it holds,
// while the round lasts.
func (m *Mesh) askStandings(ctx context.Context, address string, answers chan<- freshness.Answer) {
	for ctx.Err() == nil {
		var standing freshness.Standing
		if m.ask(ctx, address, methodStanding, standingRequest{}, &standing) == nil {
			select {
			case answers <- freshness.Answer{Address: address, Standing: standing}:
			case <-ctx.Done():
			}
		}
		_ = wait.For(ctx, standingPause)
	}
}
