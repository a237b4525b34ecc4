package replica

import (
	"context"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

type readResult struct {
	index uint64
	err   error
}

type readRequest struct{ reply chan readResult }

func (q readRequest) serve(c *core) {
	c.lastRead++
	if err := c.node.ReadIndex(c.lastRead); err != nil {
		q.refuse(err)
		return
	}
	c.reads[c.lastRead] = q.reply
}

func (q readRequest) refuse(err error) { q.reply <- readResult{err: err} }

// ReadIndex returns once a quorum has confirmed an index and every entry up to that
// index is applied locally: a subsequent read of the state machine sees every
// command that was committed on any instance before the call. It retries across
// leader changes until ctx is done.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	for {
		index, err := r.confirmIndex(ctx)
		if err == nil {
			return index, r.applied.wait(ctx, index)
		}
		if !retryable(err) || ctx.Err() != nil {
			return 0, err
		}
		_ = wait.For(ctx, leaderRetryInterval)
	}
}

func (r *Replica) confirmIndex(ctx context.Context) (uint64, error) {
	status := r.Status()
	if status.Role == replog.Leader {
		return r.confirmLocally(ctx)
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

func (r *Replica) confirmLocally(ctx context.Context) (uint64, error) {
	q := readRequest{reply: make(chan readResult, 1)}
	if err := r.submit(q); err != nil {
		return 0, err
	}
	select {
	case res := <-q.reply:
		return res.index, res.err
	case <-ctx.Done():
		return 0, errors.Wrap(ctx.Err(), "no quorum confirmed the read")
	}
}
