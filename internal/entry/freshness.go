package entry

import (
	"net/http"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

var unconfirmedCount = telemetry.Counter("entry_refused_unconfirmed")

// unconfirmedRetry is when a caller may try again, in seconds. Another entry
// behind the balancer may take the request at once.
const unconfirmedRetry = 1

// unconfirmed refuses requests while the contracts may have been changed
// without this entry's knowledge: a retired customer would be served on, and
// nobody could tell for how long.
func (e *Entry) unconfirmed() *failure {
	state := e.follower.Freshness()
	if state.MayAdmit() {
		return nil
	}
	unconfirmedCount.Add(1)
	return &failure{
		status:     http.StatusServiceUnavailable,
		code:       codeUnconfirmed,
		message:    "this entry cannot confirm its contracts: " + state.Reason,
		retryAfter: unconfirmedRetry,
	}
}
