package entry

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/agent"
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

func (e *Entry) readBody(in *inbound, r *http.Request) ([]byte, *failure) {
	_ = in.readDeadline(time.Now().Add(e.options.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, e.options.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
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
