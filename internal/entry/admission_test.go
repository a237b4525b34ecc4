package entry

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/drain"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// fakeAdmission records how its permits are settled.
type fakeAdmission struct {
	refusal *Refusal
	settled []Usage
}

func (f *fakeAdmission) Admit(context.Context, AdmissionRequest) (Permit, *Refusal) {
	if f.refusal != nil {
		return nil, f.refusal
	}
	return f, nil
}

func (f *fakeAdmission) Settle(use Usage) { f.settled = append(f.settled, use) }

// streamReply returns a server's answer that is streamed in pieces and may be cut.
func streamReply(in *inbound, end answer.End, pieces ...string) reply {
	return reply{answer.Stream(http.StatusOK, nil, func(pass answer.Pass) answer.End {
		for _, piece := range pieces {
			in.meter.add([]byte(piece))
			_ = pass([]byte(piece))
		}
		return end
	}), outcome.Answered}
}

func TestPermitIsSettledOnceAfterAnswer(t *testing.T) {
	complete := answer.Complete(nil)
	cases := []struct {
		name   string
		answer func(*inbound) reply
		want   Usage
	}{
		{"complete answer with usage", func(in *inbound) reply {
			return streamReply(in, complete, `{"choices":[],"usage":{"prompt_tokens":2,"total_tokens":9}}`)
		}, Usage{Tokens: 9}},
		{"stream without usage", func(in *inbound) reply {
			return streamReply(in, complete, "data: {}\n\n", "data: {}\n\n", "data: {}\n\n")
		}, Usage{Events: 3}},
		{"stream that breaks off", func(in *inbound) reply { return streamReply(in, answer.Cut, "data: {}\n\n") }, Usage{Events: 1}},
		{"usage at the end of a long stream", func(in *inbound) reply {
			return streamReply(in, complete, strings.Repeat("x", 3*tailSize), `data: {"usage":{"total_to`, "kens\":40}}\n\n")
		}, Usage{Tokens: 40, Events: 1}},
		{"not run", func(in *inbound) reply {
			return in.fail(failure{status: http.StatusServiceUnavailable, code: codeNoServer})
		}, Usage{NotRun: true}},
		{"broken off before the header", func(*inbound) reply { panic(http.ErrAbortHandler) }, Usage{}},
		{"usage that is not an object", func(in *inbound) reply { return streamReply(in, complete, `"usage":-`) }, Usage{}},
	}
	for _, c := range cases {
		admission := &fakeAdmission{}
		e := admittingEntry(admission)
		handler := e.serve(func(in *inbound, r *http.Request) reply {
			result := e.withPermit(in, r, AdmissionRequest{}, func() reply { return c.answer(in) })
			if len(admission.settled) > 0 {
				t.Errorf("%s: settled before the answer was written", c.name)
			}
			return result
		})
		func() {
			defer func() { _ = recover() }()
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/completions", nil))
		}()
		if len(admission.settled) != 1 || admission.settled[0] != c.want {
			t.Errorf("%s: settled %+v, want %+v once", c.name, admission.settled, c.want)
		}
	}
}

// freshSource is a Source whose configuration is confirmed and empty.
type freshSource struct{ Source }

func (freshSource) Freshness() freshness.State { return freshness.State{Kind: freshness.Fresh} }

func admittingEntry(admission Admission) *Entry {
	return &Entry{options: Options{Admission: admission}, follower: freshSource{}, gate: drain.NewGate()}
}

func TestRefusalHasClauseAndRetryAfter(t *testing.T) {
	refusal := &Refusal{Clause: contract.ClauseTokensPerMinute, RetryAfter: 2100 * time.Millisecond, Message: "over"}
	e := admittingEntry(&fakeAdmission{refusal: refusal})
	recorder := httptest.NewRecorder()
	e.serve(func(in *inbound, r *http.Request) reply {
		return e.withPermit(in, r, AdmissionRequest{}, func() reply {
			t.Error("refused request ran")
			return reply{}
		})
	}).ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/completions", nil))
	header := recorder.Header()
	if recorder.Code != http.StatusTooManyRequests || header.Get("Retry-After") != "3" {
		t.Errorf("got status %d, Retry-After %q; want 429, \"3\"", recorder.Code, header.Get("Retry-After"))
	}
	if header.Get(wire.HeaderClause) != "tokensPerMinute" || header.Get(outcome.Header) != "not-run" {
		t.Errorf("got headers %v, want the clause tokensPerMinute and the outcome not-run", header)
	}
	if body := recorder.Body.String(); !strings.Contains(body, `"code":"limit_reached","param":"tokensPerMinute"`) {
		t.Errorf("got body %s, want the code limit_reached and the param tokensPerMinute", body)
	}
}

// A caller requests the maximum number of tokens and choices that the request's
// integer fields can hold. The estimate must not overflow, because a negative one
// would credit the contract.
func TestEstimateNeverOverflows(t *testing.T) {
	cases := []struct {
		body callerBody
		want int64
	}{
		{callerBody{}, defaultMaxTokens},
		{callerBody{MaxTokens: 10}, 10},
		{callerBody{MaxTokens: 10, MaxCompletionTokens: 20, N: 3}, 60},
		{callerBody{MaxTokens: -5, N: -5}, defaultMaxTokens},
		{callerBody{MaxTokens: math.MaxInt64, N: math.MaxInt64}, maxEstimate * maxChoices},
	}
	for _, c := range cases {
		if got := newAdmissionRequest(contract.Contract{}, c.body, 7); got.Generated != c.want || got.Tokens() != c.want+7 {
			t.Errorf("%+v: got %+v, want %d", c.body, got, c.want)
		}
	}
}
