package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Code is the stable machine-readable code of an error answer.
type Code string

const (
	codeUnknownKey     Code = "unknown_key"
	codeMalformed      Code = "malformed_request"
	codeBodyTooLarge   Code = "body_too_large"
	codeNotInContract  Code = "not_in_contract"
	codeUnknownModel   Code = "unknown_model"
	codeUnknownService Code = "unknown_service"
	codeUnknownPath    Code = "unknown_path"
	codeMethod         Code = "method_not_allowed"
	codeUnknownRoute   Code = "unknown_route"
	codeKeyRequired    Code = "idempotency_key_required"
	codeNoServer       Code = "no_server"
	codeDraining       Code = "entry_draining"
	codeUnconfirmed    Code = "configuration_unconfirmed"
	codeUnknownOutcome Code = "unknown_outcome"
	codeConvicted      Code = "request_crashes_servers"
	codeSuspect        Code = "request_suspected"
	codeDeadline       Code = "deadline_exceeded"
	codeTimeout        Code = "invalid_timeout"
	codeKeyReused      Code = "idempotency_key_reused"
	codeKeyInvalid     Code = "idempotency_key_invalid"
	codeInProgress     Code = "idempotency_key_in_progress"
	codeKeyExpired     Code = "idempotency_key_expired"
	codeAnswerNotKept  Code = "answer_not_kept"
	codeNoClaims       Code = "claims_unavailable"
	codeClaimsFull     Code = "claims_full"
	codeNoClaim        Code = "unknown_claim"
	codeLimit          Code = "limit_reached"
	codeNoLimits       Code = "limits_unconfirmed"
)

// failure is an error answer to a caller.
type failure struct {
	status  int
	code    Code
	message string
	// retryAfter is in seconds; 0 sends no header.
	retryAfter int
	// clause names the contract's clause that refuses, if one does.
	clause string
	// allowed are the methods of a path that was asked for by another.
	allowed []string
	// doubt is true when an earlier attempt of the request may have run.
	doubt bool
	// closing ends the connection behind the answer. Without it net/http reads the
	// rest of the request's body before it sends the answer, for as long as the
	// caller takes.
	closing bool
}

// after is the failure when earlier attempts left the given doubt.
func (f failure) after(doubt bool) failure {
	f.doubt = doubt
	return f
}

type errorObject struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Code   `json:"code"`
	// Param names the contract's clause when a limit refuses.
	Param string `json:"param,omitempty"`
}

type errorBody struct {
	Error errorObject `json:"error"`
}

// outcomeOf is what an error code says about the request's fate.
func outcomeOf(code Code) outcome.Outcome {
	switch code {
	case codeUnknownOutcome, codeInProgress, codeKeyExpired, codeNoClaims:
		return outcome.Unknown
	case codeAnswerNotKept:
		return outcome.Answered
	default:
		return outcome.NotRun
	}
}

func countOutcome(said outcome.Outcome) {
	switch said {
	case outcome.NotRun:
		notRunCount.Add(1)
	case outcome.Answered:
		answeredCount.Add(1)
	default:
		unknownCount.Add(1)
	}
}

// ownHeader is the header of an answer that is the entry's own.
func (v *visit) ownHeader() http.Header { return http.Header{wire.HeaderRequestID: {v.id}} }

// fail answers with an error.
func (v *visit) fail(f failure) reply {
	said := outcomeOf(f.code)
	if f.doubt {
		said = outcome.Unknown
	}
	countOutcome(said)
	header := v.ownHeader()
	header.Set(outcome.Header, said.String())
	if f.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(f.retryAfter))
	}
	if len(f.allowed) > 0 {
		header["Allow"] = f.allowed
	}
	if f.clause != "" {
		header.Set(wire.HeaderClause, f.clause)
	}
	body := errorBody{Error: errorObject{Message: f.message, Type: errorType(f.status), Code: f.code, Param: f.clause}}
	failed := inJSON(f.status, header, body)
	if f.closing {
		failed = failed.WithConnectionClose()
	}
	return reply{failed, said}
}

// inJSON is an answer in JSON.
func inJSON(status int, header http.Header, value any) answer.Answer {
	body, err := json.Marshal(value)
	if err != nil {
		// Only values of this package are written, which can all be marshalled.
		panic(errors.Wrap(err, "marshal answer"))
	}
	header.Set("Content-Type", "application/json")
	return answer.Full(status, header, append(body, '\n'))
}

func errorType(status int) string {
	if status == http.StatusTooManyRequests {
		return "rate_limit_error"
	}
	if status >= http.StatusInternalServerError {
		return "server_error"
	}
	return "invalid_request_error"
}
