package replica

import (
	"context"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

type readAnswer struct {
	index uint64
	err   error
}

type readRequest struct{ reply chan readAnswer }

func (q readRequest) serve(c *core) {
	c.read++
	if err := c.node.ReadIndex(c.read); err != nil {
		q.refuse(err)
		return
	}
	c.reads[c.read] = q.reply
}

func (q readRequest) refuse(err error) { q.reply <- readAnswer{err: err} }

// ReadIndex returns once a quorum has confirmed an index and every entry up to
// it is applied here: a read of the state machine that follows sees every
// command that was committed anywhere before the call. It tries again until ctx
// ends, as leaders change.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	for {
		index, err := r.confirmIndex(ctx)
		if err == nil {
			return index, r.applied.wait(ctx, index)
		}
		if !passing(err) || ctx.Err() != nil {
			return 0, err
		}
		_ = wait.For(ctx, leaderPause)
	}
}

func (r *Replica) confirmIndex(ctx context.Context) (uint64, error) {
	status := r.Status()
	if status.Role == replog.Leader {
		return r.confirmHere(ctx)
	}
	address, err := r.leaderAddress(status)
	if err != nil {
		return 0, err
	}
	var reply wire.ReadReply
	if err := r.forward(ctx, address, wire.MethodReplicaRead, wire.Empty{}, &reply); err != nil {
		return 0, err
	}
	return reply.Index, codeError(reply.Code, reply.Message)
}

func (r *Replica) confirmHere(ctx context.Context) (uint64, error) {
	q := readRequest{reply: make(chan readAnswer, 1)}
	if err := r.submit(q); err != nil {
		return 0, err
	}
	select {
	case answer := <-q.reply:
		return answer.index, answer.err
	case <-ctx.Done():
		return 0, errors.Wrap(ctx.Err(), "no quorum confirmed the read")
	}
}
