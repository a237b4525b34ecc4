// Package outcome defines what a caller is told about the fate of its request.
//
// The outcome is decided in one place per request and travels as a value. The
// zero value is Unknown, so that a code path that forgets to decide never
// claims that a request was not run.
package outcome

import "github.com/pkg/errors"

// Outcome is the fate of one request as far as the system can prove it.
type Outcome uint8

const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// Answered means that the backend server's whole answer was relayed.
	Answered
	// NotRun means that no byte of the request can reach a backend server
	// any more, so the caller may safely send it again.
	NotRun
)

// Header is the HTTP header that carries the outcome to callers and between
// entry and agent.
const Header = "Rosemarypass-Outcome"

// String returns the wire form used in Header.
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

// Parse reads the wire form. Any text that is not a known outcome is an error,
// and the returned value is then Unknown.
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

// Evidence is what one hop knows about a request that it tried to pass on.
type Evidence struct {
	// Sent is false only when no byte of the request left this hop and none
	// can any more.
	Sent bool
	// Refused is true when the next hop, a gate of this system, vouches
	// that it did not pass the request on.
	Refused bool
	// Whole is true when the whole answer was relayed.
	Whole bool
}

// Decide is the only place where evidence becomes an outcome. What the
// evidence does not prove is Unknown.
func Decide(e Evidence) Outcome {
	switch {
	case !e.Sent || e.Refused:
		return NotRun
	case e.Whole:
		return Answered
	default:
		return Unknown
	}
}
