package operator

import (
	"context"

	"github.com/rosemarypass/rosemarypass/coord/placement"
)

// Advice returns the advice on how many backend servers could be stopped, with
// the reasons.
func (c *Client) Advice(ctx context.Context) ([]placement.Advice, error) {
	var advice []placement.Advice
	err := c.Get(ctx, "/admin/v1/advice/servers", &advice)
	return advice, err
}
