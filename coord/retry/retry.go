// Package retry decides whether and when a request is offered to another
// server. Retries are paid from budgets that first attempts fill, one for each
// contract and one in total, so that a partial outage raises the load by a
// fixed share at most and one customer's retries do not use up the others'.
//
// Budget is pure: the caller passes the time and the random number.
package retry

import (
	"math"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
)

// Limits bound retries.
type Limits struct {
	// Attempts is the most attempts for one request, the first included.
	Attempts int
	// Ratio is how many retries each first attempt pays for.
	Ratio float64
	// PerContract and Total are the most retries that may be saved up.
	PerContract float64
	Total       float64
	// Base is the longest pause before the first retry; it doubles with
	// each further one up to Max.
	Base time.Duration
	Max  time.Duration
}

// DefaultLimits suit servers that answer within a second or two.
var DefaultLimits = Limits{Attempts: 3, Ratio: 0.2, PerContract: 10, Total: 100, Base: 20 * time.Millisecond, Max: 500 * time.Millisecond}

// Ended is what became of one attempt.
type Ended struct {
	Contract string
	// Attempt counts from 1.
	Attempt    int
	Outcome    outcome.Outcome
	Idempotent bool
	Now        time.Time
	// Deadline is the caller's; zero when it has none.
	Deadline time.Time
	// Jitter is a random number in [0, 1).
	Jitter float64
}

// Reason says why a request is not offered again.
type Reason string

const (
	// ReasonNone means that it is offered again.
	ReasonNone Reason = ""
	// ReasonMayHaveRun means that it must not run twice.
	ReasonMayHaveRun Reason = "may_have_run"
	// ReasonAttempts means that it had its attempts.
	ReasonAttempts Reason = "attempts"
	// ReasonDeadline means that the caller would no longer wait for it.
	ReasonDeadline Reason = "deadline"
	// ReasonContractBudget means that its contract has no retry saved up.
	ReasonContractBudget Reason = "contract_budget"
	// ReasonTotalBudget means that nobody has.
	ReasonTotalBudget Reason = "total_budget"
)

// Decision answers Ended.
type Decision struct {
	Again bool
	// After is the pause before the next attempt.
	After  time.Duration
	Reason Reason
}

// Budget holds the saved-up retries. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	// total and spent count what is missing from full budgets; a contract
	// that misses nothing has no entry.
	total float64
	spent map[string]float64
}

// NewBudget returns full budgets.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, spent: make(map[string]float64)}
}

// Began pays in for a first attempt.
func (b *Budget) Began(contract string) {
	b.total = math.Max(0, b.total-b.limits.Ratio)
	left, spent := b.spent[contract]
	if !spent {
		return
	}
	if left -= b.limits.Ratio; left <= 0 {
		delete(b.spent, contract)
		return
	}
	b.spent[contract] = left
}

// Next decides about another attempt and pays for it.
func (b *Budget) Next(e Ended) Decision {
	if reason := b.refusal(e); reason != ReasonNone {
		return Decision{Reason: reason}
	}
	after := b.pause(e)
	if !e.Deadline.IsZero() && !e.Now.Add(after).Before(e.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	b.total++
	b.spent[e.Contract]++
	return Decision{Again: true, After: after}
}

func (b *Budget) refusal(e Ended) Reason {
	fate := Fate{Outcome: e.Outcome, Idempotent: e.Idempotent, Attempts: e.Attempt, Most: b.limits.Attempts}
	if reason := fate.Refusal(); reason != ReasonNone {
		return reason
	}
	switch {
	case b.spent[e.Contract]+1 > b.limits.PerContract:
		return ReasonContractBudget
	case b.total+1 > b.limits.Total:
		return ReasonTotalBudget
	default:
		return ReasonNone
	}
}

// pause is a random part of a window that doubles: without it the requests of
// a dead server would arrive at the next one together.
func (b *Budget) pause(e Ended) time.Duration {
	window := b.limits.Base << min(e.Attempt-1, 30)
	if window > b.limits.Max || window <= 0 {
		window = b.limits.Max
	}
	return time.Duration(e.Jitter * float64(window))
}
