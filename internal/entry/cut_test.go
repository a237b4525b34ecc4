package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/loopback"
)

// cutPoint is the step at which the connection to a backend server is cut.
type cutPoint int

const (
	cutNever cutPoint = iota
	cutDial
	cutAtFirstByte
	cutAfterHeaders
	cutMidBody
	cutAfterBody
	cutMidAnswer
)

// cuttingServer is a plain service whose connections are cut at one step. It runs a
// call once it has received the complete body, which is the worst case for the
// caller.
type cuttingServer struct {
	addr string
	cut  cutPoint
	mu   sync.Mutex
	ran  int
}

func startCuttingServer(t *testing.T, cut cutPoint) *cuttingServer {
	t.Helper()
	if cut == cutDial {
		refuser, err := loopback.NewRefuser()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = refuser.Close() })
		return &cuttingServer{addr: refuser.Address(), cut: cut}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &cuttingServer{addr: listener.Addr().String(), cut: cut}
	t.Cleanup(func() { _ = listener.Close() })
	go s.accept(listener)
	return s
}

func (s *cuttingServer) address() string { return s.addr }

func (s *cuttingServer) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *cuttingServer) serve(conn net.Conn) {
	defer conn.Close()
	if s.cut == cutAtFirstByte {
		_, _ = conn.Read(make([]byte, 1))
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil || s.cut == cutAfterHeaders {
		return
	}
	if s.cut == cutMidBody {
		_, _ = io.CopyN(io.Discard, request.Body, request.ContentLength/2)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.ran++
	s.mu.Unlock()
	if s.cut == cutAfterBody {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwh")
	if s.cut != cutMidAnswer {
		_, _ = io.WriteString(conn, "ole")
	}
}

func (s *cuttingServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran
}

// The connection to a backend server is cut at one step of a call. If "not run" were
// reported although the call ran, the caller would book a second truck; if half of
// an answer looked complete, the caller would lose the rest without noticing.
func TestOutcomeIsCorrectAtEachCutPoint(t *testing.T) {
	cases := []struct {
		name string
		cut  cutPoint
		path string
		// want is the outcome reported to the caller; the second server never
		// breaks off.
		want   outcome.Outcome
		broken bool
		second int
	}{
		{"dial", cutDial, "/once", outcome.Answered, false, 1},
		{"at the first byte", cutAtFirstByte, "/once", outcome.Unknown, false, 0},
		{"after the headers", cutAfterHeaders, "/once", outcome.Unknown, false, 0},
		{"in the body", cutMidBody, "/once", outcome.Unknown, false, 0},
		{"after the body", cutAfterBody, "/once", outcome.Unknown, false, 0},
		{"in the answer", cutMidAnswer, "/once", outcome.Unknown, true, 0},
		{"idempotent, dial", cutDial, "/again", outcome.Answered, false, 1},
		{"idempotent, at the first byte", cutAtFirstByte, "/again", outcome.Answered, false, 1},
		{"idempotent, in the body", cutMidBody, "/again", outcome.Answered, false, 1},
		{"idempotent, after the body", cutAfterBody, "/again", outcome.Answered, false, 1},
		{"idempotent, in the answer", cutMidAnswer, "/again", outcome.Unknown, true, 0},
	}
	body := strings.Repeat("x", 1<<20)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, second := startCuttingServer(t, c.cut), startCuttingServer(t, cutNever)
			_, server := newEntry(t, entry.Options{}, newSource(service("first", first.address(), 0), service("second", second.address(), 9)))
			got := call(t, server, http.MethodPost, "/services/desk"+c.path, "", body)
			if got.cut != c.broken || !c.broken && got.outcome != c.want {
				t.Errorf("outcome %v, cut %v; want %v, cut %v", got.outcome, got.cut, c.want, c.broken)
			}
			if got.outcome == outcome.NotRun && first.count()+second.count() > 0 {
				t.Error("outcome is not-run, but the call ran")
			}
			if second.count() != c.second {
				t.Errorf("the second server ran %d calls, want %d", second.count(), c.second)
			}
			if c.path == "/once" && first.count()+second.count() > 1 {
				t.Error("the call ran twice")
			}
		})
	}
}

// Every server refuses the connection. The answer must report that the caller may
// safely send its deposit again, and when.
func TestNoServerReachedIsNotRun(t *testing.T) {
	first := startCuttingServer(t, cutDial)
	_, server := newEntry(t, entry.Options{}, newSource(service("first", first.address(), 0)))
	got := call(t, server, http.MethodPost, "/services/desk/once", "", "x")
	if got.outcome != outcome.NotRun || got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("outcome %v, status %d, Retry-After %q; want not-run, 503 and a Retry-After", got.outcome, got.status, got.header.Get("Retry-After"))
	}
}

// A booking desk echoes its caller's headers, and the caller sent the system's own
// outcome header. If the entry trusted that header, it would run the booking on a
// second server.
func TestPlainServiceCannotReportNotRun(t *testing.T) {
	ran := 0
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran++
		w.Header().Set(outcome.Header, outcome.NotRun.String())
	})
	desk := startHandler(t, handler)
	_, server := newEntry(t, entry.Options{}, newSource(service("a", desk, 0), service("b", desk, 0)))
	got := call(t, server, http.MethodPost, "/services/desk/once", "", "x")
	if ran != 1 || got.outcome != outcome.Answered {
		t.Errorf("ran %d times, outcome %v; want 1 run, answered", ran, got.outcome)
	}
}

// A caller sets a timeout, and the server does not respond. The answer must not be
// delayed beyond the timeout, and must not invite a resend that could book twice.
func TestCallerTimeoutIsEnforced(t *testing.T) {
	release := make(chan struct{})
	desk := startHandler(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(func() { close(release) })
	_, server := newEntry(t, entry.Options{}, newSource(service("a", desk, 0)))
	for path, retryAfter := range map[string]string{"/once": "", "/again": "1"} {
		request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/services/desk"+path, strings.NewReader("x"))
		request.Header.Set("Authorization", "Bearer "+callerKey)
		request.Header.Set("X-Request-Timeout", "50ms")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		reported, _ := outcome.Parse(response.Header.Get(outcome.Header))
		if response.StatusCode != http.StatusGatewayTimeout || reported != outcome.Unknown || response.Header.Get("Retry-After") != retryAfter {
			t.Errorf("%s: status %d, outcome %v, Retry-After %q; want 504, unknown, and Retry-After only if idempotent", path, response.StatusCode, reported, response.Header.Get("Retry-After"))
		}
	}
}

// A dock terminal releases a pallet with a call without a body, and the service
// refuses bodies of unknown length. If the empty body were sent with an unknown
// length, the release would be lost.
func TestEmptyBodyIsSentWithLength(t *testing.T) {
	var encoding []string
	desk := startHandler(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		encoding = append(encoding, r.TransferEncoding...)
	}))
	_, server := newEntry(t, entry.Options{}, newSource(service("a", desk, 0)))
	for _, path := range []string{"/once", "/again"} {
		if got := call(t, server, http.MethodPost, "/services/desk"+path, "", ""); got.outcome != outcome.Answered {
			t.Errorf("%s: got %v, want an answer of the service", path, got)
		}
	}
	if len(encoding) != 0 {
		t.Errorf("the empty body was sent with Transfer-Encoding %v", encoding)
	}
}
