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
