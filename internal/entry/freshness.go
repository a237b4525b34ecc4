package entry

import (
	"net/http"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

var unconfirmedCount = telemetry.Counter("entry_refused_unconfirmed")

// unconfirmedRetryAfter is the time after which a caller may retry, in seconds.
// Another entry behind the load balancer may accept the request immediately.
const unconfirmedRetryAfter = 1

// checkFreshness refuses requests while the contracts may have changed without this
// entry's knowledge. Otherwise a retired customer would be served for an unbounded
// time.
func (e *Entry) checkFreshness() *failure {
	state := e.follower.Freshness()
	if state.MayAdmit() {
		return nil
	}
	unconfirmedCount.Add(1)
	return &failure{
		status:     http.StatusServiceUnavailable,
		code:       codeUnconfirmed,
		message:    "this entry cannot confirm its contracts: " + state.Reason,
		retryAfter: unconfirmedRetryAfter,
	}
}
