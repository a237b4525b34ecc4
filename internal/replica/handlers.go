package replica

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// forwardedTimeout limits the duration of a forwarded call on the leader; the
// caller's own deadline is not transmitted.
const forwardedTimeout = 10 * time.Second

var foreignMessages = telemetry.Counter("replica_messages_foreign")

// Handlers returns the JSON-RPC methods that other control instances call.
func (r *Replica) Handlers() map[string]rpc.Handler {
	return map[string]rpc.Handler{
		wire.MethodReplicaMessages: rpc.Typed(r.handleEnvelope),
		wire.MethodReplicaSnapshot: rpc.Typed(r.handleSnapshotPart),
		wire.MethodReplicaHello:    rpc.Typed(r.handleHello),
		wire.MethodReplicaPropose:  rpc.Typed(r.handleProposal),
		wire.MethodReplicaRead:     rpc.Typed(r.handleRead),
		wire.MethodReplicaMembers:  rpc.Typed(r.handleMembers),
		wire.MethodReplicaChange:   rpc.Typed(r.handleChange),
	}
}

// Methods holds the names of the methods that Handlers returns.
var Methods = []string{
	wire.MethodReplicaMessages, wire.MethodReplicaSnapshot, wire.MethodReplicaHello, wire.MethodReplicaPropose,
	wire.MethodReplicaRead, wire.MethodReplicaMembers, wire.MethodReplicaChange,
}

// Handle calls the handler of one of Methods. It is for callers that register their
// own handlers and replace the replica behind them.
func (r *Replica) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	return r.handlers[method](ctx, params)
}

// handleEnvelope passes messages to the core. Messages of another log are dropped:
// a swapped data folder or address must not merge two logs.
func (r *Replica) handleEnvelope(_ context.Context, in wire.Envelope) (wire.Empty, error) {
	cluster := r.Status().Config.Cluster
	if cluster != "" && in.Cluster != "" && cluster != in.Cluster {
		foreignMessages.Add(int64(len(in.Messages)))
		return wire.Empty{}, nil
	}
	for _, m := range in.Messages {
		if m.To == r.self.ID {
			r.peers.learn(m.From, in.Address)
		}
	}
	select {
	case r.inbox <- in.Messages:
	default:
		droppedMessages.Add(int64(len(in.Messages)))
	}
	return wire.Empty{}, nil
}

func (r *Replica) handleSnapshotPart(ctx context.Context, in wire.SnapshotPart) (wire.Empty, error) {
	message, err := r.assembler.add(in)
	if err != nil || message == nil {
		return wire.Empty{}, err
	}
	return r.handleEnvelope(ctx, wire.Envelope{Cluster: in.Cluster, Address: in.Address, Messages: []replog.Message{*message}})
}

func (r *Replica) handleHello(_ context.Context, in wire.Hello) (wire.Hello, error) {
	if in.Cluster == "" {
		r.waiting.add(replog.Member{ID: in.ID, Address: in.Address})
	}
	return r.hello(), nil
}

// handleProposal commits a forwarded command. It does not forward the command again,
// so that two instances that each consider the other the leader do not loop.
func (r *Replica) handleProposal(ctx context.Context, in wire.Propose) (wire.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardedTimeout)
	defer cancel()
	index, result, err := r.proposeLocally(ctx, in.Data)
	code, message := codeOf(err)
	return wire.ProposeReply{Code: code, Message: message, Index: index, Result: result}, nil
}

func (r *Replica) handleRead(ctx context.Context, _ wire.Empty) (wire.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardedTimeout)
	defer cancel()
	index, err := r.confirmLocally(ctx)
	code, message := codeOf(err)
	return wire.ReadReply{Code: code, Message: message, Index: index}, nil
}

func (r *Replica) handleMembers(context.Context, wire.Empty) (wire.MemberList, error) {
	return r.ownMembers(r.Status()), nil
}

func (r *Replica) handleChange(ctx context.Context, in wire.MemberChange) (wire.MemberChangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardedTimeout)
	defer cancel()
	if r.Status().Role != replog.Leader {
		code, message := codeOf(notCommitted(replog.ErrNotLeader))
		return wire.MemberChangeReply{Code: code, Message: message}, nil
	}
	code, message := codeOf(r.changeLocally(ctx, in))
	return wire.MemberChangeReply{Code: code, Message: message}, nil
}
