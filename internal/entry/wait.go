package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// waitBudget is what is left of the contract's longest wait, over the entry and
// all servers that the call is offered to. Counted anew at each server, a call
// would wait for a multiple of what its contract says.
type waitBudget struct {
	until time.Time
	limit time.Duration
	// refused is true when a server refused the call for its wait, and
	// retryAfter the soonest that one of them expects to have room, in seconds.
	refused    bool
	retryAfter int
}

func newWaitBudget(limits contract.Limits, arrived time.Time) *waitBudget {
	return &waitBudget{until: arrived.Add(limits.MaxWait), limit: limits.MaxWait}
}

// describe tells the next server what is left.
func (b *waitBudget) describe(header http.Header) {
	if b == nil {
		return
	}
	left := max(time.Millisecond, time.Until(b.until))
	header.Set(wire.HeaderMaxWait, strconv.FormatInt(left.Milliseconds(), 10))
}

// note takes a server's refusal into account.
func (b *waitBudget) note(header http.Header) {
	if b == nil || header.Get(wire.HeaderClause) != string(contract.ClauseMaxWait) {
		return
	}
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 1 {
		seconds = 1
	}
	if !b.refused || seconds < b.retryAfter {
		b.retryAfter = seconds
	}
	b.refused = true
}

// over reports that the call has waited as long as it may. Its caller is told
// so at once instead of after a try of another server.
func (b *waitBudget) over() bool {
	return b != nil && b.refused && !time.Now().Before(b.until)
}

// failure is the answer to a call that was refused for its wait.
func (b *waitBudget) failure() (failure, bool) {
	if b == nil || !b.refused {
		return failure{}, false
	}
	return failure{
		status:     http.StatusTooManyRequests,
		code:       codeLimit,
		message:    "capacity is short: the wait would pass " + b.limit.String() + ", the contract's longest wait",
		retryAfter: b.retryAfter,
		clause:     string(contract.ClauseMaxWait),
	}, true
}
