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
	retryRefusedAll      = telemetry.Counter("entry_retries_refused_total_budget")
)

// retries guards the retry budgets, which all requests of the entry share.
type retries struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newRetries(limits retry.Limits) *retries { return &retries{budget: retry.NewBudget(limits)} }

func (s *retries) began(contract string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Began(contract)
}

// again reports whether the call may be offered to another server, once its
// pause is over.
func (s *retries) again(ctx context.Context, c call, attempt int, said outcome.Outcome) bool {
	if ctx.Err() != nil {
		return false
	}
	decision := s.next(ctx, c, attempt, said)
	switch decision.Reason {
	case retry.ReasonContractBudget:
		retryRefusedContract.Add(1)
	case retry.ReasonTotalBudget:
		retryRefusedAll.Add(1)
	}
	if !decision.Again {
		return false
	}
	retryCount.Add(1)
	return wait.For(ctx, decision.After) == nil
}

func (s *retries) next(ctx context.Context, c call, attempt int, said outcome.Outcome) retry.Decision {
	deadline, _ := ctx.Deadline()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Next(retry.Ended{
		Contract: c.contract, Attempt: attempt, Outcome: said, Idempotent: c.idempotent,
		Now: time.Now(), Deadline: deadline, Jitter: rand.Float64(),
	})
}

// withTimeout bounds a request by the time that its caller set.
func withTimeout(ctx context.Context, header http.Header) (context.Context, context.CancelFunc, *failure) {
	text := header.Get(wire.HeaderTimeout)
	if text == "" {
		return ctx, func() {}, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return ctx, nil, &failure{status: http.StatusBadRequest, code: codeTimeout, message: wire.HeaderTimeout + ` must be a duration with a unit, such as "2s"`}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return ctx, cancel, nil
}
