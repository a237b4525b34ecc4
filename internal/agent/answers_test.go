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

// testPatience bounds what is expected to end; no test waits for it.
const testPatience = time.Minute

// rawEngine is an engine that writes its answers byte by byte: serve gets each
// connection with its number.
func rawEngine(t *testing.T, serve func(connection int, conn net.Conn, requests *bufio.Reader)) (url string) {
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

// readRequest reads one request and its body; false means that the connection
// ended.
func readRequest(requests *bufio.Reader) bool {
	r, err := http.ReadRequest(requests)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
}

// startEngineRun sends one request past the slots to an engine, and serves the
// run's answer and its rest.
func startEngineRun(t *testing.T, url string) (a *Agent, server *httptest.Server) {
	t.Helper()
	a = New(Options{Server: "s", Slots: 1, Queue: 1, Engine: url, LoadTimeout: testPatience}, relay.NewClient(testPatience), zap.NewNop())
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

// engineCall is one request to an agent as an entry sends it.
func engineCall(t *testing.T, server *httptest.Server, id string) (status int, body string, err error) {
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

// An entry sends its request and closes its side of the connection, or its
// connection breaks on one side only, while the engine still works. It was
// answered 200 with an empty body, framed as complete, as by an engine that had
// nothing to say.
func TestAReaderThatLeavesIsNotAnswered(t *testing.T) {
	asked := make(chan struct{})
	url := rawEngine(t, func(_ int, _ net.Conn, requests *bufio.Reader) {
		if readRequest(requests) {
			close(asked)
			_ = readRequest(requests)
		}
	})
	_, server := startEngineRun(t, url)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: a\r\n%s: r1\r\nContent-Length: 2\r\n\r\n{}", wire.HeaderRequestID)
	<-asked
	_ = conn.(*net.TCPConn).CloseWrite()
	got, err := io.ReadAll(conn)
	if len(got) != 0 {
		t.Errorf("the agent answered %q, %v", got, err)
	}
}

// An engine sends the answer to a request twice, the second time when the next
// request is already at it. Both name the same adapter: the second caller was
// given the first one's text.
func TestALateCopyDoesNotAnswerTheNextRequest(t *testing.T) {
	text := func(n int) string {
		body := fmt.Sprintf(`{"model":"m@1","text":"of request %d"}`, n)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	url := rawEngine(t, func(connection int, conn net.Conn, requests *bufio.Reader) {
		for n := connection + 1; readRequest(requests); n++ {
			if n > connection+1 {
				_, _ = io.WriteString(conn, text(n-1))
			}
			_, _ = io.WriteString(conn, text(n))
		}
	})
	_, server := startEngineRun(t, url)
	for n := 1; n <= 3; n++ {
		_, body, err := engineCall(t, server, fmt.Sprint("r", n))
		if want := fmt.Sprintf("of request %d", n); err != nil || !strings.Contains(body, want) {
			t.Errorf("request %d got %q, %v", n, body, err)
		}
	}
}

func orderClientTo(url string) *orderClient {
	return &orderClient{
		base: url, client: relay.NewClient(testPatience), timeout: testPatience, fencing: newFencingNumber(nil), superseded: func() {},
	}
}

// An engine sends its report a second time, late, when an order is already at
// it, and refuses the order. The report's 200 passed for the order's: the agent
// believed an adapter loaded that was not there.
func TestALateReportDoesNotAnswerAnOrder(t *testing.T) {
	const report = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	url := rawEngine(t, func(connection int, conn net.Conn, requests *bufio.Reader) {
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
	c := orderClientTo(url)
	if _, err := c.report(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := c.load(t.Context(), catalogue.Ref{Adapter: "m", Version: "1"}, "store"); refusedBy(err) != http.StatusConflict {
		t.Errorf("the order ended with %v", err)
	}
}

// An engine that starts or is in trouble answers a failure where its report is
// due. Read as a report it says that the engine is another one, which holds no
// adapter: all that were loaded are loaded again.
func TestAFailureIsNoReport(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 503 Starting\r\nContent-Length: 20\r\n\r\n{\"error\":\"starting\"}",
		"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{\"incarnation\":1,\"capacity\":4}",
	} {
		url := rawEngine(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
			for readRequest(requests) {
				_, _ = io.WriteString(conn, text)
			}
		})
		report, err := orderClientTo(url).report(t.Context())
		if is := strings.Contains(text, "incarnation"); (err == nil) != is {
			t.Errorf("%q was read as %+v, %v", text, report, err)
		}
	}
}

// An engine ends its answer with its connection instead of a frame, and crashes:
// the system closes the connection in good order. A stream is whole behind its
// last event, an object behind its last brace; anything less must not reach the
// caller as a whole answer.
func TestAnAnswerThatEndsWithItsConnectionShowsThatItIsWhole(t *testing.T) {
	const (
		event  = "data: {\"model\":\"m@1\",\"text\":\"a\"}\n\n"
		done   = "data: [DONE]\n\n"
		object = `{"model":"m@1","choices":[{"text":"}"}]}`
		json   = "application/json"
		events = "text/event-stream"
	)
	tests := []struct {
		name, kind, body string
		status           int
		whole            bool
	}{
		{"stream", events, event + event + done, 200, true},
		{"stream with other line ends", events, strings.ReplaceAll(event+done, "\n", "\r\n"), 200, true},
		{"stream without its last event", events, event + event, 200, false},
		{"stream within an event", events, event + event[:20], 200, false},
		{"stream within its last event", events, event + done[:len(done)-1], 200, false},
		{"stream that speaks of its end", events, event + "data: {\"text\":\"data: [DONE]\"}\n\n", 200, false},
		{"object", json, object + "\n", 200, true},
		{"object within", json, object[:len(object)-1], 200, false},
		{"object within a string", json, object[:len(object)-4], 200, false},
		{"object and more", json, object + object[:5], 200, false},
		{"failure", json, `{"error":{"message":"no"}}`, 500, true},
		{"failure within", json, `{"error":{"message":"n`, 500, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			url := rawEngine(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
				if readRequest(requests) {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Type: %s\r\n\r\n%s", test.status, test.kind, test.body)
				}
			})
			_, server := startEngineRun(t, url)
			status, body, err := engineCall(t, server, "r1")
			if test.whole && (err != nil || status != test.status || body != test.body) {
				t.Errorf("a whole answer came as %d %q, %v", status, body, err)
			}
			if !test.whole && err == nil && status == test.status {
				t.Errorf("a part came as a whole answer: %d %q", status, body)
			}
		})
	}
}

// An engine declares the length of its answer. The reader is told it too, or
// what is left of it, so that it need not trust the end of a connection.
func TestADeclaredLengthIsPassedOn(t *testing.T) {
	const body = `{"model":"m@1","text":"hello"}`
	url := rawEngine(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		if readRequest(requests) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
	_, server := startEngineRun(t, url)
	if _, got, err := engineCall(t, server, "r1"); err != nil || got != body {
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
			t.Errorf("from %d: got %q of %d, %v", offset, got, response.ContentLength, err)
		}
	}
}
