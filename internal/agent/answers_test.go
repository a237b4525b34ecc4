package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// testTimeout bounds operations that are expected to end. No test waits for it.
const testTimeout = time.Minute

// startRawEngine starts an engine whose responses are written byte by byte:
// serve gets each connection with its number.
func startRawEngine(t *testing.T, serve func(connection int, conn net.Conn, requests *bufio.Reader)) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for connection := 0; ; connection++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(connection, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// readRequest reads one request and its body. It returns false if the
// connection ended.
func readRequest(requests *bufio.Reader) bool {
	r, err := http.ReadRequest(requests)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
}

// startRunServer starts a server that passes each request to an engine without
// acquiring a slot, and serves the run's answer and its continuation.
func startRunServer(t *testing.T, url string) (a *Agent, server *httptest.Server) {
	t.Helper()
	a = New(Options{Server: "s", Slots: 1, Queue: 1, Engine: url, LoadTimeout: testTimeout}, relay.NewClient(testTimeout), zap.NewNop())
	ref, err := catalogue.ParseRef("m@1")
	if err != nil {
		t.Fatal(err)
	}
	rest := a.Handler()
	begin := answer.Handler(func(r *http.Request) answer.Answer {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return answer.Answer{}
		}
		return a.start(r, ref, body, func() {}).answerFrom(r.Context(), 0)
	})
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			begin.ServeHTTP(w, r)
			return
		}
		rest.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return a, server
}

// callAgent sends one request to an agent as an entry does.
func callAgent(t *testing.T, server *httptest.Server, id string) (status int, body string, err error) {
	t.Helper()
	r := engineRequest(t.Context(), "m@1")
	request, err := http.NewRequestWithContext(t.Context(), r.Method, server.URL+r.URL.Path, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(wire.HeaderRequestID, id)
	response, err := server.Client().Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// An entry sends its request and closes its side of the connection, or the
// connection breaks in one direction only, while the engine still works. The
// agent must not send a 200 with an empty body framed as complete, which would
// look like an engine's empty answer.
func TestHalfClosedReaderGetsNoAnswer(t *testing.T) {
	requestRead := make(chan struct{})
	url := startRawEngine(t, func(_ int, _ net.Conn, requests *bufio.Reader) {
		if readRequest(requests) {
			close(requestRead)
			_ = readRequest(requests)
		}
	})
	_, server := startRunServer(t, url)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: a\r\n%s: r1\r\nContent-Length: 2\r\n\r\n{}", wire.HeaderRequestID)
	<-requestRead
	_ = conn.(*net.TCPConn).CloseWrite()
	got, err := io.ReadAll(conn)
	if len(got) != 0 {
		t.Errorf("the agent answered %q, %v; want nothing", got, err)
	}
}

// An engine sends the answer to a request twice, the second time while the next
// request is already in progress. Both answers name the same adapter, so on a
// reused connection the second caller would get the first caller's text.
func TestDuplicateAnswerIsNotUsedForNextRequest(t *testing.T) {
	text := func(n int) string {
		body := fmt.Sprintf(`{"model":"m@1","text":"of request %d"}`, n)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	url := startRawEngine(t, func(connection int, conn net.Conn, requests *bufio.Reader) {
		for n := connection + 1; readRequest(requests); n++ {
			if n > connection+1 {
				_, _ = io.WriteString(conn, text(n-1))
			}
			_, _ = io.WriteString(conn, text(n))
		}
	})
	_, server := startRunServer(t, url)
	for n := 1; n <= 3; n++ {
		_, body, err := callAgent(t, server, fmt.Sprint("r", n))
		if want := fmt.Sprintf("of request %d", n); err != nil || !strings.Contains(body, want) {
			t.Errorf("request %d got %q, %v", n, body, err)
		}
	}
}

func newOrderClient(url string) *orderClient {
	return &orderClient{
		base: url, client: relay.NewClient(testTimeout), timeout: testTimeout, fencing: newFencingNumber(nil), onSuperseded: func() {},
	}
}

// An engine sends a late duplicate of its report while an order is in progress,
// and then refuses the order. If the status 200 of the report were taken for
// the result of the order, the agent would count an adapter as loaded that is
// not.
func TestLateReportIsNotUsedAsOrderResult(t *testing.T) {
	const report = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	url := startRawEngine(t, func(connection int, conn net.Conn, requests *bufio.Reader) {
		if connection == 0 && readRequest(requests) {
			_, _ = io.WriteString(conn, report)
		}
		for readRequest(requests) {
			if connection == 0 {
				_, _ = io.WriteString(conn, report)
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 409 Full\r\nContent-Length: 0\r\n\r\n")
		}
	})
	c := newOrderClient(url)
	if _, err := c.report(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := c.load(t.Context(), catalogue.Ref{Adapter: "m", Version: "1"}, "store"); refusalStatus(err) != http.StatusConflict {
		t.Errorf("order returned %v, want status 409", err)
	}
}

// An engine that is starting or failing answers the report request with an
// error. If that were read as a report, it would look like another incarnation
// without adapters, and all loaded adapters would be loaded again.
func TestErrorResponseIsNotAReport(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 503 Starting\r\nContent-Length: 20\r\n\r\n{\"error\":\"starting\"}",
		"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{\"incarnation\":1,\"capacity\":4}",
	} {
		url := startRawEngine(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
			for readRequest(requests) {
				_, _ = io.WriteString(conn, text)
			}
		})
		report, err := newOrderClient(url).report(t.Context())
		if valid := strings.Contains(text, "incarnation"); (err == nil) != valid {
			t.Errorf("%q was parsed as %+v, %v", text, report, err)
		}
	}
}

// An engine delimits its answer by closing the connection, and crashes: the
// operating system closes the connection regularly. A stream is complete after
// its last event, an object after its last brace. Anything less must not reach
// the caller as a complete answer.
func TestCloseDelimitedAnswerIsVerifiedComplete(t *testing.T) {
	const (
		event  = "data: {\"model\":\"m@1\",\"text\":\"a\"}\n\n"
		done   = "data: [DONE]\n\n"
		object = `{"model":"m@1","choices":[{"text":"}"}]}`
		json   = "application/json"
		events = "text/event-stream"
	)
	tests := []struct {
		name, contentType, body string
		status                  int
		complete                bool
	}{
		{"stream", events, event + event + done, 200, true},
		{"stream with CRLF line ends", events, strings.ReplaceAll(event+done, "\n", "\r\n"), 200, true},
		{"stream without its last event", events, event + event, 200, false},
		{"stream cut within an event", events, event + event[:20], 200, false},
		{"stream cut within its last event", events, event + done[:len(done)-1], 200, false},
		{"stream with the end marker in a text", events, event + "data: {\"text\":\"data: [DONE]\"}\n\n", 200, false},
		{"object", json, object + "\n", 200, true},
		{"object without its last brace", json, object[:len(object)-1], 200, false},
		{"object cut within a string", json, object[:len(object)-4], 200, false},
		{"object followed by more data", json, object + object[:5], 200, false},
		{"error response", json, `{"error":{"message":"no"}}`, 500, true},
		{"error response cut", json, `{"error":{"message":"n`, 500, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			url := startRawEngine(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
				if readRequest(requests) {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Type: %s\r\n\r\n%s", test.status, test.contentType, test.body)
				}
			})
			_, server := startRunServer(t, url)
			status, body, err := callAgent(t, server, "r1")
			if test.complete && (err != nil || status != test.status || body != test.body) {
				t.Errorf("complete answer arrived as %d %q, %v", status, body, err)
			}
			if !test.complete && err == nil && status == test.status {
				t.Errorf("truncated answer looks complete: %d %q", status, body)
			}
		})
	}
}

// An engine declares the length of its answer. The reader must get the same
// length, or the remaining length after an offset, so that it need not rely on
// the end of the connection.
func TestContentLengthIsForwarded(t *testing.T) {
	const body = `{"model":"m@1","text":"hello"}`
	url := startRawEngine(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		if readRequest(requests) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
	_, server := startRunServer(t, url)
	if _, got, err := callAgent(t, server, "r1"); err != nil || got != body {
		t.Fatalf("got %q, %v", got, err)
	}
	for offset := range len(body) + 1 {
		response, err := server.Client().Get(fmt.Sprintf("%s%sr1?%s=%d", server.URL, wire.PathRuns, wire.QueryOffset, offset))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || string(got) != body[offset:] || response.ContentLength != int64(len(got)) {
			t.Errorf("offset %d: got %q with Content-Length %d, %v", offset, got, response.ContentLength, err)
		}
	}
}
