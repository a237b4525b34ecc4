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

// waitingEdge reads a caller's patience, and nothing else.
type waitingEdge struct{}

func (waitingEdge) Parse(r *http.Request) Call {
	millis, _ := strconv.Atoi(r.Header.Get("Patience"))
	return Call{ID: "r", Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: http.Header{}, Patience: time.Duration(millis) * time.Millisecond}
}
func (waitingEdge) Forward(*Call, Hop) http.Header  { return http.Header{} }
func (waitingEdge) Judge(int, http.Header) Verdict  { return Verdict{Signed: true} }
func (waitingEdge) IDHeader() string                { return "Request-Id" }
func decodeNothing([]byte) (*route.Document, error) { return &route.Document{}, nil }

// ask sends one request and returns how long the answer took.
func ask(g *Gateway, patience time.Duration) (*httptest.ResponseRecorder, time.Duration) {
	r := httptest.NewRequest(http.MethodGet, "/x/", nil)
	r.Header.Set("Patience", strconv.FormatInt(patience.Milliseconds(), 10))
	w := httptest.NewRecorder()
	from := time.Now()
	g.ServeHTTP(w, r)
	return w, time.Since(from)
}

// All entries restart, and requests come before the configuration is there, or while it may be an old one. They must
// wait, as long as they can still come back; an entry that has been up for long refuses them at once.
func TestRequestsWaitForTheConfigurationOfAnEntryThatHasJustStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		documents := mesh.NewDocuments(decodeNothing, zap.NewNop())
		m := mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}}, documents, zap.NewNop())
		g := New(Options{Heartbeat: time.Second}, waitingEdge{}, m, zap.NewNop())
		if w, took := ask(g, 600*time.Millisecond); w.Code != http.StatusServiceUnavailable || took != 200*time.Millisecond || w.Header().Get("Retry-After") == "" {
			t.Errorf("without a configuration it got %d after %v", w.Code, took)
		}
		documents.Take(document.State{Index: 1, Version: 1, Body: []byte("{}")}, "test")
		if w, took := ask(g, 600*time.Millisecond); w.Code != http.StatusServiceUnavailable || took != 200*time.Millisecond {
			t.Errorf("with a configuration that may be an old one it got %d after %v", w.Code, took)
		}
		time.AfterFunc(100*time.Millisecond, func() { documents.Confirm() })
		if w, took := ask(g, 6*time.Second); w.Code != http.StatusNotFound || took > 100*time.Millisecond+2*lookInterval {
			t.Errorf("with a configuration that is confirmed after 100 ms it got %d after %v", w.Code, took)
		}
		// The room's own goroutine ends with its next look.
		time.Sleep(2 * lookInterval)
	})
	synctest.Test(t, func(t *testing.T) {
		m := mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}}, mesh.NewDocuments(decodeNothing, zap.NewNop()), zap.NewNop())
		g := New(Options{Heartbeat: time.Second}, waitingEdge{}, m, zap.NewNop())
		time.Sleep(settleHeartbeats * time.Second)
		if w, took := ask(g, 6*time.Second); w.Code != http.StatusServiceUnavailable || took != 0 {
			t.Errorf("an entry that is up for long gave %d after %v", w.Code, took)
		}
	})
}

// What waits is bounded: beyond that a request is refused at once, and callers that leave make room.
func TestTheRoomIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoom(time.Minute)
		ctx, cancel := context.WithCancel(t.Context())
		var ended atomic.Int64
		never := func() bool { return false }
		for range roomSize {
			go func() {
				r.await(ctx, time.Now().Add(time.Minute), never)
				ended.Add(1)
			}()
		}
		synctest.Wait()
		from := time.Now()
		if r.await(t.Context(), from.Add(time.Minute), never) || time.Since(from) != 0 {
			t.Errorf("one too many waited for %v", time.Since(from))
		}
		cancel()
		synctest.Wait()
		if ended.Load() != roomSize {
			t.Errorf("%d of %d callers that left are let go", ended.Load(), roomSize)
		}
		if !r.await(t.Context(), time.Now().Add(time.Minute), func() bool { return true }) {
			t.Error("nobody waits and there is no room")
		}
		time.Sleep(2 * lookInterval)
	})
}
