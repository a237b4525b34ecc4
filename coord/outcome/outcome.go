// Package outcome defines what is reported to a caller about the execution of its
// request.
//
// The outcome is decided in one place per request and passed on as a value. The
// zero value is Unknown, so that a code path that does not set it never claims that
// a request was not run.
package outcome

import "github.com/pkg/errors"

// Outcome is the result of one request, as far as the system can prove it.
type Outcome uint8

const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// Answered means that the complete answer of the backend server was relayed.
	Answered
	// NotRun means that no byte of the request has reached or can still reach a
	// backend server, so that the caller may safely send it again.
	NotRun
)

// Header is the HTTP header that carries the outcome between agent and entry and
// to callers.
const Header = "Rosemarypass-Outcome"

// String returns the representation used in Header.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Parse parses the representation used in Header. It returns Unknown and an error
// if text is not a known outcome.
func Parse(text string) (Outcome, error) {
	switch text {
	case "answered":
		return Answered, nil
	case "not-run":
		return NotRun, nil
	case "unknown":
		return Unknown, nil
	default:
		return Unknown, errors.Errorf("outcome %q is none of answered, not-run, unknown", text)
	}
}

// Evidence is one hop's record of a request that it tried to forward.
type Evidence struct {
	// Sent is false only if no byte of the request has left this hop or can still
	// leave it.
	Sent bool
	// Refused reports whether the next hop, a gate of this system, confirmed that
	// it did not forward the request.
	Refused bool
	// Complete reports whether the complete answer was relayed.
	Complete bool
}

// Decide derives the outcome from the evidence. It is the only place that does so.
// The outcome is Unknown if the evidence proves neither of the others.
func Decide(e Evidence) Outcome {
	switch {
	case !e.Sent || e.Refused:
		return NotRun
	case e.Complete:
		return Answered
	default:
		return Unknown
	}
}
