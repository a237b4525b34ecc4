package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// waitBudget is the remaining part of the contract's longest wait, across the entry
// and all servers that the call is sent to. If each server started a new wait budget,
// a call could wait for a multiple of what its contract allows.
type waitBudget struct {
	deadline time.Time
	limit    time.Duration
	// refused is true if a server refused the call because of its wait. retryAfter
	// is the shortest time after which one of these servers expects to have
	// capacity, in seconds.
	refused    bool
	retryAfter int
}

func newWaitBudget(limits contract.Limits, arrived time.Time) *waitBudget {
	return &waitBudget{deadline: arrived.Add(limits.MaxWait), limit: limits.MaxWait}
}

// setHeader sets the header that tells the next server the remaining wait.
func (b *waitBudget) setHeader(header http.Header) {
	if b == nil {
		return
	}
	remaining := max(time.Millisecond, time.Until(b.deadline))
	header.Set(wire.HeaderMaxWait, strconv.FormatInt(remaining.Milliseconds(), 10))
}

// recordRefusal records a server's refusal if the refusal is due to the wait.
func (b *waitBudget) recordRefusal(header http.Header) {
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

// exhausted reports whether a server refused the call because of its wait and the
// wait budget is used up. The call is then refused immediately instead of after an
// attempt at another server.
func (b *waitBudget) exhausted() bool {
	return b != nil && b.refused && !time.Now().Before(b.deadline)
}

// failure returns the failure for a call that a server refused because of its wait,
// and false if there was no refusal.
func (b *waitBudget) failure() (failure, bool) {
	if b == nil || !b.refused {
		return failure{}, false
	}
	return failure{
		status:     http.StatusTooManyRequests,
		code:       codeLimitReached,
		message:    "capacity is short: the wait would pass " + b.limit.String() + ", the contract's longest wait",
		retryAfter: b.retryAfter,
		clause:     string(contract.ClauseMaxWait),
	}, true
}
