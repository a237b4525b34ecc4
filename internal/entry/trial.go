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
	// trialWait bounds the wait for a trial, trialPause is the time between
	// two questions, and askTimeout bounds one.
	trialWait  = 20 * time.Second
	trialPause = 200 * time.Millisecond
	askTimeout = 3 * time.Second
	// trialMargin is how long before its lease an entry ends its trial.
	trialMargin = 10 * time.Second
	// convictedRetry is when a convicted request may come back, in seconds.
	convictedRetry = 3600
	// fingerprintSize is how much of the digest names a request, in bytes.
	fingerprintSize = 16
)

// Suspicions decides whether a request that was at a crash may run.
type Suspicions interface {
	Suspect(ctx context.Context, command suspicion.Command) (suspicion.Verdict, error)
}

// crashFingerprint identifies a request by what a crash could come from.
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

// beginTrial waits until a suspect may run. It returns nil when nothing is
// held against the request any more, and a failure when it may not run.
func (e *Entry) beginTrial(ctx context.Context, fingerprint suspicion.Fingerprint) (*trial, *failure) {
	t := &trial{entry: e, fingerprint: fingerprint, token: uuid.NewString()}
	ctx, cancel := context.WithTimeout(ctx, trialWait)
	defer cancel()
	for {
		switch t.ask(ctx) {
		case suspicion.Run:
			return nil, nil
		case suspicion.RunAlone:
			trialCount.Add(1)
			return t, nil
		case suspicion.Refuse:
			convictedCount.Add(1)
			return nil, &failure{
				status: http.StatusUnprocessableEntity, code: codeConvicted, retryAfter: convictedRetry,
				message: "this request crashed the backend servers that ran it; it is refused for a time",
			}
		}
		if wait.For(ctx, trialPause) != nil {
			return nil, &failure{
				status: http.StatusServiceUnavailable, code: codeSuspect, retryAfter: 1,
				message: "this request was at a backend server that crashed and must run alone; no server is free for that now",
			}
		}
	}
}

func (t *trial) ask(ctx context.Context) suspicion.Verdict {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	verdict, err := t.entry.options.Suspicions.Suspect(ctx, suspicion.Command{Ask: &suspicion.Ask{Fingerprint: t.fingerprint, Token: t.token}})
	if err != nil {
		return suspicion.Wait
	}
	return verdict
}

// end ends a trial by what became of it. A crash was reported by the agent,
// and the trial of a request in doubt ends with its lease.
func (t *trial) end(ctx context.Context, said outcome.Outcome) {
	if said == outcome.Unknown {
		return
	}
	t.entry.afterwards(ctx, func(ctx context.Context) {
		_, _ = t.entry.options.Suspicions.Suspect(ctx, suspicion.Command{End: &suspicion.End{Fingerprint: t.fingerprint, Token: t.token, Survived: said == outcome.Answered}})
	})
}

// tryAlone offers a suspect to a server that runs nothing else meanwhile.
func (e *Entry) tryAlone(v *visit, r *http.Request, t *trial, attempt func(*http.Request) attempted) attempted {
	ctx, cancel := context.WithTimeout(r.Context(), suspicion.DefaultLimits.TrialLease-trialMargin)
	v.atEnd(cancel)
	alone := r.Clone(ctx)
	alone.Header.Set(wire.HeaderAlone, "true")
	got := attempt(alone)
	if got.said != outcome.Answered {
		cancel()
		t.end(r.Context(), got.said)
		return got
	}
	v.atEnd(func() {
		if v.whole {
			t.end(r.Context(), outcome.Answered)
		}
	})
	return got
}
