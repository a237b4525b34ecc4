package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Errors of Propose and of the members' calls. A caller distinguishes them with
// errors.Is.
var (
	// ErrNotCommitted means that the command was not committed and never will be.
	ErrNotCommitted = errors.New("not committed")
	// ErrUnknown means that the command may have been committed or may still be.
	// A resend is safe if the command itself can be told from its copy.
	ErrUnknown = errors.New("unknown whether it was committed")
	// ErrRefused means that a rule of the membership forbids a change.
	ErrRefused = errors.New("refused")
	// ErrBusy means that a bounded ring is full; nothing was committed.
	ErrBusy = errors.New("too many calls wait")
)

var (
	errStopped    = errors.New("the instance stops")
	errSteppedOut = errors.New("the instance has stepped out of the log")
	errNoLeader   = errors.New("no leader is known")
)

// fateError is ErrNotCommitted, ErrUnknown or ErrRefused with its cause.
type fateError struct{ fate, cause error }

// Error implements error.
func (e *fateError) Error() string { return e.fate.Error() + ": " + e.cause.Error() }

// Unwrap gives both to errors.Is.
func (e *fateError) Unwrap() []error { return []error{e.fate, e.cause} }

func notCommitted(cause error) error { return &fateError{ErrNotCommitted, cause} }
func unknownFate(cause error) error  { return &fateError{ErrUnknown, cause} }
func refused(cause error) error      { return &fateError{ErrRefused, cause} }

// leaderPause is the wait before another try while no leader is known.
const leaderPause = 50 * time.Millisecond

// maxCommandBytes bounds a command, so that its message fits into a frame.
const maxCommandBytes = 4 << 20

// minElectionWait leaves time for an election on a busy machine.
const minElectionWait = 2 * time.Second

type proposeAnswer struct {
	index  uint64
	result []byte
	err    error
}

type proposeRequest struct {
	data  []byte
	reply chan proposeAnswer
}

func (p proposeRequest) serve(c *core) {
	if c.backlogged() {
		p.refuse(ErrBusy)
		return
	}
	index, term, err := c.node.Propose(p.data)
	if err != nil {
		p.refuse(err)
		return
	}
	c.await(index, term, p.reply)
}

func (p proposeRequest) refuse(err error) { p.reply <- proposeAnswer{err: notCommitted(err)} }

// Propose commits a command, here or through the leader, and returns the index
// and what the state machine answered. While it is certain that nothing was
// committed it tries again, for as long as an election may take. Errors are
// ErrNotCommitted or ErrUnknown.
func (r *Replica) Propose(ctx context.Context, data []byte) (index uint64, result []byte, err error) {
	if len(data) == 0 || len(data) > maxCommandBytes {
		return 0, nil, notCommitted(errors.Errorf("a command of %d bytes is not accepted", len(data)))
	}
	for deadline := time.Now().Add(r.electionWait()); ; {
		index, result, err = r.proposeOnce(ctx, data)
		if err == nil || !errors.Is(err, ErrNotCommitted) || !passing(err) {
			return index, result, err
		}
		_ = wait.For(ctx, leaderPause)
		if ctx.Err() != nil || time.Now().After(deadline) {
			return 0, nil, err
		}
	}
}

// electionWait is how long a caller waits for a leader. Without a quorum it is
// told so well before its own patience ends.
func (r *Replica) electionWait() time.Duration {
	elections := 3 * time.Duration(r.options.ElectionTicks) * r.options.TickInterval
	return max(elections, minElectionWait)
}

// passing is true for what a later try may not meet any more.
func passing(err error) bool {
	return !errors.Is(err, errSteppedOut) && !errors.Is(err, errStopped) && !errors.Is(err, ErrBusy)
}

func (r *Replica) proposeOnce(ctx context.Context, data []byte) (uint64, []byte, error) {
	status := r.Status()
	if status.Role == replog.Leader {
		return r.proposeHere(ctx, data)
	}
	address, err := r.leaderAddress(status)
	if err != nil {
		return 0, nil, notCommitted(err)
	}
	var reply wire.ProposeReply
	if err := r.forward(ctx, address, wire.MethodReplicaPropose, wire.Propose{Data: data}, &reply); err != nil {
		return 0, nil, err
	}
	return reply.Index, reply.Result, codeError(reply.Code, reply.Message)
}

func (r *Replica) proposeHere(ctx context.Context, data []byte) (uint64, []byte, error) {
	p := proposeRequest{data: data, reply: make(chan proposeAnswer, 1)}
	if err := r.submit(p); err != nil {
		return 0, nil, notCommitted(err)
	}
	select {
	case answer := <-p.reply:
		return answer.index, answer.result, answer.err
	case <-ctx.Done():
		return 0, nil, unknownFate(ctx.Err())
	}
}

// submit gives the core a request, or refuses it when the ring is full.
func (r *Replica) submit(request request) error {
	if r.Failure() != "" {
		return errSteppedOut
	}
	select {
	case r.requests <- request:
		return nil
	default:
		return ErrBusy
	}
}

func (r *Replica) leaderAddress(status replog.Status) (string, error) {
	if r.Failure() != "" {
		return "", errSteppedOut
	}
	for _, m := range status.Config.Members() {
		if m.ID == status.Leader && m.ID != r.self.ID {
			return m.Address, nil
		}
	}
	return "", errNoLeader
}

func codeError(code wire.ReplicaCode, message string) error {
	switch code {
	case wire.ReplicaOK:
		return nil
	case wire.ReplicaNotCommitted:
		return notCommitted(errors.New(message))
	case wire.ReplicaRefused:
		return refused(errors.New(message))
	default:
		return unknownFate(errors.New(message))
	}
}

func codeOf(err error) (code wire.ReplicaCode, message string) {
	switch {
	case err == nil:
		return wire.ReplicaOK, ""
	case errors.Is(err, ErrNotCommitted):
		return wire.ReplicaNotCommitted, causeOf(err)
	case errors.Is(err, ErrRefused):
		return wire.ReplicaRefused, causeOf(err)
	default:
		return wire.ReplicaUnknown, causeOf(err)
	}
}

// causeOf is the text that the caller's side puts behind the fate again.
func causeOf(err error) string {
	var fate *fateError
	if errors.As(err, &fate) {
		return fate.cause.Error()
	}
	return err.Error()
}
