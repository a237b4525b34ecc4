package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Members returns the members of the replicated log.
func (c *Client) Members(ctx context.Context) (wire.MemberList, error) {
	var list wire.MemberList
	err := c.Get(ctx, "/admin/v1/members", &list)
	return list, err
}

// ChangeMembers changes the membership of the replicated log. It needs no
// operation ID: a change that was already made is rejected when it is sent again.
func (c *Client) ChangeMembers(ctx context.Context, change wire.MemberChange) error {
	data, err := json.Marshal(change)
	if err != nil {
		return errors.Wrap(err, "encode change")
	}
	var reply wire.MemberChangeReply
	return c.call(ctx, call{
		method:   http.MethodPost,
		path:     "/admin/v1/members",
		body:     data,
		into:     &reply,
		accepted: func() bool { return reply.Code == wire.ReplicaOK },
		timeout:  c.options.AttemptTimeout,
	})
}
