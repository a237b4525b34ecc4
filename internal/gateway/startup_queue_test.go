package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
)

// maxWaitEdge reads only how long a caller waits.
type maxWaitEdge struct{}

func (maxWaitEdge) Parse(r *http.Request) Call {
	millis, _ := strconv.Atoi(r.Header.Get("Max-Wait"))
	return Call{ID: "r", Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: http.Header{}, MaxWait: time.Duration(millis) * time.Millisecond}
}
func (maxWaitEdge) Forward(*Call, Hop) http.Header    { return http.Header{} }
func (maxWaitEdge) Classify(int, http.Header) Verdict { return Verdict{Signed: true} }
func (maxWaitEdge) IDHeader() string                  { return "Request-Id" }
func decodeEmpty([]byte) (*route.Document, error)     { return &route.Document{}, nil }

// serve sends one request and returns how long the answer took.
func serve(g *Gateway, maxWait time.Duration) (*httptest.ResponseRecorder, time.Duration) {
	r := httptest.NewRequest(http.MethodGet, "/x/", nil)
	r.Header.Set("Max-Wait", strconv.FormatInt(maxWait.Milliseconds(), 10))
	w := httptest.NewRecorder()
	start := time.Now()
	g.ServeHTTP(w, r)
	return w, time.Since(start)
}

// All entries restart, and requests arrive before the configuration, or while it may be
// outdated. They must wait as long as their callers can still retry in time afterwards. An
// entry that has been up for long must refuse them at once.
func TestStartupWaitForConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		documents := mesh.NewDocuments(decodeEmpty, zap.NewNop())
		m := mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}}, documents, zap.NewNop())
		g := New(Options{Heartbeat: time.Second}, maxWaitEdge{}, m, zap.NewNop())
		if w, took := serve(g, 600*time.Millisecond); w.Code != http.StatusServiceUnavailable || took != 200*time.Millisecond || w.Header().Get("Retry-After") == "" {
			t.Errorf("without a configuration: got %d after %v", w.Code, took)
		}
		documents.Apply(document.State{Index: 1, Version: 1, Body: []byte("{}")}, "test")
		if w, took := serve(g, 600*time.Millisecond); w.Code != http.StatusServiceUnavailable || took != 200*time.Millisecond {
			t.Errorf("with an unconfirmed configuration: got %d after %v", w.Code, took)
		}
		time.AfterFunc(100*time.Millisecond, func() { documents.Confirm() })
		if w, took := serve(g, 6*time.Second); w.Code != http.StatusNotFound || took > 100*time.Millisecond+2*recheckInterval {
			t.Errorf("with a configuration confirmed after 100 ms: got %d after %v", w.Code, took)
		}
		// The queue's goroutine ends at its next interval.
		time.Sleep(2 * recheckInterval)
	})
	synctest.Test(t, func(t *testing.T) {
		m := mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}}, mesh.NewDocuments(decodeEmpty, zap.NewNop()), zap.NewNop())
		g := New(Options{Heartbeat: time.Second}, maxWaitEdge{}, m, zap.NewNop())
		time.Sleep(settleHeartbeats * time.Second)
		if w, took := serve(g, 6*time.Second); w.Code != http.StatusServiceUnavailable || took != 0 {
			t.Errorf("an entry that has been up for long answered %d after %v", w.Code, took)
		}
	})
}

// The number of waiting requests is limited: further ones are refused at once, and callers that
// leave free their places.
func TestStartupQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newStartupQueue(time.Minute)
		ctx, cancel := context.WithCancel(t.Context())
		var ended atomic.Int64
		never := func() bool { return false }
		for range startupQueueSize {
			go func() {
				q.await(ctx, time.Now().Add(time.Minute), never)
				ended.Add(1)
			}()
		}
		synctest.Wait()
		from := time.Now()
		if q.await(t.Context(), from.Add(time.Minute), never) || time.Since(from) != 0 {
			t.Errorf("a request beyond the limit waited for %v", time.Since(from))
		}
		cancel()
		synctest.Wait()
		if ended.Load() != startupQueueSize {
			t.Errorf("%d of %d requests ended after their callers left", ended.Load(), startupQueueSize)
		}
		if !q.await(t.Context(), time.Now().Add(time.Minute), func() bool { return true }) {
			t.Error("the queue refuses a request although none is waiting")
		}
		time.Sleep(2 * recheckInterval)
	})
}
