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

// maxDeclines is how many servers without a free adapter slot a call is offered
// to before it waits at one. A decline costs one hop and no retry budget: the
// server did nothing.
const maxDeclines = 4

// mayDecline reports whether a server may send the call back for want of a
// slot. The trial of a suspect is for one server only.
func (c *call) mayDecline() bool {
	return c.request.Kind == membership.KindEngine && !c.patient && !c.suspect && len(c.declined) < maxDeclines
}

// place chooses the next server. When all others have declined, the call
// waits at the best of them.
func (e *Entry) place(c *call) (placement.Server, bool) {
	request := c.request
	request.Exclude = slices.Concat(request.Exclude, c.declined)
	server, ok := e.placer.pick(request)
	if ok || len(c.declined) == 0 {
		return server, ok
	}
	c.patient = true
	return e.placer.pick(c.request)
}

// declined reports whether an answer sends the call back for want of a slot.
func declined(c *call, said outcome.Outcome, response *http.Response) bool {
	return said == outcome.NotRun && c.mayDecline() && response.Header.Get(wire.HeaderDeclined) != ""
}
