// Package retry decides whether and when a request is retried on another server.
// Retries are taken from budgets that first attempts replenish, one for each
// contract and one in total. A partial outage therefore increases the load by at
// most a fixed fraction, and the retries of one customer do not exhaust those of
// the others.
//
// Budget is deterministic: the caller passes the time and the random number.
package retry

import (
	"math"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
)

// Limits configures a Budget.
type Limits struct {
	// Attempts is the maximum number of attempts for one request, including the
	// first.
	Attempts int
	// Ratio is the number of retries that each first attempt adds to the budgets.
	Ratio float64
	// PerContract and Total are the capacities of the budgets, in retries.
	PerContract float64
	Total       float64
	// Base is the maximum pause before the first retry; it doubles with each
	// further retry up to Max.
	Base time.Duration
	Max  time.Duration
}

// DefaultLimits are suitable for servers that answer within one or two seconds.
var DefaultLimits = Limits{Attempts: 3, Ratio: 0.2, PerContract: 10, Total: 100, Base: 20 * time.Millisecond, Max: 500 * time.Millisecond}

// EndedAttempt describes an attempt that has ended.
type EndedAttempt struct {
	Contract string
	// Attempt counts from 1.
	Attempt    int
	Outcome    outcome.Outcome
	Idempotent bool
	Now        time.Time
	// Deadline is the caller's deadline; zero if there is none.
	Deadline time.Time
	// Jitter is a random number in [0, 1).
	Jitter float64
}

// Reason is why a request is not retried.
type Reason string

const (
	// ReasonNone means that the request is retried.
	ReasonNone Reason = ""
	// ReasonMayHaveRun means that the request may have run and is not idempotent.
	ReasonMayHaveRun Reason = "may_have_run"
	// ReasonAttempts means that the maximum number of attempts is reached.
	ReasonAttempts Reason = "attempts"
	// ReasonDeadline means that the retry would start at or after the caller's
	// deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonContractBudget means that the contract's budget is exhausted.
	ReasonContractBudget Reason = "contract_budget"
	// ReasonTotalBudget means that the total budget is exhausted.
	ReasonTotalBudget Reason = "total_budget"
)

// Decision is the result of Next.
type Decision struct {
	Retry bool
	// After is the pause before the next attempt.
	After  time.Duration
	Reason Reason
}

// Budget holds the retry budgets. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	// total is the number of retries taken from the total budget and not yet
	// replenished, spent that for each contract's budget; a contract with a full
	// budget has no entry.
	total float64
	spent map[string]float64
}

// NewBudget returns a Budget in which all budgets are full.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, spent: make(map[string]float64)}
}

// RecordRequest replenishes the budgets for a first attempt.
func (b *Budget) RecordRequest(contract string) {
	b.total = math.Max(0, b.total-b.limits.Ratio)
	used, known := b.spent[contract]
	if !known {
		return
	}
	if used -= b.limits.Ratio; used <= 0 {
		delete(b.spent, contract)
		return
	}
	b.spent[contract] = used
}

// Next decides whether the request is retried and, if so, takes the retry from the
// budgets.
func (b *Budget) Next(e EndedAttempt) Decision {
	if reason := b.refusal(e); reason != ReasonNone {
		return Decision{Reason: reason}
	}
	after := b.pause(e)
	if !e.Deadline.IsZero() && !e.Now.Add(after).Before(e.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	b.total++
	b.spent[e.Contract]++
	return Decision{Retry: true, After: after}
}

func (b *Budget) refusal(e EndedAttempt) Reason {
	failure := Failure{Outcome: e.Outcome, Idempotent: e.Idempotent, Attempts: e.Attempt, MaxAttempts: b.limits.Attempts}
	if reason := failure.Refusal(); reason != ReasonNone {
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

// pause returns a random part of a window that doubles with each attempt. Without
// jitter the requests of a failed server would reach the next one simultaneously.
func (b *Budget) pause(e EndedAttempt) time.Duration {
	window := b.limits.Base << min(e.Attempt-1, 30)
	if window > b.limits.Max || window <= 0 {
		window = b.limits.Max
	}
	return time.Duration(e.Jitter * float64(window))
}
