// Package wire holds the typed messages between the system's own processes and
// the HTTP headers that entries, agents and engines share.
package wire

import (
	"github.com/rosemarypass/rosemarypass/coord/membership"
)

// Methods of the JSON-RPC interface that control instances offer.
const (
	// MethodAnnounce takes an Announce message from an agent or service.
	MethodAnnounce = "directory.announce"
	// MethodWatch is a long poll for configuration and directory changes.
	MethodWatch = "feed.watch"
	// MethodStanding asks a control instance for its standing in the log.
	MethodStanding = "control.standing"
	// MethodDaemons lists the daemons that follow a control instance.
	MethodDaemons = "control.daemons"
)

// PathRuns is the agent's path of a request that it runs, followed by the
// request's id: GET reads its answer from QueryOffset on, DELETE cancels it.
const PathRuns = "/v1/runs/"

// QueryOffset is the first byte wanted of a running request's answer.
const QueryOffset = "offset"

// HTTP headers between entry, agent and engine.
const (
	// HeaderRequestID identifies one request on every hop.
	HeaderRequestID = "X-Request-Id"
	// HeaderModel carries the "adapter@version" that the request must run on.
	HeaderModel = "Rosemarypass-Model"
	// HeaderRan carries the "adapter@version" that the answer came from.
	HeaderRan = "Rosemarypass-Ran"
	// HeaderFencing carries the fencing number of an order to an engine.
	HeaderFencing = "X-Fencing-Number"
	// HeaderIncarnation carries the engine incarnation that an order or call
	// is meant for, and in answers the one that served it.
	HeaderIncarnation = "X-Engine-Incarnation"
	// HeaderTimeout is how long a caller waits for its answer, such as "2s".
	HeaderTimeout = "X-Request-Timeout"
	// HeaderIdempotencyKey is the caller's key for a call that must run once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderClause names the contract's clause that refused a request.
	HeaderClause = "Rosemarypass-Clause"
	// HeaderContract, HeaderShare and HeaderPriority tell an agent whose
	// request it is, its weight in fair queueing and its priority.
	HeaderContract = "Rosemarypass-Contract"
	HeaderShare    = "Rosemarypass-Share"
	HeaderPriority = "Rosemarypass-Priority"
	// HeaderMaxWait is the longest that the request may wait, in milliseconds.
	HeaderMaxWait = "Rosemarypass-Max-Wait"
	// HeaderMayDecline lets an agent send a request back at once when it has
	// no adapter slot to give; HeaderDeclined says that it did.
	HeaderMayDecline = "Rosemarypass-May-Decline"
	HeaderDeclined   = "Rosemarypass-Declined"
	// HeaderCost is the request's expected use, in tokens.
	HeaderCost = "Rosemarypass-Cost"
)

// Announce reports one backend server to the directory.
type Announce struct {
	Announcement membership.Announcement `json:"announcement"`
}

// AnnounceReply answers Announce.
type AnnounceReply struct {
	// Accepted is false when a newer announcement was already known.
	Accepted bool `json:"accepted"`
}
