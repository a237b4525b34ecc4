package mesh

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/internal/replica"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// ErrUnconfirmed means that the log did not answer in time: whether a change was
// accepted, or which configuration is the newest, is unknown.
var ErrUnconfirmed = errors.New("the replicated log could not confirm it in time")

// forwardTimeout bounds one attempt at one member of the log, so that another member can
// still be asked within one second, the time that an operator waits.
const forwardTimeout = 450 * time.Millisecond

// maxProposing bounds the bytes of the changes that one process proposes at a time: a
// change goes on after its caller has left.
const maxProposing = 16 << 20

// TransferTime returns how much longer an attempt to commit a change of some bytes may take
// than one to commit a small change.
func TransferTime(bytes int) time.Duration { return replica.TransferTime(bytes) }

// Propose commits a command. It returns nil only when the command is durable, and in
// force here or about to be. A state that is in force was committed, so a command that it
// includes is not sent through the log again: an operator that got no answer would
// otherwise wait for the whole configuration anew at each try.
func (m *Mesh) Propose(ctx context.Context, command document.Command) error {
	if m.includes(command) {
		m.awaitHeld(ctx)
		return nil
	}
	data, err := json.Marshal(command)
	if err != nil {
		return errors.Wrap(err, "encode a command")
	}
	if !m.beginProposal(len(data)) {
		m.log.Warn("a change is not proposed, as too many others are in progress", zap.Int("bytes", len(data)))
		return ErrUnconfirmed
	}
	confirmed := make(chan error, 1)
	go func() {
		defer m.endProposal(len(data))
		// A caller that leaves early would cut off a transfer that it then asks for anew.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*m.attemptTimeout(len(data)))
		defer cancel()
		confirmed <- m.propose(ctx, data)
	}()
	for {
		changed := m.documents.Changed()
		if m.includes(command) {
			return m.awaitConfirmation(ctx, confirmed)
		}
		select {
		case err := <-confirmed:
			return err
		case <-changed:
		case <-ctx.Done():
			return ErrUnconfirmed
		}
	}
}

// attemptTimeout bounds one attempt to commit a command of some bytes.
func (m *Mesh) attemptTimeout(bytes int) time.Duration { return m.forwardTimeout + TransferTime(bytes) }

// beginProposal reports whether there is room for another proposal, which endProposal ends.
func (m *Mesh) beginProposal(bytes int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.proposing+bytes > maxProposing {
		return false
	}
	m.proposing += bytes
	return true
}

func (m *Mesh) endProposal(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proposing -= bytes
}

// includes reports whether the held state, which is always a committed one, includes a command.
func (m *Mesh) includes(command document.Command) bool {
	return m.documents.Current().State.Includes(command)
}

// awaitHeld does for the held state what awaitQuorum does for a new entry.
func (m *Mesh) awaitHeld(ctx context.Context) {
	if m.host != nil && m.host.isMember() {
		m.host.awaitQuorum(ctx, m.documents.Current().State.Index)
	}
}

// awaitConfirmation waits a short time for the confirmation of a command that is in force:
// until then few processes may know that it is committed.
func (m *Mesh) awaitConfirmation(ctx context.Context, confirmed <-chan error) error {
	timer := time.NewTimer(m.quorumWait)
	defer timer.Stop()
	select {
	case <-confirmed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

// propose commits a command by the local part of the log, or by a member of it.
func (m *Mesh) propose(ctx context.Context, data []byte) error {
	if m.host != nil && m.host.isMember() {
		start := time.Now()
		result := m.host.propose(ctx, data)
		if result.Committed {
			return nil
		}
		m.log.Info("the log did not confirm a change", zap.Int("bytes", len(data)), zap.Duration("took", time.Since(start)), zap.String("message", result.Message))
		return ErrUnconfirmed
	}
	packed := sync.OnceValue(func() []byte { return deflate(data) })
	for _, address := range m.members() {
		start := time.Now()
		reply, err := m.forwardProposal(ctx, address, data, packed)
		if err == nil && reply.Committed {
			return nil
		}
		m.log.Info("a member of the log did not confirm a change", zap.String("member", address), zap.Int("bytes", len(data)), zap.Duration("took", time.Since(start)),
			zap.String("message", reply.Message), telemetry.Cause(err))
		if ctx.Err() != nil {
			break
		}
	}
	return ErrUnconfirmed
}

// forwardProposal sends a command to a member of the log. A large one has a connection of its
// own: when it times out, the connection is closed.
func (m *Mesh) forwardProposal(ctx context.Context, address string, data []byte, packed func() []byte) (reply proposalResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, m.attemptTimeout(len(data)))
	defer cancel()
	message := m.proposalTo(address, data, packed)
	if len(data) < minPackedBody {
		err = m.call(ctx, address, methodPropose, message, &reply)
		return reply, err
	}
	client := rpc.NewClient(address)
	defer client.Close()
	err = client.Call(ctx, methodPropose, message, &reply)
	return reply, err
}

// proposalTo returns the message that carries a command to a member of the log: a large one is
// packed, if the member can read that.
func (m *Mesh) proposalTo(address string, data []byte, packed func() []byte) proposal {
	if len(data) < minPackedBody || !m.unpacks(address) {
		return proposal{Command: data}
	}
	return proposal{Packed: packed()}
}

// data returns the command.
func (p *proposal) data() ([]byte, error) {
	if p.Packed == nil {
		return p.Command, nil
	}
	return inflate(p.Packed)
}

// unpacks reports whether a peer can read packed proposals.
func (m *Mesh) unpacks(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.peers[address]
	return q != nil && q.process.Unpacks
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
	timeout := h.mesh.quorumWait
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
	data, err := in.data()
	if err != nil {
		return proposalResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.mesh.attemptTimeout(len(data)))
	defer cancel()
	return h.propose(ctx, data), nil
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
