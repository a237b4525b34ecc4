package operator

import (
	"context"
	"net/url"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/quota"
)

// Limits are the limits in force and their use, as counted by the quota owner.
type Limits struct {
	// Epoch is the owner's fencing number. Counts restart with each new epoch.
	Epoch uint64 `json:"epoch"`
	// Contracts are the contracts in use. The owner holds no state for the others,
	// and they are omitted.
	Contracts []ContractLimits `json:"contracts"`
}

// ContractLimits holds the limits of one contract and their use.
type ContractLimits struct {
	quota.Standing
	Limits contract.Limits `json:"limits"`
	Share  int             `json:"share"`
}

// Limits returns the limits in force of the contract with the given ID, or of all
// contracts in use if id is empty.
func (c *Client) Limits(ctx context.Context, id string) (Limits, error) {
	path := "/admin/v1/limits"
	if id != "" {
		path += "/" + url.PathEscape(id)
	}
	var limits Limits
	err := c.Get(ctx, path, &limits)
	return limits, err
}
