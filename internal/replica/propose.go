package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Errors of Propose and of the membership calls, to be tested with errors.Is.
var (
	// ErrNotCommitted means that the command was not committed and will never be.
	ErrNotCommitted = errors.New("not committed")
	// ErrUnknown means that the command may already be committed or may still be
	// committed. Retrying is safe if duplicates of the command can be recognized.
	ErrUnknown = errors.New("unknown whether it was committed")
	// ErrRefused means that the rules for membership changes forbid the change.
	ErrRefused = errors.New("refused")
	// ErrBusy means that a bounded queue is full; nothing was committed.
	ErrBusy = errors.New("too many calls wait")
)

var (
	errStopped    = errors.New("the instance stops")
	errSteppedOut = errors.New("the instance has stepped out of the log")
	errNoLeader   = errors.New("no leader is known")
)

// outcomeError combines ErrNotCommitted, ErrUnknown or ErrRefused with its cause.
type outcomeError struct{ outcome, cause error }

// Error implements error.
func (e *outcomeError) Error() string { return e.outcome.Error() + ": " + e.cause.Error() }

// Unwrap returns the outcome and the cause, so that errors.Is matches both.
func (e *outcomeError) Unwrap() []error { return []error{e.outcome, e.cause} }

func notCommitted(cause error) error   { return &outcomeError{ErrNotCommitted, cause} }
func unknownOutcome(cause error) error { return &outcomeError{ErrUnknown, cause} }
func refused(cause error) error        { return &outcomeError{ErrRefused, cause} }

// leaderRetryInterval is the wait before the next attempt while no leader is known.
const leaderRetryInterval = 50 * time.Millisecond

// maxCommandBytes limits the size of a command, so that its message fits into a frame.
const maxCommandBytes = 4 << 20

// minLeaderTimeout is the minimum of leaderTimeout; it leaves time for an election on a
// busy machine.
const minLeaderTimeout = 2 * time.Second

type proposeResult struct {
	index  uint64
	result []byte
	err    error
}

type proposeRequest struct {
	data  []byte
	reply chan proposeResult
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
	c.addWaiter(index, term, p.reply)
}

func (p proposeRequest) refuse(err error) { p.reply <- proposeResult{err: notCommitted(err)} }

// Propose commits a command, locally on the leader and forwarded to the leader
// elsewhere, and returns its index and the state machine's result. As long as it is
// certain that nothing was committed, it retries for the time that an election can
// take. The errors are ErrNotCommitted and ErrUnknown.
func (r *Replica) Propose(ctx context.Context, data []byte) (index uint64, result []byte, err error) {
	if len(data) == 0 || len(data) > maxCommandBytes {
		return 0, nil, notCommitted(errors.Errorf("a command of %d bytes is not accepted", len(data)))
	}
	for deadline := time.Now().Add(r.leaderTimeout()); ; {
		index, result, err = r.proposeOnce(ctx, data)
		if err == nil || !errors.Is(err, ErrNotCommitted) || !retryable(err) {
			return index, result, err
		}
		_ = wait.For(ctx, leaderRetryInterval)
		if ctx.Err() != nil || time.Now().After(deadline) {
			return 0, nil, err
		}
	}
}

// leaderTimeout returns how long a caller waits for a leader: three election
// timeouts, at least minLeaderTimeout. Without a quorum, callers thus receive an
// error well before their own timeouts.
func (r *Replica) leaderTimeout() time.Duration {
	elections := 3 * time.Duration(r.options.ElectionTicks) * r.options.TickInterval
	return max(elections, minLeaderTimeout)
}

// retryable reports whether Propose and ReadIndex retry after err: not if this instance
// is stopping, has stepped out or is busy.
func retryable(err error) bool {
	return !errors.Is(err, errSteppedOut) && !errors.Is(err, errStopped) && !errors.Is(err, ErrBusy)
}

func (r *Replica) proposeOnce(ctx context.Context, data []byte) (uint64, []byte, error) {
	status := r.Status()
	if status.Role == replog.Leader {
		return r.proposeLocally(ctx, data)
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

func (r *Replica) proposeLocally(ctx context.Context, data []byte) (uint64, []byte, error) {
	p := proposeRequest{data: data, reply: make(chan proposeResult, 1)}
	if err := r.submit(p); err != nil {
		return 0, nil, notCommitted(err)
	}
	select {
	case res := <-p.reply:
		return res.index, res.result, res.err
	case <-ctx.Done():
		return 0, nil, unknownOutcome(ctx.Err())
	}
}

// submit passes a request to the core. It returns ErrBusy if the request queue is
// full.
func (r *Replica) submit(q request) error {
	if r.Failure() != "" {
		return errSteppedOut
	}
	select {
	case r.requests <- q:
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
		return unknownOutcome(errors.New(message))
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

// causeOf returns the text of the cause alone; the receiver of the reply combines it
// with the outcome again.
func causeOf(err error) string {
	var outcomeErr *outcomeError
	if errors.As(err, &outcomeErr) {
		return outcomeErr.cause.Error()
	}
	return err.Error()
}
