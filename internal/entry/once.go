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
	claimGrantedCount = telemetry.Counter("entry_claims_granted")
	claimReplayCount  = telemetry.Counter("entry_claims_replayed")
	claimDoubtCount   = telemetry.Counter("entry_claims_in_doubt")
	claimLostCount    = telemetry.Counter("entry_claims_unavailable")
	claimUnsavedCount = telemetry.Counter("entry_claims_unsaved")
)

// headerReplayed marks an answer that was kept from the call's only run.
const headerReplayed = "Idempotent-Replayed"

const (
	// finishWait is how long an answer is held until it is kept for replay.
	finishWait = time.Second
	// settleTimeout bounds how long a claim's end is sent again.
	settleTimeout = time.Minute
	// claimRetry is when a caller may ask again, in seconds.
	claimRetry = 1
)

// Claims decides whether a call that must run at most once may run. An error
// leaves open whether the command took effect.
type Claims interface {
	Apply(ctx context.Context, command claim.Command) (claim.Reply, error)
}

// once is one attempt at a call that must run at most once.
type once struct {
	entry *Entry
	id    claim.ID
	token string
	// answer is set once the call's answer is here.
	answer *claim.Answer
}

// sendOnce runs a call under its claim. The call goes on when its caller
// leaves, so that the caller's resend finds the answer and not a doubt.
func (e *Entry) sendOnce(v *visit, r *http.Request, c call, key string) reply {
	ctx := context.WithoutCancel(r.Context())
	o := &once{entry: e, id: claim.ID{Contract: c.contract, Key: key}, token: uuid.NewString()}
	decided, err := o.begin(ctx, fingerprint(r, c))
	if err != nil {
		claimLostCount.Add(1)
		e.afterwards(ctx, func(ctx context.Context) { o.release(ctx) })
		return v.fail(failure{
			status: http.StatusServiceUnavailable, code: codeNoClaims, retryAfter: claimRetry,
			message: "it cannot be decided now whether this call may run; it was not run by this request",
		})
	}
	if decided.Verdict != claim.Granted {
		return v.refuseOnce(decided)
	}
	claimGrantedCount.Add(1)
	c.once = o
	given := e.admit(v, r.WithContext(ctx), c)
	if given.said == outcome.NotRun {
		e.afterwards(ctx, func(ctx context.Context) { o.release(ctx) })
	}
	return given
}

// fingerprint identifies a call, so that a key that is used for another call
// is refused instead of answered with a foreign answer.
func fingerprint(r *http.Request, c call) []byte {
	hash := sha256.New()
	for _, part := range []string{r.Method, c.request.Pool, c.path, r.URL.RawQuery} {
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(c.body)
	return hash.Sum(nil)
}

func (o *once) begin(ctx context.Context, fingerprint []byte) (claim.Reply, error) {
	if o.entry.options.Claims == nil {
		return claim.Reply{}, errors.New("this entry has no control instances")
	}
	ctx, cancel := context.WithTimeout(ctx, o.entry.options.ClaimTimeout)
	defer cancel()
	return o.entry.options.Claims.Apply(ctx, claim.Command{ID: o.id, Begin: &claim.Begin{Token: o.token, Fingerprint: fingerprint}})
}

// release says that this attempt did not run and never will.
func (o *once) release(ctx context.Context) {
	if o.entry.options.Claims == nil {
		return
	}
	if _, err := o.entry.options.Claims.Apply(ctx, claim.Command{ID: o.id, Release: &claim.Release{Token: o.token}}); err != nil {
		claimUnsavedCount.Add(1)
	}
}

// record keeps an answer for replay before the caller sees it. When control
// cannot be reached in time the caller gets its answer nevertheless, and the
// record follows; a resend in between is told that the call is in progress.
func (o *once) record(response *http.Response) error {
	head, err := io.ReadAll(io.LimitReader(response.Body, claim.MaxAnswer+1))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	answer := claim.Answer{Status: response.StatusCode}
	if len(head) <= claim.MaxAnswer {
		answer.Kept, answer.Body, answer.Header = true, head, fields(response.Header)
	}
	response.Body = readCloser{io.MultiReader(bytes.NewReader(head), response.Body), response.Body}
	o.answer = &answer
	ctx, cancel := context.WithTimeout(context.Background(), finishWait)
	defer cancel()
	if err := o.finish(ctx); err != nil {
		o.entry.afterwards(context.Background(), func(ctx context.Context) {
			if err := o.finish(ctx); err != nil {
				claimUnsavedCount.Add(1)
			}
		})
	}
	return nil
}

func (o *once) finish(ctx context.Context) error {
	_, err := o.entry.options.Claims.Apply(ctx, claim.Command{ID: o.id, Finish: &claim.Finish{Token: o.token, Answer: *o.answer}})
	return err
}

// afterwards goes on with a claim's end after its caller has its answer. A stop
// waits for it.
func (e *Entry) afterwards(ctx context.Context, settle func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	if !e.gate.Enter() {
		defer cancel()
		settle(ctx)
		return
	}
	go func() {
		defer e.gate.Leave()
		defer cancel()
		settle(ctx)
	}()
}

func fields(header http.Header) []claim.Field {
	kept := make(http.Header)
	relay.CopyHeader(kept, header)
	dropInternal(kept)
	kept.Del(wire.HeaderRequestID)
	var all []claim.Field
	for name, values := range kept {
		for _, value := range values {
			all = append(all, claim.Field{Name: name, Value: value})
		}
	}
	return all
}

// refuseOnce answers a call that may not run, from what the claim says.
func (v *visit) refuseOnce(decided claim.Reply) reply {
	switch decided.Verdict {
	case claim.Replay:
		return v.replay(decided.Answer)
	case claim.InDoubt:
		claimDoubtCount.Add(1)
		return v.fail(failure{
			status: http.StatusConflict, code: codeInProgress, retryAfter: claimRetry,
			message: "the call with this Idempotency-Key is running, or its fate is unknown; ask again at /claims/",
		})
	case claim.Mismatch:
		return v.fail(failure{status: http.StatusUnprocessableEntity, code: codeKeyReused, message: "this Idempotency-Key was used for another call"})
	case claim.TooOld:
		return v.fail(failure{status: http.StatusGone, code: codeKeyExpired, message: "this Idempotency-Key was used too long ago; the call was not run again"})
	case claim.BadKey:
		return v.fail(failure{status: http.StatusBadRequest, code: codeKeyInvalid, message: "this Idempotency-Key is too long, or its time lies in the future"})
	default:
		return v.fail(failure{status: http.StatusServiceUnavailable, code: codeClaimsFull, message: "no further calls with a key can be accepted now", retryAfter: claimRetry})
	}
}

func (v *visit) replay(kept *claim.Answer) reply {
	if !kept.Kept {
		return v.fail(failure{status: http.StatusConflict, code: codeAnswerNotKept, message: "the call ran and was answered; its answer was too large to keep"})
	}
	claimReplayCount.Add(1)
	countOutcome(outcome.Answered)
	header := v.ownHeader()
	for _, field := range kept.Header {
		header.Add(field.Name, field.Value)
	}
	header.Set(headerReplayed, "true")
	header.Set(outcome.Header, outcome.Answered.String())
	return reply{answer.Full(kept.Status, header, kept.Body), outcome.Answered}
}

// claimView is what a caller reads about its call.
type claimView struct {
	Key   string      `json:"key"`
	State claim.State `json:"state"`
	// Status is the status of the answer of a finished call.
	Status int `json:"status,omitempty"`
}

// lookUpClaim tells a caller what became of a call whose outcome it was not
// told.
func (e *Entry) lookUpClaim(v *visit, r *http.Request) reply {
	customer, problem := e.authenticate(r)
	if problem != nil {
		return v.fail(*problem)
	}
	key := chi.URLParam(r, "key")
	ctx, cancel := context.WithTimeout(r.Context(), e.options.ClaimTimeout)
	defer cancel()
	found, err := e.look(ctx, claim.ID{Contract: customer.ID, Key: key})
	if err != nil {
		return v.fail(failure{status: http.StatusServiceUnavailable, code: codeNoClaims, message: "the claims cannot be read now", retryAfter: claimRetry})
	}
	if found.Verdict == claim.None {
		return v.fail(failure{status: http.StatusNotFound, code: codeNoClaim, message: "no call with this Idempotency-Key has been claimed"})
	}
	view := claimView{Key: key, State: found.State}
	if found.Answer != nil {
		view.Status = found.Answer.Status
	}
	return reply{Answer: inJSON(http.StatusOK, v.ownHeader(), view)}
}

func (e *Entry) look(ctx context.Context, id claim.ID) (claim.Reply, error) {
	if e.options.Claims == nil {
		return claim.Reply{}, errors.New("this entry has no control instances")
	}
	return e.options.Claims.Apply(ctx, claim.Command{ID: id, Look: &claim.Look{}})
}
