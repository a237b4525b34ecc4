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

// Code is the stable, machine-readable code of an error answer.
type Code string

const (
	codeUnknownKey        Code = "unknown_key"
	codeMalformed         Code = "malformed_request"
	codeBodyTooLarge      Code = "body_too_large"
	codeNotInContract     Code = "not_in_contract"
	codeUnknownModel      Code = "unknown_model"
	codeUnknownService    Code = "unknown_service"
	codeUnknownPath       Code = "unknown_path"
	codeMethodNotAllowed  Code = "method_not_allowed"
	codeUnknownRoute      Code = "unknown_route"
	codeKeyRequired       Code = "idempotency_key_required"
	codeNoServer          Code = "no_server"
	codeMemory            Code = "requests_hold_memory"
	codeDraining          Code = "entry_draining"
	codeUnconfirmed       Code = "configuration_unconfirmed"
	codeUnknownOutcome    Code = "unknown_outcome"
	codeConvicted         Code = "request_crashes_servers"
	codeSuspect           Code = "request_suspected"
	codeDeadline          Code = "deadline_exceeded"
	codeInvalidTimeout    Code = "invalid_timeout"
	codeKeyReused         Code = "idempotency_key_reused"
	codeKeyInvalid        Code = "idempotency_key_invalid"
	codeInProgress        Code = "idempotency_key_in_progress"
	codeKeyExpired        Code = "idempotency_key_expired"
	codeAnswerNotKept     Code = "answer_not_kept"
	codeClaimsUnavailable Code = "claims_unavailable"
	codeClaimsFull        Code = "claims_full"
	codeUnknownClaim      Code = "unknown_claim"
	codeLimitReached      Code = "limit_reached"
	codeLimitsUnconfirmed Code = "limits_unconfirmed"
)

// failure is an error answer to a caller.
type failure struct {
	status  int
	code    Code
	message string
	// retryAfter is in seconds; 0 sends no Retry-After header.
	retryAfter int
	// clause is the contract's clause that refuses the request, if any.
	clause string
	// allowed are the methods that the requested path supports, for the Allow
	// header.
	allowed []string
	// inDoubt is true if an earlier attempt of the request may have run.
	inDoubt bool
	// closeConn closes the connection after the answer. Otherwise net/http reads
	// the rest of the request's body before it sends the answer, for as long as the
	// caller takes to send it.
	closeConn bool
}

// withDoubt returns the failure with inDoubt set to whether an earlier attempt may
// have run.
func (f failure) withDoubt(inDoubt bool) failure {
	f.inDoubt = inDoubt
	return f
}

type errorObject struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Code   `json:"code"`
	// Param is the contract's clause if a limit refuses the request.
	Param string `json:"param,omitempty"`
}

type errorBody struct {
	Error errorObject `json:"error"`
}

// outcomeOf returns the outcome that an error code implies for the request.
func outcomeOf(code Code) outcome.Outcome {
	switch code {
	case codeUnknownOutcome, codeInProgress, codeKeyExpired, codeClaimsUnavailable:
		return outcome.Unknown
	case codeAnswerNotKept:
		return outcome.Answered
	default:
		return outcome.NotRun
	}
}

func countOutcome(o outcome.Outcome) {
	switch o {
	case outcome.NotRun:
		notRunCount.Add(1)
	case outcome.Answered:
		answeredCount.Add(1)
	default:
		unknownCount.Add(1)
	}
}

// newHeader returns the header that every answer of the entry starts from.
func (in *inbound) newHeader() http.Header { return http.Header{wire.HeaderRequestID: {in.id}} }

// fail returns an error answer.
func (in *inbound) fail(f failure) reply {
	result := outcomeOf(f.code)
	if f.inDoubt {
		result = outcome.Unknown
	}
	countOutcome(result)
	header := in.newHeader()
	header.Set(outcome.Header, result.String())
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
	response := jsonAnswer(f.status, header, body)
	if f.closeConn {
		response = response.WithConnectionClose()
	}
	return reply{response, result}
}

// jsonAnswer returns an answer with the value encoded as JSON.
func jsonAnswer(status int, header http.Header, value any) answer.Answer {
	body, err := json.Marshal(value)
	if err != nil {
		// All values passed here are types of this package that can be marshalled.
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
