package limiter

import (
	"fmt"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/quota"
	"github.com/rosemarypass/rosemarypass/internal/entry"
)

// refusal returns the refusal that names the clause and the time after which
// the caller may retry.
func refusal(r quota.Refuse, agreed contract.Contract) *entry.Refusal {
	refused := &entry.Refusal{Clause: r.Clause, RetryAfter: r.RetryAfter, Message: message(r, agreed.Limits)}
	switch r.Cause {
	case quota.CauseNoLease:
		// No limit of the contract was reached, so no clause is named.
		noLeaseCount.Add(1)
		refused.Clause = ""
	case quota.CauseRetired:
		refused.Clause = contract.ClauseRetired
		countRefusal(refused.Clause)
	default:
		countRefusal(r.Clause)
	}
	return refused
}

func message(r quota.Refuse, limits contract.Limits) string {
	limit := limitText(r.Clause, limits)
	switch r.Cause {
	case quota.CauseMaxWait:
		return fmt.Sprintf("%s; the request waited %s, the contract's longest wait", limit, limits.MaxWait)
	case quota.CauseMaxWaitCertain:
		return fmt.Sprintf("%s; the wait would pass %s, the contract's longest wait", limit, limits.MaxWait)
	case quota.CauseExceedsContract:
		return fmt.Sprintf("%s; the request alone asks for more", limit)
	case quota.CauseQueueFull:
		return fmt.Sprintf("%s; too many requests wait already", limit)
	case quota.CauseRetired:
		return "the contract was retired"
	default:
		return "the contract's limits cannot be confirmed at the moment"
	}
}

func limitText(clause contract.Clause, limits contract.Limits) string {
	switch clause {
	case contract.ClauseTokensPerMinute:
		return fmt.Sprintf("the contract allows %d tokens a minute", limits.TokensPerMinute)
	case contract.ClauseConcurrency:
		return fmt.Sprintf("the contract allows %d requests at once", limits.Concurrency)
	default:
		return fmt.Sprintf("the contract allows %g requests a second", limits.RequestsPerSecond)
	}
}
