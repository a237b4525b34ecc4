package replica

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

type changeRequest struct {
	change func(*replog.Node) (index, term uint64, err error)
	reply  chan proposeResult
}

func (q changeRequest) serve(c *core) {
	index, term, err := q.change(c.node)
	if err != nil {
		q.refuse(err)
		return
	}
	c.addWaiter(index, term, q.reply)
}

func (q changeRequest) refuse(err error) {
	if errors.Is(err, replog.ErrNotLeader) || errors.Is(err, errSteppedOut) || errors.Is(err, errStopped) {
		q.reply <- proposeResult{err: notCommitted(err)}
		return
	}
	q.reply <- proposeResult{err: refused(err)}
}

type transferRequest struct {
	to    replog.ID
	reply chan error
}

func (q transferRequest) serve(c *core) {
	if err := c.node.TransferLeadership(q.to); err != nil {
		q.refuse(err)
		return
	}
	// Readers that rely on the leader lease must see its end before the transfer
	// request is sent.
	c.publish()
	q.reply <- nil
}

func (q transferRequest) refuse(err error) { q.reply <- refused(err) }

// AddLearner adds a control instance that receives the log but does not count
// towards the quorum.
func (r *Replica) AddLearner(ctx context.Context, m replog.Member) error {
	return r.change(ctx, func(n *replog.Node) (uint64, uint64, error) { return n.AddLearner(m) })
}

// Promote turns a learner that has caught up into a voter.
func (r *Replica) Promote(ctx context.Context, id replog.ID) error {
	return r.change(ctx, func(n *replog.Node) (uint64, uint64, error) { return n.Promote(id) })
}

// Remove removes a member.
func (r *Replica) Remove(ctx context.Context, id replog.ID) error {
	return r.change(ctx, func(n *replog.Node) (uint64, uint64, error) { return n.Remove(id) })
}

// TransferLeadership starts a transfer of the leadership to another voter.
func (r *Replica) TransferLeadership(ctx context.Context, id replog.ID) error {
	return r.transfer(ctx, id)
}

// change makes a membership change and returns once it is committed. It succeeds
// only on the leader.
func (r *Replica) change(ctx context.Context, f func(*replog.Node) (uint64, uint64, error)) error {
	q := changeRequest{change: f, reply: make(chan proposeResult, 1)}
	if err := r.submit(q); err != nil {
		return notCommitted(err)
	}
	select {
	case res := <-q.reply:
		return res.err
	case <-ctx.Done():
		return unknownOutcome(ctx.Err())
	}
}

func (r *Replica) transfer(ctx context.Context, to replog.ID) error {
	q := transferRequest{to: to, reply: make(chan error, 1)}
	if err := r.submit(q); err != nil {
		return notCommitted(err)
	}
	select {
	case err := <-q.reply:
		return err
	case <-ctx.Done():
		return unknownOutcome(ctx.Err())
	}
}

// ChangeMembers makes a membership change, locally on the leader and forwarded to
// the leader elsewhere.
func (r *Replica) ChangeMembers(ctx context.Context, change wire.MemberChange) error {
	status := r.Status()
	if status.Role == replog.Leader {
		return r.changeLocally(ctx, change)
	}
	address, err := r.leaderAddress(status)
	if err != nil {
		return notCommitted(err)
	}
	var reply wire.MemberChangeReply
	if err := r.forward(ctx, address, wire.MethodReplicaChange, change, &reply); err != nil {
		return err
	}
	return codeError(reply.Code, reply.Message)
}

func (r *Replica) changeLocally(ctx context.Context, change wire.MemberChange) error {
	member, err := r.resolve(change)
	if err != nil {
		return refused(err)
	}
	switch change.Action {
	case wire.MemberAdd:
		return r.AddLearner(ctx, member)
	case wire.MemberPromote:
		return r.Promote(ctx, member.ID)
	case wire.MemberRemove:
		return r.Remove(ctx, member.ID)
	case wire.MemberTransfer:
		return r.transfer(ctx, member.ID)
	default:
		return refused(errors.Errorf("unknown action %q", change.Action))
	}
}

// resolve returns the member that a change refers to by ID or by instance name.
func (r *Replica) resolve(change wire.MemberChange) (replog.Member, error) {
	candidates := r.candidates(change.Action)
	var found []replog.Member
	for _, m := range candidates {
		if string(m.ID) == change.Member {
			return m, nil
		}
		if instanceName(m.ID) == change.Member {
			found = append(found, m)
		}
	}
	switch len(found) {
	case 0:
		return replog.Member{}, errors.Errorf("%q is not among the members that this can be done to", change.Member)
	case 1:
		return found[0], nil
	default:
		return replog.Member{}, errors.Errorf("%q names several members: give the whole id", change.Member)
	}
}

// candidates returns the members to which an action can apply. Restricting them by
// action helps to tell members apart by name: an instance that returned with an
// empty disk has the same name as its former member.
func (r *Replica) candidates(action wire.MemberAction) []replog.Member {
	config := r.Status().Config
	switch action {
	case wire.MemberAdd:
		return r.waiting.members()
	case wire.MemberPromote:
		return config.Learners
	case wire.MemberTransfer:
		return config.Voters
	default:
		return config.Members()
	}
}

// instanceName returns the instance name contained in a member's ID.
func instanceName(id replog.ID) string {
	dot := strings.LastIndexByte(string(id), '.')
	return string(id)[:max(dot, 0)]
}

// Members returns the leader's view of the membership, or this instance's own view
// while no leader can be reached. An instance that belongs to no log, or has
// stepped out, has no known leader and therefore queries all other instances.
func (r *Replica) Members(ctx context.Context) wire.MemberList {
	status := r.Status()
	own := r.ownMembers(status)
	if status.Role == replog.Leader {
		return own
	}
	if address, err := r.leaderAddress(status); err == nil {
		if list, ok := r.fetchMembers(ctx, address); ok {
			return list
		}
	}
	for _, address := range r.options.Peers {
		if address == r.options.Address {
			continue
		}
		if list, ok := r.fetchMembers(ctx, address); ok {
			list.Failure = own.Failure
			return list
		}
	}
	return own
}

// fetchMembers returns the member list of the instance at an address, and reports
// whether the list names a leader.
func (r *Replica) fetchMembers(ctx context.Context, address string) (wire.MemberList, bool) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var list wire.MemberList
	err := r.forward(ctx, address, wire.MethodReplicaMembers, wire.Empty{}, &list)
	return list, err == nil && list.Leader != ""
}

func (r *Replica) ownMembers(status replog.Status) wire.MemberList {
	list := wire.MemberList{
		Cluster: status.Config.Cluster, Term: status.Term, Commit: status.Commit,
		Quorum: status.Config.Quorum(), Voters: len(status.Config.Voters),
		Survivable: status.Survivable, Failure: r.Failure(),
	}
	if status.Role == replog.Leader {
		list.Leader = status.ID
		for _, m := range status.Members {
			list.Members = append(list.Members, r.member(status, m))
		}
	} else {
		for _, m := range status.Config.Members() {
			list.Members = append(list.Members, wire.Member{ID: m.ID, Address: m.Address, Role: roleOf(status, m.ID), ContactMillis: -1})
		}
	}
	for _, m := range r.waiting.members() {
		if !status.Config.Voter(m.ID) && !status.Config.Learner(m.ID) {
			list.Members = append(list.Members, wire.Member{ID: m.ID, Address: m.Address, Role: wire.RoleWaiting, ContactMillis: r.waiting.age(m.Address).Milliseconds()})
		}
	}
	return list
}

func (r *Replica) member(status replog.Status, m replog.MemberStatus) wire.Member {
	contact := int64(-1)
	if m.ContactTicks >= 0 {
		contact = m.ContactTicks * r.options.TickInterval.Milliseconds()
	}
	return wire.Member{
		ID: m.ID, Address: m.Address, Role: roleOf(status, m.ID),
		Match: m.Match, Lag: m.Lag, ContactMillis: contact, CaughtUp: m.CaughtUp,
	}
}

func roleOf(status replog.Status, id replog.ID) wire.MemberRole {
	switch {
	case status.Role == replog.Leader && id == status.ID:
		return wire.RoleLeader
	case status.Config.Voter(id):
		return wire.RoleVoter
	default:
		return wire.RoleLearner
	}
}
