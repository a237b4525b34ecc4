package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/agent"
	"github.com/rosemarypass/rosemarypass/internal/intake"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// internalHeaders are used between entries and agents only.
var internalHeaders = []string{
	outcome.Header, wire.HeaderModel, wire.HeaderServedModel, wire.HeaderFencing,
	wire.HeaderIncarnation, agent.HeaderSource, wire.HeaderClause, wire.HeaderContract,
	wire.HeaderMayDecline, wire.HeaderDeclined,
	wire.HeaderShare, wire.HeaderPriority, wire.HeaderMaxWait, wire.HeaderCost,
	wire.HeaderFingerprint, wire.HeaderIsolated, wire.HeaderCrashed,
}

// dropInternal removes the headers that only processes of this system may set.
// Otherwise a plain service that echoes a caller's headers could report that a
// booking was not run, and the entry would run it again.
func dropInternal(header http.Header) {
	for _, name := range internalHeaders {
		header.Del(name)
	}
}

func (e *Entry) authenticate(r *http.Request) (contract.Contract, *failure) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return contract.Contract{}, &failure{status: http.StatusUnauthorized, code: codeUnknownKey, message: "a key is required: Authorization: Bearer KEY"}
	}
	customer, ok := e.follower.Config().ContractByKey(key)
	if !ok {
		return contract.Contract{}, &failure{status: http.StatusUnauthorized, code: codeUnknownKey, message: "the key belongs to no contract"}
	}
	r.Header.Del("Authorization")
	return customer, nil
}

// readsEnded is a read deadline that has passed.
var readsEnded = time.Unix(1, 0)

// readBody reads a caller's body, which is held until the answer is complete or cut.
func (e *Entry) readBody(in *inbound, r *http.Request) ([]byte, *failure) {
	_ = in.readDeadline(time.Now().Add(e.options.BodyTimeout))
	holding := e.options.Intake.Begin(func() { _ = in.readDeadline(readsEnded) })
	in.addCleanup(holding.Release)
	body, err := holding.ReadRequest(r, e.options.MaxBodyBytes)
	if errors.Is(err, intake.ErrNoRoom) {
		return nil, &failure{status: http.StatusServiceUnavailable, code: codeMemory, message: err.Error(), retryAfter: 1, closeConn: true}
	}
	if errors.Is(err, intake.ErrTooLarge) {
		return nil, &failure{status: http.StatusRequestEntityTooLarge, code: codeBodyTooLarge, message: "the body is larger than this entry accepts", closeConn: true}
	}
	if err != nil {
		return nil, &failure{status: http.StatusBadRequest, code: codeMalformed, message: "the body could not be read", closeConn: true}
	}
	_ = in.readDeadline(time.Time{})
	// The body has been read completely: the next hop must not send 100 Continue.
	r.Header.Del("Expect")
	return body, nil
}
