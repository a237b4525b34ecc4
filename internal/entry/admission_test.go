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
	settled []Use
}

func (f *fakeAdmission) Admit(context.Context, Ask) (Permit, *Refusal) {
	if f.refusal != nil {
		return nil, f.refusal
	}
	return f, nil
}

func (f *fakeAdmission) Settle(use Use) { f.settled = append(f.settled, use) }

// streamed is a server's answer that comes in pieces and may break off.
func streamed(v *inbound, end answer.End, pieces ...string) reply {
	return reply{answer.Stream(http.StatusOK, nil, func(pass answer.Pass) answer.End {
		for _, piece := range pieces {
			v.meter.add([]byte(piece))
			_ = pass([]byte(piece))
		}
		return end
	}), outcome.Answered}
}

func TestPermitIsSettledOnceByTheAnswer(t *testing.T) {
	whole := answer.Complete(nil)
	cases := []struct {
		name   string
		answer func(*inbound) reply
		want   Use
	}{
		{"whole answer with usage", func(v *inbound) reply {
			return streamed(v, whole, `{"choices":[],"usage":{"prompt_tokens":2,"total_tokens":9}}`)
		}, Use{Tokens: 9}},
		{"stream without usage", func(v *inbound) reply {
			return streamed(v, whole, "data: {}\n\n", "data: {}\n\n", "data: {}\n\n")
		}, Use{Events: 3}},
		{"stream that breaks off", func(v *inbound) reply { return streamed(v, answer.Cut, "data: {}\n\n") }, Use{Events: 1}},
		{"usage at the end of a long stream", func(v *inbound) reply {
			return streamed(v, whole, strings.Repeat("x", 3*tailSize), `data: {"usage":{"total_to`, "kens\":40}}\n\n")
		}, Use{Tokens: 40, Events: 1}},
		{"not run", func(v *inbound) reply {
			return v.fail(failure{status: http.StatusServiceUnavailable, code: codeNoServer})
		}, Use{NotRun: true}},
		{"broken off before its header", func(*inbound) reply { panic(http.ErrAbortHandler) }, Use{}},
		{"usage that is no object", func(v *inbound) reply { return streamed(v, whole, `"usage":-`) }, Use{}},
	}
	for _, c := range cases {
		admission := &fakeAdmission{}
		e := admittingEntry(admission)
		handler := e.serve(func(v *inbound, r *http.Request) reply {
			given := e.withPermit(v, r, Ask{}, func() reply { return c.answer(v) })
			if len(admission.settled) > 0 {
				t.Errorf("%s: settled before the answer is out", c.name)
			}
			return given
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

// fresh is a picture of the system that is up to date and empty.
type fresh struct{ Source }

func (fresh) Freshness() freshness.State { return freshness.State{Kind: freshness.Fresh} }

func admittingEntry(admission Admission) *Entry {
	return &Entry{options: Options{Admission: admission}, follower: fresh{}, gate: drain.NewGate()}
}

func TestRefusalNamesTheClauseAndWhenToComeBack(t *testing.T) {
	refusal := &Refusal{Clause: contract.ClauseTokensPerMinute, RetryAfter: 2100 * time.Millisecond, Message: "over"}
	e := admittingEntry(&fakeAdmission{refusal: refusal})
	recorder := httptest.NewRecorder()
	e.serve(func(v *inbound, r *http.Request) reply {
		return e.withPermit(v, r, Ask{}, func() reply {
			t.Error("a refused request ran")
			return reply{}
		})
	}).ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/completions", nil))
	header := recorder.Header()
	if recorder.Code != http.StatusTooManyRequests || header.Get("Retry-After") != "3" {
		t.Errorf("got %d, Retry-After %q", recorder.Code, header.Get("Retry-After"))
	}
	if header.Get(wire.HeaderClause) != "tokensPerMinute" || header.Get(outcome.Header) != "not-run" {
		t.Errorf("headers: %v", header)
	}
	if body := recorder.Body.String(); !strings.Contains(body, `"code":"limit_reached","param":"tokensPerMinute"`) {
		t.Errorf("body: %s", body)
	}
}

// A caller asks for as many tokens and answers as numbers can hold.
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
		if ask := newAsk(contract.Contract{}, c.body, 7); ask.Generated != c.want || ask.Tokens() != c.want+7 {
			t.Errorf("%+v: got %+v, want %d", c.body, ask, c.want)
		}
	}
}
