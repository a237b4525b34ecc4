// Package wire defines the messages between the system's own processes and the
// HTTP headers that entries, agents and engines share.
package wire

import (
	"github.com/rosemarypass/rosemarypass/coord/membership"
)

// Methods of the JSON-RPC interface that control instances offer.
const (
	// MethodAnnounce accepts an Announce message from an agent or service.
	MethodAnnounce = "directory.announce"
	// MethodWatch is a long poll for configuration and directory changes.
	MethodWatch = "feed.watch"
	// MethodStanding returns a control instance's standing in the log.
	MethodStanding = "control.standing"
	// MethodDaemons lists the daemons that follow a control instance.
	MethodDaemons = "control.daemons"
)

// PathRuns is the prefix of the agent's path for a running request. The request's
// id follows it. GET reads the answer from QueryOffset, DELETE cancels the request.
const PathRuns = "/v1/runs/"

// QueryOffset is the query parameter for the offset of the first byte to read from
// a running request's answer.
const QueryOffset = "offset"

// HTTP headers between entry, agent and engine.
const (
	// HeaderRequestID identifies one request on every hop.
	HeaderRequestID = "X-Request-Id"
	// HeaderModel carries the "adapter@version" on which the request must run.
	HeaderModel = "Rosemarypass-Model"
	// HeaderServedModel carries the "adapter@version" that produced the answer.
	HeaderServedModel = "Rosemarypass-Ran"
	// HeaderFencing carries the fencing number of an order to an engine.
	HeaderFencing = "X-Fencing-Number"
	// HeaderIncarnation carries the engine incarnation that an order or call is
	// addressed to and, in answers, the incarnation that served it.
	HeaderIncarnation = "X-Engine-Incarnation"
	// HeaderTimeout is how long a caller waits for its answer, for example "2s".
	HeaderTimeout = "X-Request-Timeout"
	// HeaderIdempotencyKey is the caller's key for a call that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderClause names the clause of the contract under which a request was refused.
	HeaderClause = "Rosemarypass-Clause"
	// HeaderContract, HeaderShare and HeaderPriority give an agent the request's
	// contract, its weight in fair queueing and its priority.
	HeaderContract = "Rosemarypass-Contract"
	HeaderShare    = "Rosemarypass-Share"
	HeaderPriority = "Rosemarypass-Priority"
	// HeaderMaxWait is the maximum time that the request may wait, in milliseconds.
	HeaderMaxWait = "Rosemarypass-Max-Wait"
	// HeaderMayDecline allows an agent to return a request immediately if it has
	// no free adapter slot. HeaderDeclined reports that the agent did so.
	HeaderMayDecline = "Rosemarypass-May-Decline"
	HeaderDeclined   = "Rosemarypass-Declined"
	// HeaderCost is the expected cost of the request, in tokens.
	HeaderCost = "Rosemarypass-Cost"
)

// Announce reports one backend server to the directory.
type Announce struct {
	Announcement membership.Announcement `json:"announcement"`
}

// AnnounceReply answers Announce.
type AnnounceReply struct {
	// Accepted is false if a newer announcement was already known.
	Accepted bool `json:"accepted"`
}
