package operator

import (
	"context"
	"net/url"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/quota"
)

// Limits are the limits in force, as the owner of the quotas counts them.
type Limits struct {
	// Epoch is the owner's fencing token. Counts begin anew with each.
	Epoch uint64 `json:"epoch"`
	// Contracts are those in use; the others cost nothing and are left out.
	Contracts []ContractLimits `json:"contracts"`
}

// ContractLimits is one contract's limits and their use.
type ContractLimits struct {
	quota.Standing
	Limits contract.Limits `json:"limits"`
	Share  int             `json:"share"`
}

// Limits reads the limits in force of every contract in use, or of one.
func (c *Client) Limits(ctx context.Context, id string) (Limits, error) {
	path := "/admin/v1/limits"
	if id != "" {
		path += "/" + url.PathEscape(id)
	}
	var limits Limits
	err := c.Get(ctx, path, &limits)
	return limits, err
}
