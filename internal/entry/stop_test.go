package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/claim"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/relay"
)

// unreachableAfterBegin are claims that grant every call and cannot be reached for its end.
type unreachableAfterBegin struct{}

func (unreachableAfterBegin) Apply(ctx context.Context, command claim.Command) (claim.Reply, error) {
	if command.Begin != nil {
		return claim.Reply{Verdict: claim.Granted}, nil
	}
	<-ctx.Done()
	return claim.Reply{}, ctx.Err()
}

// Guards against an answer that a stop of the entry holds back until the end of its claim
// is recorded or the stop cuts it, although the server has answered; and against a stop
// that ends before the recording does.
func TestStopDelaysNoAnswerForItsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var e *entry.Entry
		stopped := make(chan time.Time, 1)
		serve := func(conn net.Conn) {
			defer conn.Close()
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			go func() {
				if left := e.Wait(t.Context()); left != 0 {
					t.Errorf("the stop left %d requests", left)
				}
				stopped <- time.Now()
			}()
			synctest.Wait()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone")
		}
		dial := func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go serve(server)
			return client, nil
		}
		client := &http.Client{Transport: relay.NewTransportOver(dial)}
		e = entry.New(entry.Options{Claims: unreachableAfterBegin{}}, newSource(service("a", "a.test", 0)), client, zap.NewNop())
		request := httptest.NewRequest(http.MethodPost, "/services/desk/once", strings.NewReader("x"))
		request.Header.Set("Authorization", "Bearer "+callerKey)
		request.Header.Set("Idempotency-Key", "k")
		recorder := httptest.NewRecorder()
		began := time.Now()
		e.Handler().ServeHTTP(recorder, request)
		answered := time.Now()
		if got := recorder.Header().Get(outcome.Header); got != outcome.Answered.String() {
			t.Errorf("outcome %q, want answered; body %s", got, recorder.Body)
		}
		const finishTimeout, settleTimeout = time.Second, time.Minute
		if delay := answered.Sub(began); delay > finishTimeout {
			t.Errorf("the answer was held back for %v, want at most %v", delay, finishTimeout)
		}
		if waited := (<-stopped).Sub(began); waited < finishTimeout+settleTimeout {
			t.Errorf("the stop ended after %v, before the attempt to record the answer", waited)
		}
	})
}

// Guards against a stop that ends before the agent of a request whose caller left has been
// told, so that its engine works on in vain.
func TestStopWaitsForCancelOfRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		told := make(chan struct{})
		serve := func(conn net.Conn) {
			defer conn.Close()
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if request.Method == http.MethodDelete {
				<-told
				_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
				return
			}
			<-t.Context().Done()
		}
		dial := func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go serve(server)
			return client, nil
		}
		client := &http.Client{Transport: relay.NewTransportOver(dial)}
		e := entry.New(entry.Options{}, newSource(engineServer("a", "a.test")), client, zap.NewNop())
		caller, leave := context.WithCancel(t.Context())
		request := httptest.NewRequestWithContext(caller, http.MethodPost, "/v1/completions", strings.NewReader(completion("x", 2, false)))
		request.Header.Set("Authorization", "Bearer "+callerKey)
		go func() {
			defer func() {
				// A response that is not complete is aborted with this panic.
				if reason := recover(); reason != nil && reason != http.ErrAbortHandler {
					panic(reason)
				}
			}()
			e.Handler().ServeHTTP(httptest.NewRecorder(), request)
		}()
		synctest.Wait()
		leave()
		left := make(chan int, 1)
		go func() { left <- e.Wait(t.Context()) }()
		synctest.Wait()
		if len(left) > 0 {
			t.Error("the stop ended before the agent was told")
		}
		close(told)
		if n := <-left; n != 0 {
			t.Errorf("the stop left %d requests", n)
		}
	})
}
