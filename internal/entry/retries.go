package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/retry"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	retryCount           = telemetry.Counter("entry_retries")
	retryRefusedContract = telemetry.Counter("entry_retries_refused_contract_budget")
	retryRefusedTotal    = telemetry.Counter("entry_retries_refused_total_budget")
)

// retrier guards the retry budgets, which all requests of the entry share.
type retrier struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newRetrier(limits retry.Limits) *retrier { return &retrier{budget: retry.NewBudget(limits)} }

func (r *retrier) recordRequest(contract string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordRequest(contract)
}

// waitForRetry waits for the backoff before a retry and reports whether the call may
// then be sent to another server.
func (r *retrier) waitForRetry(ctx context.Context, c call, attempt int, last outcome.Outcome) bool {
	if ctx.Err() != nil {
		return false
	}
	decision := r.next(ctx, c, attempt, last)
	switch decision.Reason {
	case retry.ReasonContractBudget:
		retryRefusedContract.Add(1)
	case retry.ReasonTotalBudget:
		retryRefusedTotal.Add(1)
	}
	if !decision.Retry {
		return false
	}
	retryCount.Add(1)
	return wait.For(ctx, decision.After) == nil
}

func (r *retrier) next(ctx context.Context, c call, attempt int, last outcome.Outcome) retry.Decision {
	deadline, _ := ctx.Deadline()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Next(retry.EndedAttempt{
		Contract: c.contract, Attempt: attempt, Outcome: last, Idempotent: c.idempotent,
		Now: time.Now(), Deadline: deadline, Jitter: rand.Float64(),
	})
}

// withTimeout bounds the context of a request by the timeout that the caller set.
func withTimeout(ctx context.Context, header http.Header) (context.Context, context.CancelFunc, *failure) {
	text := header.Get(wire.HeaderTimeout)
	if text == "" {
		return ctx, func() {}, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return ctx, nil, &failure{status: http.StatusBadRequest, code: codeInvalidTimeout, message: wire.HeaderTimeout + ` must be a duration with a unit, such as "2s"`}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return ctx, cancel, nil
}
