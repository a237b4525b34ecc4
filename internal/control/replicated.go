package control

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/internal/operator"
	"github.com/rosemarypass/rosemarypass/internal/replica"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Membership gives operators access to the replicated log's membership.
type Membership interface {
	// Members returns the leader's view, or this instance's own view if no leader
	// is known.
	Members(ctx context.Context) wire.MemberList
	// ChangeMembers returns once a change is committed or, in the case of a
	// leadership transfer, has begun.
	ChangeMembers(ctx context.Context, change wire.MemberChange) error
}

// UseReplica makes commands durable in the replicated log. It must be called before
// Run.
func (c *Control) UseReplica(r *replica.Replica) {
	c.UseLog(replicatedLog{r})
	c.members = r
}

// proposeTimeout bounds a proposal. It is shorter than the timeout of the operators'
// tool, so that the tool still receives the answer that nothing was committed.
const proposeTimeout = 4 * time.Second

// replicatedLog implements Log with a replica.
type replicatedLog struct{ replica *replica.Replica }

// Propose implements Log.
func (l replicatedLog) Propose(ctx context.Context, data []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, answer, err := l.replica.Propose(ctx, data)
	if errors.Is(err, replica.ErrNotCommitted) {
		return nil, errors.Wrap(ErrNotAccepted, err.Error())
	}
	return answer, err
}

// Barrier implements Log.
func (l replicatedLog) Barrier(ctx context.Context) error {
	_, err := l.replica.ReadIndex(ctx)
	return err
}

// Standing implements Log.
func (l replicatedLog) Standing() freshness.Standing { return l.replica.Standing() }

func (c *Control) routeMembers(router chi.Router) {
	router.Get("/members", c.listMembers)
	router.Post("/members", c.changeMembers)
}

func (c *Control) listMembers(w http.ResponseWriter, r *http.Request) {
	if c.members == nil {
		writeError(w, http.StatusNotFound, noMembersMessage)
		return
	}
	writeJSON(w, http.StatusOK, c.members.Members(r.Context()))
}

// noMembersMessage is the answer of an instance without a data folder.
const noMembersMessage = "this control instance keeps its state in memory alone and has no members"

func (c *Control) changeMembers(w http.ResponseWriter, r *http.Request) {
	var change wire.MemberChange
	if !c.readBody(w, r, &change) {
		return
	}
	if c.members == nil {
		writeError(w, http.StatusNotFound, noMembersMessage)
		return
	}
	err := c.members.ChangeMembers(r.Context(), change)
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, wire.MemberChangeReply{Code: wire.ReplicaOK})
	case errors.Is(err, replica.ErrRefused):
		writeError(w, http.StatusUnprocessableEntity, err.Error())
	default:
		writeJSON(w, http.StatusServiceUnavailable, operator.Failure{
			Error:       err.Error(),
			NotAccepted: errors.Is(err, replica.ErrNotCommitted),
		})
	}
}
