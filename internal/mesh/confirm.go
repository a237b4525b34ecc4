package mesh

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

const (
	// proofWait is how long a member of the log looks for a proof before it says
	// that there is none, proofTimeout leaves its answer some time.
	proofWait    = 700 * time.Millisecond
	proofTimeout = proofWait + 300*time.Millisecond
	// proofPause follows a try without a proof.
	proofPause = 30 * time.Millisecond
	// proofsAsked is how many members a process without a log asks at once: the
	// first may be down or cut off.
	proofsAsked = 3
)

// errUnproven means that nothing shows that the configuration held is not an old
// one.
var errUnproven = errors.New("no majority of the log has confirmed the configuration")

// confirmStart seeks a proof that what is held includes every change that was
// acknowledged before this process started. What the own disk or the first other
// process holds may be older than what was in force here a second ago.
func (m *Mesh) confirmStart(ctx context.Context) {
	for ctx.Err() == nil && !m.documents.Current().Confirmed {
		if m.proveHere(ctx) == nil {
			m.documents.Confirm(originLog)
			return
		}
		if address, err := m.askProof(ctx); err == nil {
			m.documents.Confirm(address)
			return
		}
		_ = wait.For(ctx, proofPause)
	}
}

// proveHere proves by the own part of the log.
func (m *Mesh) proveHere(ctx context.Context) error {
	if m.host == nil || !m.host.takesPart() {
		return errUnproven
	}
	ctx, cancel := context.WithTimeout(ctx, proofWait)
	defer cancel()
	return m.host.prover.prove(ctx)
}

// askProof asks some members of the log for a state that is not an old one, and
// returns who gave it.
func (m *Mesh) askProof(ctx context.Context) (address string, err error) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	members := m.members()
	members = members[:min(len(members), proofsAsked)]
	given := make(chan string, len(members))
	var asked sync.WaitGroup
	for _, member := range members {
		asked.Go(func() {
			if m.askProofOf(ctx, member) == nil {
				given <- member
				cancel()
			}
		})
	}
	asked.Wait()
	select {
	case address = <-given:
		return address, nil
	default:
		return "", errUnproven
	}
}

func (m *Mesh) askProofOf(ctx context.Context, address string) error {
	client := rpc.NewClient(address)
	defer client.Close()
	held := m.documents.Current().State
	var reply pullReply
	if err := client.Call(ctx, methodConfirm, pullRequest{From: m.Self(), Index: held.Index, Version: held.Version}, &reply); err != nil {
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
	if err := h.prover.prove(ctx); err != nil {
		return pullReply{}, err
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

// prover looks for proofs, one round for all who ask while the last one runs.
type prover struct {
	host *logHost

	mu      sync.Mutex
	running bool
	// waiting are those whose question came before the next round.
	waiting []chan<- bool
}

// prove returns nil once every change that was acknowledged anywhere before the
// call is in force here.
func (p *prover) prove(ctx context.Context) error {
	answer := make(chan bool, 1)
	p.mu.Lock()
	p.waiting = append(p.waiting, answer)
	if !p.running {
		p.running = true
		go p.run()
	}
	p.mu.Unlock()
	select {
	case proven := <-answer:
		if proven {
			return nil
		}
	case <-ctx.Done():
	}
	return errUnproven
}

// run looks for proofs until nobody waits for one.
func (p *prover) run() {
	for {
		p.mu.Lock()
		asking := p.waiting
		p.waiting = nil
		p.running = len(asking) > 0
		p.mu.Unlock()
		if len(asking) == 0 {
			return
		}
		proven := p.round()
		for _, answer := range asking {
			answer <- proven
		}
	}
}

// round asks the leader for a confirmed read and all voters for their standings;
// the first of the two that shows it is enough. With the second no leader is
// needed: an acknowledged change lies in the logs of a majority.
func (p *prover) round() bool {
	h := p.host
	r := h.current.Load()
	if r == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), proofWait)
	defer cancel()
	own, _ := h.takeStanding(ctx, standingRequest{})
	reads := make(chan error, 1)
	go func() {
		_, err := r.ReadIndex(ctx)
		reads <- err
	}()
	answers := make(chan freshness.Answer)
	for _, address := range own.Voters {
		if address != h.mesh.options.Self.Address {
			go askStandings(ctx, address, answers)
		}
	}
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

// askStandings asks a voter again and again: it may start, or apply what it holds,
// while the round lasts.
func askStandings(ctx context.Context, address string, answers chan<- freshness.Answer) {
	client := rpc.NewClient(address)
	defer client.Close()
	for ctx.Err() == nil {
		var standing freshness.Standing
		if client.Call(ctx, methodStanding, standingRequest{}, &standing) == nil {
			select {
			case answers <- freshness.Answer{Address: address, Standing: standing}:
			case <-ctx.Done():
			}
		}
		_ = wait.For(ctx, proofPause)
	}
}
