package mesh

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/document"
)

// ErrUnsure means that the log could not be asked in time: whether a change was
// accepted, or which configuration is the newest, is not known.
var ErrUnsure = errors.New("the replicated log could not confirm it in time")

// forwardTimeout bounds one try at one member of the log, so that another one
// can still be asked within an operator's second.
const forwardTimeout = 450 * time.Millisecond

// Propose commits a command. It returns nil only when it is durable and in
// force here or about to be.
func (m *Mesh) Propose(ctx context.Context, command document.Command) error {
	data, err := json.Marshal(command)
	if err != nil {
		return errors.Wrap(err, "encode a command")
	}
	if m.host != nil && m.host.takesPart() {
		if fate := m.host.propose(ctx, data); fate.Committed {
			return nil
		}
		return ErrUnsure
	}
	for _, address := range m.members() {
		var reply fate
		if err := m.forward(ctx, address, methodPropose, proposal{Command: data}, &reply); err == nil && reply.Committed {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return ErrUnsure
}

// Read returns a state that includes every change that was acknowledged before
// the call, or ErrUnsure.
func (m *Mesh) Read(ctx context.Context) (document.State, error) {
	if m.host != nil && m.host.takesPart() {
		return m.host.read(ctx)
	}
	for _, address := range m.members() {
		var reply pullReply
		err := m.forward(ctx, address, methodRead, m.request(), &reply)
		if err == nil {
			if reply.Newer {
				m.takePulled(reply.State, originRead+address)
			}
			return m.documents.Current().State, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return document.State{}, ErrUnsure
}

func (m *Mesh) forward(ctx context.Context, address, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return m.ask(ctx, address, method, in, out)
}

// members lists the processes with a log, those heard of lately first.
func (m *Mesh) members() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var near []*peer
	for _, q := range m.peers {
		if q.process.Disk && q.process.Cluster != "" {
			near = append(near, q)
		}
	}
	slices.SortFunc(near, func(a, b *peer) int {
		if d := b.heard.Compare(a.heard); a.process.DataCentre == b.process.DataCentre || time.Since(a.heard) > heardAge || time.Since(b.heard) > heardAge {
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
	addresses := make([]string, 0, len(near))
	for _, q := range near {
		addresses = append(addresses, q.process.Address)
	}
	return addresses
}

func (h *logHost) propose(ctx context.Context, data []byte) fate {
	r := h.current.Load()
	if r == nil {
		return fate{Message: "the log is not open"}
	}
	index, _, err := r.Propose(ctx, data)
	if err != nil {
		return fate{Message: err.Error()}
	}
	h.awaitSpread(ctx, index)
	return fate{Committed: true}
}

// spreadWait is how long an acknowledgement waits for a majority to know of it.
const spreadWait = 200 * time.Millisecond

// awaitSpread returns once a majority of the voters has on its disk that an entry
// is committed, or after a while: the entry itself is durable. If everything then
// stops, and the leader is lost, what is left proves its state without electing
// another one first.
func (h *logHost) awaitSpread(ctx context.Context, index uint64) {
	limit := h.spreadWait
	if due, ok := ctx.Deadline(); ok {
		// Half of what is left is the answer's.
		limit = min(limit, time.Until(due)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	standings := h.askVoters(ctx)
	known := make(map[string]bool)
	for {
		own, err := h.takeStanding(ctx, standingRequest{})
		if err != nil {
			return
		}
		known[h.mesh.options.Self.Address] = own.Voter && own.Applied >= index
		count := 0
		for _, voter := range own.Voters {
			if known[voter] {
				count++
			}
		}
		if count > len(own.Voters)/2 {
			return
		}
		select {
		case answer := <-standings:
			known[answer.Address] = answer.Voter && answer.Applied >= index
		case <-ctx.Done():
			return
		}
	}
}

func (h *logHost) takeProposal(ctx context.Context, in proposal) (fate, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return h.propose(ctx, in.Command), nil
}

// read waits until everything that was committed before the call is applied
// here.
func (h *logHost) read(ctx context.Context) (document.State, error) {
	r := h.current.Load()
	if r == nil {
		return document.State{}, ErrUnsure
	}
	if _, err := r.ReadIndex(ctx); err != nil {
		return document.State{}, errors.Wrap(ErrUnsure, err.Error())
	}
	return h.mesh.documents.Current().State, nil
}

func (h *logHost) takeRead(ctx context.Context, in pullRequest) (pullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	state, err := h.read(ctx)
	if err != nil {
		return pullReply{}, err
	}
	return answerState(in, state), nil
}

// answerState is the state without the body that the asking one has.
func answerState(in pullRequest, state document.State) pullReply {
	reply := pullReply{Newer: state.Index > in.Index, State: state}
	if in.Holds && state.Version == in.Version {
		reply.State.Body = nil
	}
	return reply
}
