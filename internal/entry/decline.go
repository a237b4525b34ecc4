package entry

import (
	"net/http"
	"slices"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/placement"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var declinedCount = telemetry.Counter("entry_declined")

// maxDeclines is the maximum number of servers without a free adapter slot that may
// decline a call before it waits at one. A decline costs one hop and no retry
// budget, because the server did no work.
const maxDeclines = 4

// mayDecline reports whether a server without a free slot may decline the call. A
// suspect runs its trial on one server only and is not declined.
func (c *call) mayDecline() bool {
	return c.request.Kind == membership.KindEngine && !c.waitForSlot && !c.suspect && len(c.declined) < maxDeclines
}

// pickServer chooses the next server. If all other servers have declined, the call
// waits for a slot at the best of them.
func (e *Entry) pickServer(c *call) (placement.Server, bool) {
	request := c.request
	request.Exclude = slices.Concat(request.Exclude, c.declined)
	server, ok := e.placer.pick(request)
	if ok || len(c.declined) == 0 {
		return server, ok
	}
	c.waitForSlot = true
	return e.placer.pick(c.request)
}

// isDecline reports whether a response declines the call because no slot is free.
func isDecline(c *call, reported outcome.Outcome, response *http.Response) bool {
	return reported == outcome.NotRun && c.mayDecline() && response.Header.Get(wire.HeaderDeclined) != ""
}
