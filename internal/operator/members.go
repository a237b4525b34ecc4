package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Members reads the members of the replicated log.
func (c *Client) Members(ctx context.Context) (wire.MemberList, error) {
	var list wire.MemberList
	err := c.Get(ctx, "/admin/v1/members", &list)
	return list, err
}

// ChangeMembers changes the membership. Sending a change again that was made
// already is refused by its own rule.
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
