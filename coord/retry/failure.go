package retry

import "github.com/rosemarypass/rosemarypass/coord/outcome"

// Failure describes a request whose last attempt failed.
type Failure struct {
	// Outcome is the outcome of the last attempt.
	Outcome    outcome.Outcome
	Idempotent bool
	// Attempts is the number of attempts so far, MaxAttempts the maximum.
	Attempts    int
	MaxAttempts int
}

// Refusal returns the reason why the request must not be sent to another server,
// independent of any retry budget, or ReasonNone. A request that may have run must
// not run twice unless it is idempotent, and no request exceeds its maximum number
// of attempts.
func (f Failure) Refusal() Reason {
	switch {
	case f.Outcome != outcome.NotRun && !f.Idempotent:
		return ReasonMayHaveRun
	case f.Attempts >= f.MaxAttempts:
		return ReasonAttempts
	default:
		return ReasonNone
	}
}
