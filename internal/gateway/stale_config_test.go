package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
)

// decodeRoute decodes a configuration whose body is the prefix of its only route; the length of
// that prefix is the limit for request bodies.
func decodeRoute(body []byte) (*route.Document, error) {
	return &route.Document{
		Routes: []route.Route{{Host: "example.com", Prefix: string(body), Kind: route.KindSafe, Timeout: time.Second, Split: []route.Share{{Service: "s", Weight: 1}}}},
		Bounds: route.Bounds{BodyBytes: int64(len(body))}, Services: []route.Service{{Name: "s"}},
	}, nil
}

// newStaleGateway returns a gateway that holds a configuration with the route /old/. newest
// stands for the query to the members of the log.
func newStaleGateway(t *testing.T, newest func(*mesh.Documents) bool) *Gateway {
	t.Helper()
	documents := mesh.NewDocuments(decodeRoute, zap.NewNop())
	documents.Apply(document.State{Index: 1, Version: 1, Body: []byte("/old/")}, "test")
	documents.Confirm()
	m := mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}}, documents, zap.NewNop())
	return New(Options{ConfirmNewest: func(context.Context) bool { return newest(documents) }}, maxWaitEdge{}, m, zap.NewNop())
}

// An entry that was partitioned or suspended lacks a change. A caller that it refuses
// permanently according to its old configuration does not retry, although the newer
// configuration serves its request.
func TestStaleConfigurationDoesNotRefusePermanently(t *testing.T) {
	newer := document.State{Index: 2, Version: 2, Body: []byte("/added-route/")}
	tests := []struct {
		name, path, body string
		newest           func(*mesh.Documents) bool
		status           int
		reason           string
	}{
		{"no route, newest not confirmed", "/added-route/x", "", func(*mesh.Documents) bool { return false }, http.StatusServiceUnavailable, reasonStaleConfig},
		{"no route, newer configuration has it", "/added-route/x", "", func(d *mesh.Documents) bool { d.Apply(newer, "test"); return true }, http.StatusServiceUnavailable, "no backend server"},
		{"no route in the newest configuration", "/never/x", "", func(*mesh.Documents) bool { return true }, http.StatusNotFound, "no route"},
		{"body too large, newest not confirmed", "/old/x", "123456", func(*mesh.Documents) bool { return false }, http.StatusServiceUnavailable, reasonStaleConfig},
		{"body too large, newer configuration allows it", "/old/x", "123456", func(d *mesh.Documents) bool { d.Apply(newer, "test"); return true }, http.StatusServiceUnavailable, reasonStaleConfig},
		{"body too large for the newest configuration", "/old/x", "123456", func(*mesh.Documents) bool { return true }, http.StatusRequestEntityTooLarge, "larger"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newStaleGateway(t, test.newest)
				r := httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(test.body))
				r.Header.Set("Max-Wait", "900")
				w := httptest.NewRecorder()
				g.ServeHTTP(w, r)
				if w.Code != test.status || !strings.Contains(w.Body.String(), test.reason) {
					t.Errorf("got %d %q, want %d for %q", w.Code, w.Body.String(), test.status, test.reason)
				}
				if refused := w.Code == http.StatusServiceUnavailable; refused != (w.Header().Get("Retry-After") != "") {
					t.Errorf("got %d with Retry-After %q", w.Code, w.Header().Get("Retry-After"))
				}
				time.Sleep(time.Second)
			})
		})
	}
}
