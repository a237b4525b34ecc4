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
	"github.com/rosemarypass/rosemarypass/coord/outcome"
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

func TestPermitIsSettledOnceByTheAnswer(t *testing.T) {
	cases := []struct {
		name   string
		answer func(http.ResponseWriter)
		want   Use
	}{
		{"whole answer with usage", func(w http.ResponseWriter) {
			_, _ = w.Write([]byte(`{"choices":[],"usage":{"prompt_tokens":2,"total_tokens":9}}`))
		}, Use{Tokens: 9}},
		{"stream without usage", func(w http.ResponseWriter) {
			for range 3 {
				_, _ = w.Write([]byte("data: {}\n\n"))
			}
		}, Use{Events: 3}},
		{"usage at the end of a long stream", func(w http.ResponseWriter) {
			_, _ = w.Write([]byte(strings.Repeat("x", 3*tailSize)))
			_, _ = w.Write([]byte(`data: {"usage":{"total_to`))
			_, _ = w.Write([]byte("kens\":40}}\n\n"))
		}, Use{Tokens: 40, Events: 1}},
		{"not run", func(w http.ResponseWriter) {
			fail(w, failure{status: http.StatusServiceUnavailable, code: codeNoServer})
		}, Use{NotRun: true}},
		{"broken off before its header", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, Use{}},
		{"usage that is no object", func(w http.ResponseWriter) { _, _ = w.Write([]byte(`"usage":-`)) }, Use{}},
	}
	for _, c := range cases {
		admission := &fakeAdmission{}
		e := &Entry{options: Options{Admission: admission}}
		func() {
			defer func() { _ = recover() }()
			request := httptest.NewRequest(http.MethodPost, "/v1/completions", nil)
			e.admitted(httptest.NewRecorder(), request, Ask{}, func(w http.ResponseWriter) outcome.Outcome {
				c.answer(w)
				return outcome.Answered
			})
		}()
		if len(admission.settled) != 1 || admission.settled[0] != c.want {
			t.Errorf("%s: settled %+v, want %+v once", c.name, admission.settled, c.want)
		}
	}
}

func TestRefusalNamesTheClauseAndWhenToComeBack(t *testing.T) {
	refusal := &Refusal{Clause: contract.ClauseTokensPerMinute, RetryAfter: 2100 * time.Millisecond, Message: "over"}
	e := &Entry{options: Options{Admission: &fakeAdmission{refusal: refusal}}}
	recorder := httptest.NewRecorder()
	e.admitted(recorder, httptest.NewRequest(http.MethodPost, "/v1/completions", nil), Ask{}, func(http.ResponseWriter) outcome.Outcome {
		t.Error("a refused request ran")
		return outcome.Answered
	})
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
		{callerBody{MaxTokens: math.MaxInt64, N: math.MaxInt64}, maxEstimate * maxAnswers},
	}
	for _, c := range cases {
		if ask := askFor(contract.Contract{}, c.body, 7); ask.Generated != c.want || ask.Tokens() != c.want+7 {
			t.Errorf("%+v: got %+v, want %d", c.body, ask, c.want)
		}
	}
}
