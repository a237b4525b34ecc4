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

// forwardedTimeout bounds a forwarded call at the leader; the caller's own limit
// does not come along.
const forwardedTimeout = 10 * time.Second

var foreignMessages = telemetry.Counter("replica_messages_foreign")

// Handlers returns the JSON-RPC methods that other control instances call.
func (r *Replica) Handlers() map[string]rpc.Handler {
	return map[string]rpc.Handler{
		wire.MethodReplicaMessages: rpc.Typed(r.takeEnvelope),
		wire.MethodReplicaSnapshot: rpc.Typed(r.takeSnapshotPart),
		wire.MethodReplicaHello:    rpc.Typed(r.takeHello),
		wire.MethodReplicaPropose:  rpc.Typed(r.takeProposal),
		wire.MethodReplicaRead:     rpc.Typed(r.takeRead),
		wire.MethodReplicaMembers:  rpc.Typed(r.takeMembers),
		wire.MethodReplicaChange:   rpc.Typed(r.takeChange),
	}
}

// Methods are the names of what Handlers returns.
var Methods = []string{
	wire.MethodReplicaMessages, wire.MethodReplicaSnapshot, wire.MethodReplicaHello, wire.MethodReplicaPropose,
	wire.MethodReplicaRead, wire.MethodReplicaMembers, wire.MethodReplicaChange,
}

// Handle answers one of Methods, for a caller that replaces replicas behind its
// own handlers.
func (r *Replica) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	return r.handlers[method](ctx, params)
}

// takeEnvelope gives messages to the core. Those of another log are dropped: a
// data folder or an address that was mixed up must not join two logs.
func (r *Replica) takeEnvelope(_ context.Context, in wire.Envelope) (wire.Empty, error) {
	own := r.Status().Config.Cluster
	if own != "" && in.Cluster != "" && own != in.Cluster {
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

func (r *Replica) takeSnapshotPart(ctx context.Context, in wire.SnapshotPart) (wire.Empty, error) {
	message, err := r.assembly.add(in)
	if err != nil || message == nil {
		return wire.Empty{}, err
	}
	return r.takeEnvelope(ctx, wire.Envelope{Cluster: in.Cluster, Address: in.Address, Messages: []replog.Message{*message}})
}

func (r *Replica) takeHello(_ context.Context, in wire.Hello) (wire.Hello, error) {
	if in.Cluster == "" {
		r.waiting.add(replog.Member{ID: in.ID, Address: in.Address})
	}
	return r.hello(), nil
}

// takeProposal commits a forwarded command. It is not forwarded again, so that
// two instances that take each other for the leader do not loop.
func (r *Replica) takeProposal(ctx context.Context, in wire.Propose) (wire.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardedTimeout)
	defer cancel()
	index, result, err := r.proposeHere(ctx, in.Data)
	code, message := codeOf(err)
	return wire.ProposeReply{Code: code, Message: message, Index: index, Result: result}, nil
}

func (r *Replica) takeRead(ctx context.Context, _ wire.Empty) (wire.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardedTimeout)
	defer cancel()
	index, err := r.confirmHere(ctx)
	code, message := codeOf(err)
	return wire.ReadReply{Code: code, Message: message, Index: index}, nil
}

func (r *Replica) takeMembers(context.Context, wire.Empty) (wire.MemberList, error) {
	return r.ownMembers(r.Status()), nil
}

func (r *Replica) takeChange(ctx context.Context, in wire.MemberChange) (wire.MemberChangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardedTimeout)
	defer cancel()
	if r.Status().Role != replog.Leader {
		code, message := codeOf(notCommitted(replog.ErrNotLeader))
		return wire.MemberChangeReply{Code: code, Message: message}, nil
	}
	code, message := codeOf(r.changeHere(ctx, in))
	return wire.MemberChangeReply{Code: code, Message: message}, nil
}
