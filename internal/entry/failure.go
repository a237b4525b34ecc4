package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/relay"
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
	codeUnknownRoute   Code = "unknown_route"
	codeKeyRequired    Code = "idempotency_key_required"
	codeNoServer       Code = "no_server"
	codeDraining       Code = "entry_draining"
	codeUnconfirmed    Code = "configuration_unconfirmed"
	codeUnknownOutcome Code = "unknown_outcome"
)

// failure is an error answer to a caller.
type failure struct {
	status  int
	code    Code
	message string
	// retryAfter is in seconds; 0 sends no header.
	retryAfter int
}

type errorObject struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Code   `json:"code"`
}

type errorBody struct {
	Error errorObject `json:"error"`
}

func fail(w http.ResponseWriter, f failure) {
	said := outcome.NotRun
	if f.code == codeUnknownOutcome {
		said = outcome.Unknown
	}
	if said == outcome.NotRun {
		notRunCount.Add(1)
	} else {
		unknownCount.Add(1)
	}
	w.Header().Set(outcome.Header, said.String())
	w.Header().Set("Content-Type", "application/json")
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(f.retryAfter))
	}
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: errorObject{Message: f.message, Type: errorType(f.status), Code: f.code}})
}

func errorType(status int) string {
	if status >= http.StatusInternalServerError {
		return "server_error"
	}
	return "invalid_request_error"
}

// countCut counts an answer that ended early by the side that failed.
func countCut(err error) {
	var caller *relay.CallerError
	if errors.As(err, &caller) {
		callerGone.Add(1)
		return
	}
	cutCount.Add(1)
}
