package mesh

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/document"
)

// ErrUnconfirmed means that the log did not answer in time: whether a change was
// accepted, or which configuration is the newest, is unknown.
var ErrUnconfirmed = errors.New("the replicated log could not confirm it in time")

// forwardTimeout bounds one attempt at one member of the log, so that another member can
// still be asked within one second, the time that an operator waits.
const forwardTimeout = 450 * time.Millisecond

// Propose commits a command. It returns nil only when the command is durable, and in
// force here or about to be.
func (m *Mesh) Propose(ctx context.Context, command document.Command) error {
	data, err := json.Marshal(command)
	if err != nil {
		return errors.Wrap(err, "encode a command")
	}
	if m.host != nil && m.host.isMember() {
		if result := m.host.propose(ctx, data); result.Committed {
			return nil
		}
		return ErrUnconfirmed
	}
	for _, address := range m.members() {
		var reply proposalResult
		if err := m.forward(ctx, address, methodPropose, proposal{Command: data}, &reply); err == nil && reply.Committed {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return ErrUnconfirmed
}

// Read returns a state that includes every change that was acknowledged before the call,
// or ErrUnconfirmed.
func (m *Mesh) Read(ctx context.Context) (document.State, error) {
	if m.host != nil && m.host.isMember() {
		return m.host.read(ctx)
	}
	for _, address := range m.members() {
		var reply pullReply
		err := m.forward(ctx, address, methodRead, m.newPullRequest(), &reply)
		if err == nil {
			err = m.applyReply(&reply, originRead+address)
		}
		if err == nil {
			return m.documents.Current().State, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return document.State{}, ErrUnconfirmed
}

func (m *Mesh) forward(ctx context.Context, address, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, m.forwardTimeout)
	defer cancel()
	return m.call(ctx, address, method, in, out)
}

// members lists the processes with a log, recently heard ones first.
func (m *Mesh) members() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []*peer
	for _, q := range m.peers {
		if q.process.Disk && q.process.Cluster != "" {
			peers = append(peers, q)
		}
	}
	slices.SortFunc(peers, func(a, b *peer) int {
		if d := b.lastHeard.Compare(a.lastHeard); a.process.DataCentre == b.process.DataCentre || time.Since(a.lastHeard) > reachableTimeout || time.Since(b.lastHeard) > reachableTimeout {
			return d
		}
		if a.process.DataCentre == m.options.Self.DataCentre {
			return -1
		}
		if b.process.DataCentre == m.options.Self.DataCentre {
			return 1
		}
		return 0
	})
	addresses := make([]string, 0, len(peers))
	for _, q := range peers {
		addresses = append(addresses, q.process.Address)
	}
	return addresses
}

func (h *logHost) propose(ctx context.Context, data []byte) proposalResult {
	r := h.current.Load()
	if r == nil {
		return proposalResult{Message: "the log is not open"}
	}
	index, _, err := r.Propose(ctx, data)
	if err != nil {
		return proposalResult{Message: err.Error()}
	}
	h.awaitQuorum(ctx, index)
	return proposalResult{Committed: true}
}

// quorumWait is how long an acknowledgement waits for a majority to know of the commit.
const quorumWait = 200 * time.Millisecond

// awaitQuorum returns once a majority of the voters has recorded on disk that an entry is
// committed, or after a timeout: the entry itself is already durable. If all processes
// then stop and the leader is lost, the remaining ones can prove their state without
// electing a new leader first.
func (h *logHost) awaitQuorum(ctx context.Context, index uint64) {
	timeout := h.quorumWait
	if deadline, ok := ctx.Deadline(); ok {
		// Leave half of the remaining time for the answer.
		timeout = min(timeout, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	standings := h.pollVoters(ctx)
	applied := make(map[string]bool)
	for {
		own, err := h.handleStanding(ctx, standingRequest{})
		if err != nil {
			return
		}
		applied[h.mesh.options.Self.Address] = own.Voter && own.Applied >= index
		count := 0
		for _, voter := range own.Voters {
			if applied[voter] {
				count++
			}
		}
		if count > len(own.Voters)/2 {
			return
		}
		select {
		case answer := <-standings:
			applied[answer.Address] = answer.Voter && answer.Applied >= index
		case <-ctx.Done():
			return
		}
	}
}

func (h *logHost) handlePropose(ctx context.Context, in proposal) (proposalResult, error) {
	ctx, cancel := context.WithTimeout(ctx, h.mesh.forwardTimeout)
	defer cancel()
	return h.propose(ctx, in.Command), nil
}

// read waits until every entry that was committed before the call is applied here, and
// returns the state.
func (h *logHost) read(ctx context.Context) (document.State, error) {
	r := h.current.Load()
	if r == nil {
		return document.State{}, ErrUnconfirmed
	}
	if _, err := r.ReadIndex(ctx); err != nil {
		return document.State{}, errors.Wrap(ErrUnconfirmed, err.Error())
	}
	return h.mesh.documents.Current().State, nil
}

func (h *logHost) handleRead(ctx context.Context, in pullRequest) (pullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, h.mesh.forwardTimeout)
	defer cancel()
	state, err := h.read(ctx)
	if err != nil {
		return pullReply{}, err
	}
	return h.mesh.pullReplyTo(in, state), nil
}
