package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	trialCount     = telemetry.Counter("entry_trials")
	convictedCount = telemetry.Counter("entry_refused_convicted")
)

const (
	// trialTimeout bounds the wait for permission to run a trial, trialPollInterval
	// is the time between two requests for it, and verdictTimeout bounds one of
	// them.
	trialTimeout      = 20 * time.Second
	trialPollInterval = 200 * time.Millisecond
	verdictTimeout    = 3 * time.Second
	// trialMargin is how long before the end of a trial's lease the entry ends the
	// trial.
	trialMargin = 10 * time.Second
	// convictedRetryAfter is the time after which a convicted request may be sent
	// again, in seconds.
	convictedRetryAfter = 3600
	// fingerprintSize is the length of the prefix of the digest that identifies a
	// request, in bytes.
	fingerprintSize = 16
)

// Suspicions decides whether a request that is suspected of a crash may run.
type Suspicions interface {
	Suspect(ctx context.Context, command suspicion.Command) (suspicion.Verdict, error)
}

// crashFingerprint returns a digest of everything in a request that can cause a
// crash.
func crashFingerprint(c call) suspicion.Fingerprint {
	hash := sha256.New()
	for _, part := range []string{c.contract, c.request.Ref.String(), c.path} {
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(c.body)
	return suspicion.Fingerprint(hex.EncodeToString(hash.Sum(nil)[:fingerprintSize]))
}

// trial is one permitted run of a suspect.
type trial struct {
	entry       *Entry
	fingerprint suspicion.Fingerprint
	token       string
}

// beginTrial waits until a suspect may run. It returns a nil trial if the request
// is no longer suspected, and a failure if it may not run.
func (e *Entry) beginTrial(ctx context.Context, fingerprint suspicion.Fingerprint) (*trial, *failure) {
	t := &trial{entry: e, fingerprint: fingerprint, token: uuid.NewString()}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	for {
		switch t.requestVerdict(ctx) {
		case suspicion.Run:
			return nil, nil
		case suspicion.RunAlone:
			trialCount.Add(1)
			return t, nil
		case suspicion.Refuse:
			convictedCount.Add(1)
			return nil, &failure{
				status: http.StatusUnprocessableEntity, code: codeConvicted, retryAfter: convictedRetryAfter,
				message: "this request crashed the backend servers that ran it; it is refused for a time",
			}
		}
		if wait.For(ctx, trialPollInterval) != nil {
			return nil, &failure{
				status: http.StatusServiceUnavailable, code: codeSuspect, retryAfter: 1,
				message: "this request was at a backend server that crashed and must run alone; no server is free for that now",
			}
		}
	}
}

// requestVerdict requests a verdict on the suspect. An error counts as suspicion.Wait.
func (t *trial) requestVerdict(ctx context.Context) suspicion.Verdict {
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	verdict, err := t.entry.options.Suspicions.Suspect(ctx, suspicion.Command{Ask: &suspicion.Ask{Fingerprint: t.fingerprint, Token: t.token}})
	if err != nil {
		return suspicion.Wait
	}
	return verdict
}

// end reports the outcome of a trial. A crash is reported by the agent, and the
// trial of a request with an unknown outcome ends when its lease expires.
func (t *trial) end(ctx context.Context, result outcome.Outcome) {
	if result == outcome.Unknown {
		return
	}
	t.entry.runDetached(ctx, func(ctx context.Context) {
		_, _ = t.entry.options.Suspicions.Suspect(ctx, suspicion.Command{End: &suspicion.End{Fingerprint: t.fingerprint, Token: t.token, Survived: result == outcome.Answered}})
	})
}

// runTrial sends a suspect to a server that runs no other request at the same time.
func (e *Entry) runTrial(in *inbound, r *http.Request, t *trial, attempt func(*http.Request) attemptResult) attemptResult {
	ctx, cancel := context.WithTimeout(r.Context(), suspicion.DefaultLimits.TrialLease-trialMargin)
	in.addCleanup(cancel)
	isolated := r.Clone(ctx)
	isolated.Header.Set(wire.HeaderIsolated, "true")
	result := attempt(isolated)
	if result.outcome != outcome.Answered {
		cancel()
		t.end(r.Context(), result.outcome)
		return result
	}
	in.addCleanup(func() {
		if in.complete {
			t.end(r.Context(), outcome.Answered)
		}
	})
	return result
}
