package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/claim"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	claimGrantedCount     = telemetry.Counter("entry_claims_granted")
	claimReplayedCount    = telemetry.Counter("entry_claims_replayed")
	claimInDoubtCount     = telemetry.Counter("entry_claims_in_doubt")
	claimUnavailableCount = telemetry.Counter("entry_claims_unavailable")
	claimUnsavedCount     = telemetry.Counter("entry_claims_unsaved")
)

// headerReplayed marks an answer that was recorded when the call ran and is
// replayed.
const headerReplayed = "Idempotent-Replayed"

const (
	// finishTimeout bounds how long an answer is delayed until it is recorded for
	// replay.
	finishTimeout = time.Second
	// settleTimeout bounds how long the end of a claim is retried.
	settleTimeout = time.Minute
	// claimRetryAfter is the time after which a caller may retry, in seconds.
	claimRetryAfter = 1
)

// Claims decides whether a call that must run at most once may run. After an error
// the command may or may not have taken effect.
type Claims interface {
	Apply(ctx context.Context, command claim.Command) (claim.Reply, error)
}

// claimAttempt is one attempt at a call that must run at most once.
type claimAttempt struct {
	entry *Entry
	id    claim.ID
	token string
	// answer is the call's answer, or nil before the server has answered.
	answer *claim.Answer
}

// sendOnce runs a call under its claim. The call continues if its caller
// disconnects, so that a resend by the caller gets the answer instead of an unknown
// outcome.
func (e *Entry) sendOnce(in *inbound, r *http.Request, c call, key string) reply {
	ctx := context.WithoutCancel(r.Context())
	a := &claimAttempt{entry: e, id: claim.ID{Contract: c.contract, Key: key}, token: uuid.NewString()}
	decision, err := a.begin(ctx, fingerprint(r, c))
	if err != nil {
		claimUnavailableCount.Add(1)
		e.runDetached(ctx, func(ctx context.Context) { a.release(ctx) })
		return in.fail(failure{
			status: http.StatusServiceUnavailable, code: codeClaimsUnavailable, retryAfter: claimRetryAfter,
			message: "it cannot be decided now whether this call may run; it was not run by this request",
		})
	}
	if decision.Verdict != claim.Granted {
		return in.answerFromClaim(decision)
	}
	claimGrantedCount.Add(1)
	c.claim = a
	result := e.admit(in, r.WithContext(ctx), c)
	if result.outcome == outcome.NotRun {
		e.runDetached(ctx, func(ctx context.Context) { a.release(ctx) })
	}
	return result
}

// fingerprint returns a digest of a call. A key that is reused for a different call
// is refused instead of answered with the answer of the first call.
func fingerprint(r *http.Request, c call) []byte {
	hash := sha256.New()
	for _, part := range []string{r.Method, c.request.Pool, c.path, r.URL.RawQuery} {
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(c.body)
	return hash.Sum(nil)
}

func (a *claimAttempt) begin(ctx context.Context, digest []byte) (claim.Reply, error) {
	if a.entry.options.Claims == nil {
		return claim.Reply{}, errors.New("this entry has no control instances")
	}
	ctx, cancel := context.WithTimeout(ctx, a.entry.options.ClaimTimeout)
	defer cancel()
	return a.entry.options.Claims.Apply(ctx, claim.Command{ID: a.id, Begin: &claim.Begin{Token: a.token, Fingerprint: digest}})
}

// release records that this attempt did not run and never will.
func (a *claimAttempt) release(ctx context.Context) {
	if a.entry.options.Claims == nil {
		return
	}
	if _, err := a.entry.options.Claims.Apply(ctx, claim.Command{ID: a.id, Release: &claim.Release{Token: a.token}}); err != nil {
		claimUnsavedCount.Add(1)
	}
}

// record stores an answer for replay before the caller receives it. If the control
// instances cannot be reached in time, the caller gets its answer nevertheless and
// the answer is stored later; a resend in the meantime gets the error that the call
// is in progress.
func (a *claimAttempt) record(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, claim.MaxAnswer+1))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	recorded := claim.Answer{Status: response.StatusCode}
	if len(body) <= claim.MaxAnswer {
		recorded.Kept, recorded.Body, recorded.Header = true, body, claimFields(response.Header)
	}
	response.Body = readCloser{io.MultiReader(bytes.NewReader(body), response.Body), response.Body}
	a.answer = &recorded
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if err := a.finish(ctx); err != nil {
		a.entry.runDetached(context.Background(), func(ctx context.Context) {
			if err := a.finish(ctx); err != nil {
				claimUnsavedCount.Add(1)
			}
		})
	}
	return nil
}

func (a *claimAttempt) finish(ctx context.Context) error {
	_, err := a.entry.options.Claims.Apply(ctx, claim.Command{ID: a.id, Finish: &claim.Finish{Token: a.token, Answer: *a.answer}})
	return err
}

// runDetached runs settle, which ends a claim, after the caller has its answer. A
// stop of the entry waits for it. The request that calls it must be in flight itself:
// a stop that has begun then waits for settle too, and delays no answer for it.
func (e *Entry) runDetached(ctx context.Context, settle func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	e.gate.Join()
	go func() {
		defer e.gate.Leave()
		defer cancel()
		settle(ctx)
	}()
}

func claimFields(header http.Header) []claim.Field {
	kept := make(http.Header)
	relay.CopyHeader(kept, header)
	dropInternal(kept)
	kept.Del(wire.HeaderRequestID)
	var fields []claim.Field
	for name, values := range kept {
		for _, value := range values {
			fields = append(fields, claim.Field{Name: name, Value: value})
		}
	}
	return fields
}

// answerFromClaim answers a call that may not run, according to the claim's
// verdict.
func (in *inbound) answerFromClaim(decision claim.Reply) reply {
	switch decision.Verdict {
	case claim.Replay:
		return in.replay(decision.Answer)
	case claim.InDoubt:
		claimInDoubtCount.Add(1)
		return in.fail(failure{
			status: http.StatusConflict, code: codeInProgress, retryAfter: claimRetryAfter,
			message: "the call with this Idempotency-Key is running, or its fate is unknown; ask again at /claims/",
		})
	case claim.Mismatch:
		return in.fail(failure{status: http.StatusUnprocessableEntity, code: codeKeyReused, message: "this Idempotency-Key was used for another call"})
	case claim.TooOld:
		return in.fail(failure{status: http.StatusGone, code: codeKeyExpired, message: "this Idempotency-Key was used too long ago; the call was not run again"})
	case claim.BadKey:
		return in.fail(failure{status: http.StatusBadRequest, code: codeKeyInvalid, message: "this Idempotency-Key is too long, or its time lies in the future"})
	default:
		return in.fail(failure{status: http.StatusServiceUnavailable, code: codeClaimsFull, message: "no further calls with a key can be accepted now", retryAfter: claimRetryAfter})
	}
}

func (in *inbound) replay(recorded *claim.Answer) reply {
	if !recorded.Kept {
		return in.fail(failure{status: http.StatusConflict, code: codeAnswerNotKept, message: "the call ran and was answered; its answer was too large to keep"})
	}
	claimReplayedCount.Add(1)
	countOutcome(outcome.Answered)
	header := in.newHeader()
	for _, field := range recorded.Header {
		header.Add(field.Name, field.Value)
	}
	header.Set(headerReplayed, "true")
	header.Set(outcome.Header, outcome.Answered.String())
	return reply{answer.Full(recorded.Status, header, recorded.Body), outcome.Answered}
}

// claimView is the state of a claim as shown to its caller.
type claimView struct {
	Key   string      `json:"key"`
	State claim.State `json:"state"`
	// Status is the HTTP status of the answer if the call is finished.
	Status int `json:"status,omitempty"`
}

// lookUpClaim answers with the state of a call for which the caller received no
// outcome.
func (e *Entry) lookUpClaim(in *inbound, r *http.Request) reply {
	customer, problem := e.authenticate(r)
	if problem != nil {
		return in.fail(*problem)
	}
	key := chi.URLParam(r, "key")
	ctx, cancel := context.WithTimeout(r.Context(), e.options.ClaimTimeout)
	defer cancel()
	found, err := e.lookUp(ctx, claim.ID{Contract: customer.ID, Key: key})
	if err != nil {
		return in.fail(failure{status: http.StatusServiceUnavailable, code: codeClaimsUnavailable, message: "the claims cannot be read now", retryAfter: claimRetryAfter})
	}
	if found.Verdict == claim.None {
		return in.fail(failure{status: http.StatusNotFound, code: codeUnknownClaim, message: "no call with this Idempotency-Key has been claimed"})
	}
	view := claimView{Key: key, State: found.State}
	if found.Answer != nil {
		view.Status = found.Answer.Status
	}
	return reply{Answer: jsonAnswer(http.StatusOK, in.newHeader(), view)}
}

func (e *Entry) lookUp(ctx context.Context, id claim.ID) (claim.Reply, error) {
	if e.options.Claims == nil {
		return claim.Reply{}, errors.New("this entry has no control instances")
	}
	return e.options.Claims.Apply(ctx, claim.Command{ID: id, Look: &claim.Look{}})
}
