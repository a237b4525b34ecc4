package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Admission decides whether and when a request may run under its contract.
type Admission interface {
	// Admit blocks until the contract allows the request. It refuses immediately if
	// the wait would certainly exceed the contract's longest wait, and otherwise
	// when that wait has elapsed.
	Admit(ctx context.Context, request AdmissionRequest) (Permit, *Refusal)
}

// AdmissionRequest describes a request that is submitted for admission.
type AdmissionRequest struct {
	Contract contract.Contract
	// Prompt and Generated are upper estimates of the tokens that the request uses;
	// both are 0 for a call to a plain service.
	Prompt    int64
	Generated int64
}

// Tokens returns the upper estimate of all tokens that the request uses.
func (a AdmissionRequest) Tokens() int64 { return a.Prompt + a.Generated }

// Permit is held while a request runs.
type Permit interface {
	// Settle releases the permit and reports the actual use. It must be called
	// exactly once.
	Settle(use Usage)
}

// Usage is what a request actually used.
type Usage struct {
	// NotRun is true if the request certainly did not run. It is then not charged
	// to any clause of the contract.
	NotRun bool
	// Tokens is the number of tokens that the engine reported, or 0 if it reported
	// none.
	Tokens int64
	// Events is the number of events in a streamed answer, approximately one per
	// token.
	Events int64
}

// Refusal describes why a request is refused.
type Refusal struct {
	// Clause is the contract's clause that refuses the request. It is empty if no
	// limit is known to be reached but the entry cannot confirm the limits.
	Clause contract.Clause
	// RetryAfter is the time after which a new attempt can succeed.
	RetryAfter time.Duration
	Message    string
}

func (f *Refusal) failure() failure {
	seconds := int((f.RetryAfter + time.Second - 1) / time.Second)
	status, code := http.StatusTooManyRequests, codeLimitReached
	if f.Clause == "" {
		status, code = http.StatusServiceUnavailable, codeLimitsUnconfirmed
	}
	return failure{
		status:     status,
		code:       code,
		message:    f.Message,
		retryAfter: max(seconds, 1),
		clause:     string(f.Clause),
	}
}

// unlimited admits every request. It is used if no admission is configured.
type unlimited struct{}

func (unlimited) Admit(context.Context, AdmissionRequest) (Permit, *Refusal) { return unlimited{}, nil }
func (unlimited) Settle(Usage)                                               {}

// admit sends a call under a permit, which is settled with the outcome of the
// answer that the caller received. The claim of a call that must run at most once
// is taken before admission. In the reverse order, a refused admission would report
// "not run" although an earlier attempt with the same key may have run.
func (e *Entry) admit(in *inbound, r *http.Request, c call) reply {
	c.wait = newWaitBudget(c.admission.Contract.Limits, time.Now())
	return e.withPermit(in, r, c.admission, func() reply { return e.send(in, r, c) })
}

func (e *Entry) withPermit(in *inbound, r *http.Request, request AdmissionRequest, run func() reply) reply {
	permit, refusal := e.options.Admission.Admit(r.Context(), request)
	if refusal != nil && r.Context().Err() != nil {
		return in.fail(noAnswer(r.Context(), false))
	}
	if refusal != nil {
		return in.fail(refusal.failure())
	}
	in.addCleanup(func() { permit.Settle(in.meter.usage()) })
	setContractHeaders(r.Header, request)
	result := run()
	// A request with a cut answer may have run and is charged as if it had.
	in.meter.notRun = result.outcome == outcome.NotRun
	return result
}

// setContractHeaders passes the contract's ID, share and priority and the request's
// cost to the next hops, so that their queues are fair across contracts.
func setContractHeaders(header http.Header, request AdmissionRequest) {
	header.Set(wire.HeaderContract, request.Contract.ID)
	header.Set(wire.HeaderShare, strconv.Itoa(request.Contract.Share))
	header.Set(wire.HeaderPriority, strconv.Itoa(request.Contract.Priority))
	header.Set(wire.HeaderCost, strconv.FormatInt(request.Tokens(), 10))
}

// defaultMaxTokens is the estimate of the tokens that a completion generates if the
// caller sets no maximum.
const defaultMaxTokens = 256

// maxEstimate and maxChoices are larger than any contract allows per minute.
const (
	maxEstimate = 1 << 40
	maxChoices  = 1 << 16
)

// newAdmissionRequest returns the admission request of a completion, with an upper
// estimate of its use. The size of the body bounds the prompt, because no tokenizer
// produces more tokens than the prompt has bytes.
func newAdmissionRequest(customer contract.Contract, body callerBody, bodyBytes int) AdmissionRequest {
	generated := max(body.MaxTokens, body.MaxCompletionTokens)
	if generated <= 0 {
		generated = defaultMaxTokens
	}
	// Without these bounds a caller could make the product overflow, so that its
	// contract would be credited with tokens instead of charged.
	generated = min(generated, maxEstimate)
	choices := min(max(body.N, 1), maxChoices)
	return AdmissionRequest{Contract: customer, Prompt: int64(bodyBytes), Generated: generated * choices}
}

// tailSize is how many bytes of the end of an answer are retained to find its usage
// object.
const tailSize = 4 << 10

// meter measures a server's answer while it is relayed to the caller.
type meter struct {
	notRun bool
	events int64
	tail   []byte
}

var eventPrefix = []byte("data: ")

// add counts streamed events and retains the end of the answer.
func (m *meter) add(piece []byte) {
	m.events += int64(bytes.Count(piece, eventPrefix))
	m.tail = append(m.tail, piece...)
	if excess := len(m.tail) - tailSize; excess > 0 {
		m.tail = append(m.tail[:0], m.tail[excess:]...)
	}
}

func (m *meter) usage() Usage {
	if m.notRun {
		return Usage{NotRun: true}
	}
	return Usage{Tokens: reportedTokens(m.tail), Events: m.events}
}

var usageKey = []byte(`"usage":`)

// reportedTokens returns the total tokens of the last usage object of an answer,
// complete or streamed, or 0 if there is none.
func reportedTokens(tail []byte) int64 {
	at := bytes.LastIndex(tail, usageKey)
	if at < 0 {
		return 0
	}
	var usage struct {
		TotalTokens int64 `json:"total_tokens"`
	}
	decoder := json.NewDecoder(bytes.NewReader(tail[at+len(usageKey):]))
	if err := decoder.Decode(&usage); err != nil {
		return 0
	}
	return max(usage.TotalTokens, 0)
}
