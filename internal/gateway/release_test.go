package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
)

// plainEdge is an Edge with only the headers that these tests need.
type plainEdge struct{}

func (plainEdge) Parse(r *http.Request) Call {
	return Call{ID: r.Header.Get("Id"), Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: http.Header{"Id": r.Header["Id"]}, SharedParts: r.Header["Part"]}
}

func (plainEdge) Forward(c *Call, hop Hop) http.Header {
	header := c.Header.Clone()
	header.Set("Behind", hop.LastEvent)
	return header
}

func (plainEdge) Classify(_ int, header http.Header) Verdict {
	return Verdict{Signed: header.Get("Signed") != "", NotRun: header.Get("Not-Run") != ""}
}

func (plainEdge) IDHeader() string { return "Id" }

// respond and abortAfter return handlers that define a server's behaviour in these tests.
func respond(status int, header, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header, "yes")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func abortAfter(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		respond(http.StatusOK, "Signed", body)(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// newTestGateway returns a gateway with four servers; the handlers serve the requests one after
// the other, the last one all that follow.
func newTestGateway(t *testing.T, handlers []http.HandlerFunc) *Gateway {
	t.Helper()
	documents := mesh.NewDocuments(func([]byte) (*route.Document, error) {
		split := []route.Share{{Service: "desk", Weight: 1}}
		return &route.Document{Version: 1, Services: []route.Service{{Name: "desk"}}, Routes: []route.Route{
			{Host: "h", Prefix: "/look/", Kind: route.KindSafe, Timeout: time.Minute, Target: time.Second, Split: split, Attempts: 2},
			{Host: "h", Prefix: "/brief/", Kind: route.KindStream, Resumable: true, Timeout: 3 * time.Second, Target: time.Second, Split: split, Attempts: 3},
			{Host: "h", Prefix: "/draft/", Kind: route.KindStream, Resumable: true, Timeout: time.Minute, Target: time.Second, Split: split, Attempts: 3},
		}}, nil
	}, zap.NewNop())
	m := mesh.New(mesh.Options{Self: mesh.Process{Name: "entry", Address: "127.0.0.1:1", Entry: true, Started: 1}}, documents, zap.NewNop())
	g := New(Options{AgentPort: "1", RepeatRatio: 0.2, RepeatSlack: 20}, plainEdge{}, m, zap.NewNop())
	documents.Apply(document.State{Index: 1, Version: 1, Body: []byte("{}")}, "test")
	documents.Confirm()
	var requests atomic.Int64
	for i := range 4 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			handlers[min(int(requests.Add(1)), len(handlers))-1](w, r)
		}))
		t.Cleanup(server.Close)
		announced := roster.Server{ID: fmt.Sprint("s", i), Born: 1, Sequence: 1, Service: "desk", Address: server.Listener.Addr().String(), Slots: 8}
		if err := m.Announce(context.Background(), announced); err != nil {
			t.Fatal(err)
		}
	}
	return g
}

// A request can end in many ways, at the first server or a later one. What it holds at each
// server that it was sent to must be released: an entry that keeps counting it would
// overestimate the load of that server forever.
func TestRequestReleasesServers(t *testing.T) {
	const event = "id: %d\ndata: word\n\n"
	first, second := fmt.Sprintf(event, 1), fmt.Sprintf(event, 2)
	fails, refuses := respond(http.StatusInternalServerError, "Signed", "failed"), respond(http.StatusServiceUnavailable, "Not-Run", "full")
	tests := map[string]struct {
		path     string
		handlers []http.HandlerFunc
	}{
		"a complete answer":                {"/look/", []http.HandlerFunc{respond(http.StatusOK, "Signed", "body")}},
		"an answer that broke off":         {"/look/", []http.HandlerFunc{abortAfter("part")}},
		"a failure":                        {"/look/", []http.HandlerFunc{fails}},
		"a refusal":                        {"/look/", []http.HandlerFunc{refuses}},
		"an unsigned answer":               {"/look/", []http.HandlerFunc{respond(http.StatusOK, "Other", "body")}},
		"a complete stream":                {"/draft/", []http.HandlerFunc{respond(http.StatusOK, "Signed", first)}},
		"a stream without an event":        {"/draft/", []http.HandlerFunc{abortAfter("")}},
		"a stream that breaks off":         {"/draft/", []http.HandlerFunc{abortAfter(first)}},
		"a stream that is resumed":         {"/draft/", []http.HandlerFunc{abortAfter(first), respond(http.StatusOK, "Signed", second)}},
		"a stream that cannot be resumed":  {"/draft/", []http.HandlerFunc{abortAfter(first), fails, refuses, fails}},
		"a stream that starts over":        {"/draft/", []http.HandlerFunc{abortAfter(first), respond(http.StatusOK, "Signed", first)}},
		"a stream that becomes a redirect": {"/draft/", []http.HandlerFunc{abortAfter(first), respond(http.StatusFound, "Signed", "there")}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t, test.handlers)
			r := httptest.NewRequest(http.MethodPost, "http://h"+test.path, strings.NewReader(""))
			r.Header.Set("Id", "r1")
			func() {
				// An aborted answer panics so that net/http closes the connection.
				defer func() {
					if cut := recover(); cut != nil && cut != http.ErrAbortHandler {
						panic(cut)
					}
				}()
				g.ServeHTTP(httptest.NewRecorder(), r)
			}()
			g.servers.mu.Lock()
			defer g.servers.mu.Unlock()
			if len(g.servers.byID) == 0 {
				t.Error("no server is known")
			}
			for id, v := range g.servers.byID {
				if v.inflight != 0 {
					t.Errorf("%d requests still count as in flight at %s", v.inflight, id)
				}
			}
		})
	}
}

// Callers leave in the middle of their streams. Their servers did not fail: an entry that
// counts it as a failure sends its next callers elsewhere.
func TestCallerCancelIsNotServerFailure(t *testing.T) {
	const event = "id: 1\ndata: word\n\n"
	ctx, leave := context.WithCancel(context.Background())
	g := newTestGateway(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		respond(http.StatusOK, "Signed", event)(w, r)
		_ = http.NewResponseController(w).Flush()
		leave()
		<-r.Context().Done()
	}})
	r := httptest.NewRequest(http.MethodPost, "http://h/draft/", strings.NewReader("")).WithContext(ctx)
	r.Header.Set("Id", "r1")
	func() {
		defer func() { _ = recover() }()
		g.ServeHTTP(httptest.NewRecorder(), r)
	}()
	g.servers.mu.Lock()
	defer g.servers.mu.Unlock()
	for id, v := range g.servers.byID {
		if share := v.health.FailureShare(time.Now()); share != 0 {
			t.Errorf("%s has a failure share of %.2f", id, share)
		}
	}
}
