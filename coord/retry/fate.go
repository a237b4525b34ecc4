package retry

import "github.com/rosemarypass/rosemarypass/coord/outcome"

// Fate is what is known of a request whose last attempt did not end well.
type Fate struct {
	// Outcome is that of the last attempt.
	Outcome    outcome.Outcome
	Idempotent bool
	// Attempts counts those that the request has had, Most bounds them.
	Attempts int
	Most     int
}

// Refusal says why the request must not be offered to another server, whoever
// would pay for it: one that may have run must not run twice unless it is
// idempotent, and no request has more than its attempts.
func (f Fate) Refusal() Reason {
	switch {
	case f.Outcome != outcome.NotRun && !f.Idempotent:
		return ReasonMayHaveRun
	case f.Attempts >= f.Most:
		return ReasonAttempts
	default:
		return ReasonNone
	}
}
