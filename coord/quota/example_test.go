package quota_test

import (
	"fmt"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/quota"
)

// One owner and one holder exchange messages over any transport. Each call takes
// the current time, because the package has no clock of its own.
func Example() {
	now := time.Unix(1_000_000, 0)
	agreed := contract.Contract{ID: "dabke", Revision: 1, Limits: contract.Limits{
		RequestsPerSecond: 10, TokensPerMinute: 6000, Concurrency: 1, MaxWait: time.Second,
	}}
	contracts := func(id string) (contract.Contract, bool) { return agreed, id == agreed.ID }
	owner := quota.NewOwner(quota.DefaultOptions(), quota.Tenure{Epoch: 1, Began: now.Add(-time.Minute)}, contracts)
	holder := quota.NewHolder(quota.DefaultOptions(), "entry-1", 1)

	perform := func(actions []quota.Action) {
		for _, action := range actions {
			switch action := action.(type) {
			case quota.Admit:
				fmt.Printf("request %d runs after %v\n", action.ID, action.Waited)
			case quota.Refuse:
				fmt.Printf("request %d is refused by %s\n", action.ID, action.Clause)
			}
		}
	}
	perform(holder.Request(now, quota.Request{ID: 1, Contract: agreed, Tokens: 300}))
	perform(holder.Request(now, quota.Request{ID: 2, Contract: agreed, Tokens: 300}))
	if holder.Urgent(now) {
		renewal := holder.Renewal(now, false)
		now = now.Add(2 * time.Millisecond)
		perform(holder.Reply(now, owner.Renew(now, renewal)))
	}
	now = now.Add(998 * time.Millisecond)
	perform(holder.Tick(now))

	// Output:
	// request 1 runs after 2ms
	// request 2 is refused by concurrency
}
