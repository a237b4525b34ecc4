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

// Admission decides under a contract whether and when a request may run.
type Admission interface {
	// Admit returns once the contract allows the request. It refuses at once
	// when the wait is certain to pass the contract's longest wait, and at
	// the latest when that wait is over.
	Admit(ctx context.Context, ask Ask) (Permit, *Refusal)
}

// Ask describes a request that wants to run.
type Ask struct {
	Contract contract.Contract
	// Prompt and Generated are the most tokens that the request is expected
	// to use, 0 for a plain service's call.
	Prompt    int64
	Generated int64
}

// Tokens is the most that the request is expected to use.
func (a Ask) Tokens() int64 { return a.Prompt + a.Generated }

// Permit is held while a request runs.
type Permit interface {
	// Settle ends the permit; it is called exactly once.
	Settle(use Use)
}

// Use is what a request turned out to use.
type Use struct {
	// NotRun is true when the request certainly did not run: it then counts
	// against no clause.
	NotRun bool
	// Tokens is the use that the engine reported; 0 when it reported none.
	Tokens int64
	// Events counts a streamed answer's events, about one for each token.
	Events int64
}

// Refusal names the clause that refuses a request.
type Refusal struct {
	// Clause is empty when no limit of the contract was reached, but the
	// entry could not confirm that.
	Clause contract.Clause
	// RetryAfter is when a new attempt can succeed.
	RetryAfter time.Duration
	Message    string
}

func (f *Refusal) failure() failure {
	seconds := int((f.RetryAfter + time.Second - 1) / time.Second)
	status, code := http.StatusTooManyRequests, codeLimit
	if f.Clause == "" {
		status, code = http.StatusServiceUnavailable, codeNoLimits
	}
	return failure{
		status:     status,
		code:       code,
		message:    f.Message,
		retryAfter: max(seconds, 1),
		clause:     string(f.Clause),
	}
}

// unlimited admits everything; it stands in where no admission is configured.
type unlimited struct{}

func (unlimited) Admit(context.Context, Ask) (Permit, *Refusal) { return unlimited{}, nil }
func (unlimited) Settle(Use)                                    {}

// admit sends a call under a permit, which is settled by the answer that the
// caller was given. A call that must run at most once has its claim by then:
// refused earlier, its caller would be told "not run" although an earlier
// attempt under the same key may have run.
func (e *Entry) admit(v *visit, r *http.Request, c call) reply {
	c.wait = newWaitBudget(c.ask.Contract.Limits, time.Now())
	return e.admitted(v, r, c.ask, func() reply { return e.send(v, r, c) })
}

func (e *Entry) admitted(v *visit, r *http.Request, ask Ask, run func() reply) reply {
	permit, refusal := e.options.Admission.Admit(r.Context(), ask)
	if refusal != nil && r.Context().Err() != nil {
		return v.fail(gaveUp(r.Context(), false))
	}
	if refusal != nil {
		return v.fail(refusal.failure())
	}
	v.atEnd(func() { permit.Settle(v.meter.use()) })
	describe(r.Header, ask)
	given := run()
	// An answer that breaks off may have run, and counts as if it had.
	v.meter.notRun = given.said == outcome.NotRun
	return given
}

// describe tells the next hops whose request it is, so that their queues can be
// fair among contracts.
func describe(header http.Header, ask Ask) {
	header.Set(wire.HeaderContract, ask.Contract.ID)
	header.Set(wire.HeaderShare, strconv.Itoa(ask.Contract.Share))
	header.Set(wire.HeaderPriority, strconv.Itoa(ask.Contract.Priority))
	header.Set(wire.HeaderCost, strconv.FormatInt(ask.Tokens(), 10))
}

// defaultMaxTokens is what a completion is expected to generate when the caller
// sets no bound.
const defaultMaxTokens = 256

// maxEstimate and maxAnswers are beyond what any contract allows in a minute.
const (
	maxEstimate = 1 << 40
	maxAnswers  = 1 << 16
)

// askFor bounds a completion's use from above: no tokenizer makes more tokens
// than the prompt has bytes.
func askFor(customer contract.Contract, body callerBody, bodyBytes int) Ask {
	generated := max(body.MaxTokens, body.MaxCompletionTokens)
	if generated <= 0 {
		generated = defaultMaxTokens
	}
	// Without the bounds a caller could make the product overflow, and be
	// credited with tokens instead of charged.
	generated = min(generated, maxEstimate)
	answers := min(max(body.N, 1), maxAnswers)
	return Ask{Contract: customer, Prompt: int64(bodyBytes), Generated: generated * answers}
}

// tailSize is how much of an answer's end is kept to find its usage, in bytes.
const tailSize = 4 << 10

// meter measures a server's answer on its way to the caller.
type meter struct {
	notRun bool
	events int64
	tail   []byte
}

var eventPrefix = []byte("data: ")

// add counts streamed events and keeps the answer's end.
func (m *meter) add(piece []byte) {
	m.events += int64(bytes.Count(piece, eventPrefix))
	m.tail = append(m.tail, piece...)
	if excess := len(m.tail) - tailSize; excess > 0 {
		m.tail = append(m.tail[:0], m.tail[excess:]...)
	}
}

func (m *meter) use() Use {
	if m.notRun {
		return Use{NotRun: true}
	}
	return Use{Tokens: reportedTokens(m.tail), Events: m.events}
}

var usageKey = []byte(`"usage":`)

// reportedTokens reads the last usage object of an answer, whole or streamed;
// it is 0 when there is none.
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
