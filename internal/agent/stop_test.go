package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

const (
	resumableRequest = "r1"
	answerStart      = `{"model":"m@1","text":"`
	answerRest       = `hello"}`
)

// interruptedRun runs a request whose reader's connection breaks in the middle of the
// answer, and whose engine answers it completely. It must be called in a bubble.
func interruptedRun(t *testing.T) *Agent {
	t.Helper()
	fromEngine, engine := io.Pipe()
	respond := roundTripper(func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: fromEngine, ContentLength: int64(len(answerStart + answerRest))}, nil
	})
	a := New(Options{Server: "s", Slots: 1, Queue: 1}, &http.Client{Transport: respond}, zap.NewNop())
	ref, err := catalogue.ParseRef("m@1")
	if err != nil {
		t.Fatal(err)
	}
	ctx, breakConnection := context.WithCancel(t.Context())
	r := engineRequest(ctx, "m@1")
	r.Header.Set(wire.HeaderRequestID, resumableRequest)
	go func() {
		defer recoverAbort()
		answer.Handler(func(r *http.Request) answer.Answer {
			return a.start(r, ref, []byte(`{}`), func() {}).answerFrom(r.Context(), 0)
		}).ServeHTTP(httptest.NewRecorder(), r)
	}()
	_, _ = io.WriteString(engine, answerStart)
	synctest.Wait()
	breakConnection()
	_, _ = io.WriteString(engine, answerRest)
	_ = engine.Close()
	synctest.Wait()
	return a
}

// startWait begins a stop of an agent; the channel gets the requests left at its end.
func startWait(t *testing.T, a *Agent) <-chan int {
	t.Helper()
	left := make(chan int, 1)
	go func() { left <- a.Wait(t.Context()) }()
	synctest.Wait()
	return left
}

// Guards against the loss of an answer that the engine has completed and whose entry,
// after its connection broke, asks for the rest while the agent stops.
func TestStopWaitsForAnswerThatCanBeResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := interruptedRun(t)
		left := startWait(t, a)
		if len(left) > 0 {
			t.Error("the stop ended before the rest of the answer was read")
		}
		url := fmt.Sprintf("%s%s?%s=%d", wire.PathRuns, resumableRequest, wire.QueryOffset, len(answerStart))
		recorder := httptest.NewRecorder()
		began := time.Now()
		a.Handler().ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody))
		if recorder.Body.String() != answerRest {
			t.Errorf("got status %d and the rest %q, want %q", recorder.Code, recorder.Body, answerRest)
		}
		if n := <-left; n != 0 || !time.Now().Equal(began) {
			t.Errorf("the stop ended with %d requests left, %v after the rest was read; want none, at once", n, time.Since(began))
		}
		time.Sleep(2 * reattachLease)
	})
}

// Guards against a stop that waits without end for an entry that never asks for the rest
// of an answer.
func TestStopLeavesAnswerWhoseLeaseHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := interruptedRun(t)
		began := time.Now()
		if n := <-startWait(t, a); n != 0 || time.Since(began) > reattachLease {
			t.Errorf("the stop ended with %d requests left after %v; want none, after at most %v", n, time.Since(began), reattachLease)
		}
		time.Sleep(2 * reattachLease)
	})
}

// Guards against a stop that waits for the answer to a request whose caller has left.
func TestStopLeavesCancelledRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := interruptedRun(t)
		began := time.Now()
		a.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodDelete, wire.PathRuns+resumableRequest, http.NoBody))
		if n := <-startWait(t, a); n != 0 || !time.Now().Equal(began) {
			t.Errorf("the stop ended with %d requests left after %v; want none, at once", n, time.Since(began))
		}
		time.Sleep(2 * reattachLease)
	})
}

// Guards against a run that stays in flight for ever because the answer of its engine has a
// status that is not final, which is not passed on.
func TestStopLeavesRunWithoutFinalStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := roundTripper(func(*http.Request) (*http.Response, error) {
			return engineAnswer(http.StatusSwitchingProtocols, answerStart+answerRest), nil
		})
		a := New(Options{Server: "s", Slots: 1, Queue: 1}, &http.Client{Transport: engine}, zap.NewNop())
		ref, err := catalogue.ParseRef("m@1")
		if err != nil {
			t.Fatal(err)
		}
		recorder := httptest.NewRecorder()
		func() {
			defer recoverAbort()
			answer.Handler(func(r *http.Request) answer.Answer {
				return a.start(r, ref, []byte(`{}`), func() {}).answerFrom(r.Context(), 0)
			}).ServeHTTP(recorder, engineRequest(t.Context(), "m@1"))
		}()
		if got := recorder.Header().Get(outcome.Header); got != outcome.Unknown.String() {
			t.Errorf("got outcome %q, want unknown", got)
		}
		if n := <-startWait(t, a); n != 0 {
			t.Errorf("the stop ended with %d requests left, want none", n)
		}
		time.Sleep(2 * reattachLease)
	})
}
