package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// rawServer answers its n-th request with the n-th of the given byte sequences and
// closes the connection orderly. Further requests get no answer.
func rawServer(t *testing.T, answers ...string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var requests atomic.Int64
	serve := func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.Method == http.MethodDelete {
			_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
			return
		}
		if n := int(requests.Add(1)); n <= len(answers) {
			_, _ = io.WriteString(conn, answers[n-1])
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// head returns the header of an answer as sent on the wire.
func head(status int, lines ...string) string {
	return fmt.Sprintf("HTTP/1.1 %03d X\r\n%s\r\n\r\n", status, strings.Join(lines, "\r\n"))
}

const (
	eventStreamType = "Content-Type: text/event-stream"
	chunkedEncoding = "Transfer-Encoding: chunked"
	lastChunk       = "0\r\n\r\n"
)

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// rawCall sends a call with the given HTTP version on a connection of its own, and
// reads the answer according to its framing.
func rawCall(t *testing.T, server *entryServer, proto, method, path, key, body string) callResult {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeWithReset(conn)
	return callOnConn(conn, bufio.NewReader(conn), proto, method, path, key, body)
}

// closeWithReset closes a caller's connection with a reset, so that its port is
// free immediately.
func closeWithReset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// callOnConn is rawCall on a given connection.
func callOnConn(conn net.Conn, reader *bufio.Reader, proto, method, path, key, body string) callResult {
	if key != "" {
		key = "Idempotency-Key: " + key + "\r\n"
	}
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/%s\r\nHost: h\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", method, path, proto, callerKey, key, len(body), body)
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return callResult{cut: true}
	}
	data, err := io.ReadAll(response.Body)
	reported, _ := outcome.Parse(response.Header.Get(outcome.Header))
	return callResult{status: response.StatusCode, outcome: reported, header: response.Header, trailer: response.Trailer, body: string(data), cut: err != nil}
}

// newServiceEntry starts an entry in front of plain services at the given
// addresses. The entry prefers the first address.
func newServiceEntry(t *testing.T, options entry.Options, addresses ...string) *entryServer {
	t.Helper()
	from := newSource()
	for i, address := range addresses {
		from.servers = append(from.servers, service(fmt.Sprint("s", i), address, 9*i))
	}
	_, server := newEntry(t, options, from)
	return server
}

// A stream breaks off while it is relayed to an HTTP/1.0 caller, for whom the close
// of the connection is the end of the answer. An orderly close would make the
// partial answer look complete.
func TestHTTP10CallerDetectsCut(t *testing.T) {
	for _, kind := range []string{eventStreamType, "Content-Type: text/plain"} {
		server := newServiceEntry(t, entry.Options{}, rawServer(t, head(200, kind, chunkedEncoding)+chunk("data: one\n\n")))
		got := rawCall(t, server, "1.0", http.MethodPost, "/services/desk/again", "", "x")
		if !got.cut {
			t.Errorf("%s: %q looks complete", kind, got.body)
		}
	}
}

// A stream breaks off within an event. The blank line before the entry's error
// event must not terminate the incomplete event, because a reader would take half a
// line of a draft for what the engine sent.
func TestPartialEventIsNotRelayed(t *testing.T) {
	for _, broken := range []string{"data: ha", "data: half\n", "data: half\r"} {
		server := newServiceEntry(t, entry.Options{}, rawServer(t, head(200, eventStreamType, chunkedEncoding)+chunk("data: one\n\n")+chunk(broken)))
		got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/again", "", "x")
		if !got.cut || !strings.HasPrefix(got.body, "data: one\n\n") || strings.Contains(got.body, "ha") {
			t.Errorf("after %q: cut %v, body %q; want a cut after the complete event", broken, got.cut, got.body)
		}
		if !strings.Contains(got.body, `"code":"unknown_outcome"`) {
			t.Errorf("after %q the stream has no error event: %q", broken, got.body)
		}
	}
}

// A stream with a declared length breaks off, and exactly as many bytes are missing
// as the entry's error event has. If the event were written into the answer, it
// would complete it.
func TestErrorEventDoesNotFillDeclaredLength(t *testing.T) {
	const part = "data: one\n\n"
	chunked := newServiceEntry(t, entry.Options{}, rawServer(t, head(200, eventStreamType, chunkedEncoding)+chunk(part)))
	event := len(rawCall(t, chunked, "1.1", http.MethodPost, "/services/desk/again", "", "x").body) - len(part)
	length := fmt.Sprint("Content-Length: ", len(part)+event)
	server := newServiceEntry(t, entry.Options{}, rawServer(t, head(200, eventStreamType, length)+part, head(200, eventStreamType, length)+part))
	for _, proto := range []string{"1.1", "1.0"} {
		if got := rawCall(t, server, proto, http.MethodPost, "/services/desk/again", "", "x"); !got.cut {
			t.Errorf("HTTP/%s: %q looks complete", proto, got.body)
		}
	}
}

// An error event in plain text must not be appended to an event stream with a
// content encoding.
func TestNoErrorEventInEncodedStream(t *testing.T) {
	server := newServiceEntry(t, entry.Options{}, rawServer(t, head(200, eventStreamType, "Content-Encoding: gzip", chunkedEncoding)+chunk("encoded")))
	if got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/again", "", "x"); !got.cut || got.body != "encoded" {
		t.Errorf("cut %v, body %q; want a cut after \"encoded\"", got.cut, got.body)
	}
}

// A service delimits its event streams by the close of their connection and crashes
// within an event, so the connection is closed orderly. The incomplete event shows
// that the stream was truncated. The answer must not look complete, and must not be
// recorded for replay to a resend.
func TestStreamEndingWithinEventIsTruncated(t *testing.T) {
	broken := head(200, eventStreamType, "Connection: close") + "data: one\n\ndata: ha"
	server := newServiceEntry(t, entry.Options{Claims: newClaimLog()}, rawServer(t, broken, broken))
	got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/once", "", "x")
	if !got.cut || strings.Contains(got.body, "ha") {
		t.Errorf("cut %v, body %q; want a cut without the incomplete event", got.cut, got.body)
	}
	for range 2 {
		got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/once", "k", "x")
		if got.outcome != outcome.Unknown {
			t.Errorf("with a key: outcome %v, status %d, body %q; want unknown", got.outcome, got.status, got.body)
		}
	}
}

// A service responds with a status that is not final. The answer must report that
// the call may have run, and the caller must not get a dropped connection or a
// protocol switch that it did not request.
func TestNonFinalStatusIsUnknownOutcome(t *testing.T) {
	for _, status := range []int{0, 99, 101} {
		answer := head(status, "Content-Length: 0")
		server := newServiceEntry(t, entry.Options{Claims: newClaimLog()}, rawServer(t, answer, answer))
		for _, key := range []string{"", "k"} {
			got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/once", key, "x")
			if got.cut || got.status != http.StatusBadGateway || got.outcome != outcome.Unknown {
				t.Errorf("server status %d, key %q: outcome %v, status %d, cut %v; want unknown, 502, not cut", status, key, got.outcome, got.status, got.cut)
			}
		}
	}
}

// A server breaks off after the header of its answer, before the first byte of the
// body. The caller has not received anything yet, so it must get an answer, from
// another server if the call may run again. If the connection were dropped without
// an answer, many HTTP client libraries would resend the call on their own.
func TestAnswerWithoutFirstByteIsNotStarted(t *testing.T) {
	broken := head(200, "Content-Length: 5")
	complete := broken + "whole"
	server := newServiceEntry(t, entry.Options{}, rawServer(t, broken), rawServer(t, complete))
	if got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/again", "", "x"); got.cut || got.body != "whole" {
		t.Errorf("idempotent call: status %d, body %q, cut %v; want the second server's answer", got.status, got.body, got.cut)
	}
	server = newServiceEntry(t, entry.Options{}, rawServer(t, broken))
	if got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/once", "", "x"); got.cut || got.outcome != outcome.Unknown || got.status != http.StatusBadGateway {
		t.Errorf("non-idempotent call: outcome %v, status %d, cut %v; want unknown, 502, not cut", got.outcome, got.status, got.cut)
	}
}

// recordingWriter records what a handler does with its caller's connection.
type recordingWriter struct {
	*httptest.ResponseRecorder
	calls []string
}

func (w *recordingWriter) SetReadDeadline(time.Time) error { return nil }

func (w *recordingWriter) SetWriteDeadline(time.Time) error {
	w.calls = append(w.calls, "deadline")
	return nil
}

func (w *recordingWriter) Write(data []byte) (int, error) {
	w.calls = append(w.calls, "write")
	return w.ResponseRecorder.Write(data)
}

// A server pauses between the last bytes of its answer and its end. The deadline
// for writing the last bytes may have passed by then: without a deadline of its
// own, writing the end would fail and a complete answer would look cut.
func TestAnswerEndHasItsOwnWriteDeadline(t *testing.T) {
	from := newSource(service("a", rawServer(t, head(200, chunkedEncoding)+chunk("word")+lastChunk), 0))
	e := entry.New(entry.Options{}, from, relay.NewClient(time.Second), zap.NewNop())
	request := httptest.NewRequest(http.MethodPost, "/services/desk/again", strings.NewReader("x"))
	request.Header.Set("Authorization", "Bearer "+callerKey)
	w := &recordingWriter{ResponseRecorder: httptest.NewRecorder()}
	e.Handler().ServeHTTP(w, request)
	if last := len(w.calls) - 1; last < 2 || w.calls[last] != "deadline" || w.calls[last-1] != "write" || w.calls[last-2] != "deadline" {
		t.Errorf("calls on the caller's connection: got %v, want a deadline, a write and a deadline at the end", w.calls)
	}
}

// agentHead returns the header of an agent's answer from the requested model.
func agentHead(status int, lines ...string) string {
	return head(status, append(lines, outcome.Header+": "+outcome.Answered.String(), wire.HeaderServedModel+": "+model)...)
}

// The connection to an agent is cut in the middle of a draft, and the response to
// the request for its rest has another status or type, because another process has
// taken the agent's address. That response must not be appended to the caller's
// draft.
func TestResumeRejectsDifferentStatusOrType(t *testing.T) {
	first := agentHead(200, eventStreamType, chunkedEncoding) + chunk("data: one\n\n")
	rests := map[string]string{
		"status": agentHead(500, eventStreamType, chunkedEncoding) + chunk("data: failed\n\n") + lastChunk,
		"type":   agentHead(200, "Content-Type: text/plain", chunkedEncoding) + chunk("failed") + lastChunk,
	}
	for name, rest := range rests {
		_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", rawServer(t, first, rest))))
		got := rawCall(t, server, "1.1", http.MethodPost, "/v1/completions", "", completion("x", 2, true))
		if !got.cut || strings.Contains(got.body, "failed") {
			t.Errorf("different %s: cut %v, body %q; want a cut without the other answer", name, got.cut, got.body)
		}
	}
}

// A booking desk sends this system's own outcome header in its trailer. A caller
// that trusted it would conclude that its booking was not run and send it again.
func TestInternalTrailersOfPlainServiceAreDropped(t *testing.T) {
	trailer := "0\r\n" + outcome.Header + ": not-run\r\nContent-Length: 3\r\nChecksum: abc\r\n\r\n"
	server := newServiceEntry(t, entry.Options{}, rawServer(t, head(200, chunkedEncoding)+chunk("whole")+trailer))
	got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/once", "", "x")
	if got.cut || got.trailer.Get("Checksum") != "abc" || len(got.trailer) != 1 {
		t.Errorf("cut %v, trailer %v; want only the checksum", got.cut, got.trailer)
	}
}

// The trailer of an answer comes with its end, also if the end is read on a
// different connection than the beginning.
func TestResumedAnswerKeepsTrailer(t *testing.T) {
	first := agentHead(200, eventStreamType, chunkedEncoding) + chunk("data: one\n\n")
	rest := agentHead(200, eventStreamType, chunkedEncoding) + chunk("data: two\n\n") + "0\r\nChecksum: abc\r\n\r\n"
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", rawServer(t, first, rest))))
	got := rawCall(t, server, "1.1", http.MethodPost, "/v1/completions", "", completion("x", 2, true))
	if got.cut || got.body != "data: one\n\ndata: two\n\n" || got.trailer.Get("Checksum") != "abc" {
		t.Errorf("cut %v, body %q, trailer %v; want both events and the checksum", got.cut, got.body, got.trailer)
	}
}

// A caller requests a path or method that the entry does not serve. As in every
// other error answer, the outcome must be that nothing ran.
func TestUnknownPathOrMethodIsNotRun(t *testing.T) {
	server := newServiceEntry(t, entry.Options{})
	for path, want := range map[string]int{"/v1/completions": http.StatusMethodNotAllowed, "/v1/embeddings": http.StatusNotFound, "/services": http.StatusNotFound} {
		got := rawCall(t, server, "1.1", http.MethodGet, path, "", "")
		reported := got.header.Get(outcome.Header)
		if got.cut || got.status != want || reported != outcome.NotRun.String() || got.header.Get(wire.HeaderRequestID) == "" {
			t.Errorf("%s: status %d, outcome %q, request ID %q", path, got.status, reported, got.header.Get(wire.HeaderRequestID))
		}
		if allow := got.header.Get("Allow"); want == http.StatusMethodNotAllowed && allow != http.MethodPost {
			t.Errorf("%s: got Allow %q, want POST", path, allow)
		}
	}
}

// refusingSuspicions refuses every suspect and counts the requests for a verdict.
type refusingSuspicions struct{ requests atomic.Int64 }

func (a *refusingSuspicions) Suspect(_ context.Context, command suspicion.Command) (suspicion.Verdict, error) {
	if command.Ask != nil {
		a.requests.Add(1)
	}
	return suspicion.Refuse, nil
}

// An engine crashes between the header of its answer and the first byte of the
// body. The request may have caused the crash, so it must not be sent to the next
// engine without a verdict.
func TestCrashAfterHeaderMakesRequestSuspect(t *testing.T) {
	crashed := head(410, "Content-Length: 0", outcome.Header+": unknown", wire.HeaderCrashed+": true")
	first := engineServer("floor-1", rawServer(t, agentHead(200, eventStreamType, chunkedEncoding), crashed))
	second := engineServer("floor-2", rawServer(t, agentHead(200, eventStreamType, chunkedEncoding)+chunk("data: one\n\n")+lastChunk))
	second.Load.Running = 9
	suspicions := &refusingSuspicions{}
	_, server := newEntry(t, entry.Options{Suspicions: suspicions}, newSource(first, second))
	got := rawCall(t, server, "1.1", http.MethodPost, "/v1/completions", "", completion("x", 2, true))
	if suspicions.requests.Load() != 1 || got.status != http.StatusUnprocessableEntity || got.outcome != outcome.Unknown {
		t.Errorf("%d requests for a verdict, outcome %v, status %d; want 1, unknown, 422", suspicions.requests.Load(), got.outcome, got.status)
	}
}

// The response to the request for the rest comes from another process. It has the
// status and type of the answer that was started, but not its header: an engine's
// error answer would be continued with that of another engine.
func TestResumeRejectsDifferentHeader(t *testing.T) {
	answered := outcome.Header + ": " + outcome.Answered.String()
	first := head(500, answered, "Content-Type: text/plain", "Engine: a", chunkedEncoding) + chunk("failed ")
	rest := head(500, answered, "Content-Type: text/plain", "Engine: b", chunkedEncoding) + chunk("otherwise") + lastChunk
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", rawServer(t, first, rest))))
	got := rawCall(t, server, "1.1", http.MethodPost, "/v1/completions", "", completion("x", 2, false))
	if !got.cut || got.body != "failed " {
		t.Errorf("cut %v, body %q; want a cut after \"failed \"", got.cut, got.body)
	}
}

// A service answers a read call twice, and the late duplicate reaches the entry
// after the next caller's call was sent on the same connection. That caller must
// not receive the duplicate as its own answer.
func TestLateDuplicateDoesNotAnswerNextCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader, before := bufio.NewReader(conn), ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(request.Body)
			own := head(200, fmt.Sprint("Content-Length: ", len(body))) + string(body)
			_, _ = io.WriteString(conn, before+own)
			before = own
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	server := newServiceEntry(t, entry.Options{}, listener.Addr().String())
	for _, body := range []string{"one", "two", "three"} {
		if got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/again", "", body); got.body != body {
			t.Errorf("call %q got the answer %q, want the same text", body, got.body)
		}
	}
}

// An engine without an agent delimits its answers by the close of their connection
// and crashes, so the connection is closed orderly, after a complete event or
// within a JSON object. Such an answer is complete only if its content shows that.
func TestUnframedEngineAnswerMustShowItsEnd(t *testing.T) {
	object := fmt.Sprintf(`{"model":%q,"choices":[{"text":"words"}]}`, model)
	event := "data: " + object + "\n\n"
	for _, c := range []struct {
		kind, body string
		complete   bool
	}{
		{eventStreamType, event, false},
		{eventStreamType, event + "data: [DONE]\n\n", true},
		{"Content-Type: application/json", object[:len(object)-3], false},
		{"Content-Type: application/json", object, true},
	} {
		bare := engineServer("floor-1", rawServer(t, head(200, c.kind, "Connection: close")+c.body))
		bare.Agent = false
		_, server := newEntry(t, entry.Options{}, newSource(bare))
		got := rawCall(t, server, "1.1", http.MethodPost, "/v1/completions", "", completion("x", 2, true))
		if got.cut == c.complete || got.outcome != outcome.Answered {
			t.Errorf("%q: cut %v, outcome %v, status %d", c.body, got.cut, got.outcome, got.status)
		}
	}
}

// The connection to an agent is cut after the header of each rest that it sends.
// The entry must not resume without end while the caller waits.
func TestResumeWithoutProgressIsBounded(t *testing.T) {
	header := agentHead(200, eventStreamType, chunkedEncoding)
	answers := []string{header + chunk("data: one\n\n")}
	for range 3 * 4 {
		answers = append(answers, header)
	}
	answers = append(answers, header+chunk("data: two\n\n")+lastChunk)
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", rawServer(t, answers...))))
	got := rawCall(t, server, "1.1", http.MethodPost, "/v1/completions", "", completion("x", 2, true))
	if !got.cut || strings.Contains(got.body, "two") {
		t.Errorf("cut %v, body %q; want a cut after the first event", got.cut, got.body)
	}
}

// A caller sends a larger body than the entry accepts. It must be able to read the
// error answer instead of getting a connection reset.
func TestTooLargeBodyGetsErrorAnswer(t *testing.T) {
	server := newServiceEntry(t, entry.Options{MaxBodyBytes: 1 << 10})
	for _, size := range []int{2 << 10, 200 << 10, 2 << 20} {
		got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/once", "", strings.Repeat("x", size))
		if got.status != http.StatusRequestEntityTooLarge || got.outcome != outcome.NotRun || got.cut {
			t.Errorf("%d bytes: outcome %v, status %d, cut %v; want not-run, 413, not cut", size, got.outcome, got.status, got.cut)
		}
	}
}

// An engine without an agent delimits its answer by the close of its connection and
// crashes in the middle, so the connection is closed orderly. The answer is a JSON
// object, whose missing end shows that it is truncated; an agent detects it the
// same way. The caller must not get half of an object as a complete answer.
func TestUnframedPartialObjectIsNotComplete(t *testing.T) {
	part := head(200, "Content-Type: application/json", "Connection: close") + `{"model":"` + model + `","choices":[{"text":"wor`
	engine := engineServer("s0", rawServer(t, part))
	engine.Agent = false
	_, server := newEntry(t, entry.Options{}, newSource(engine))
	got := rawCall(t, server, "1.1", http.MethodPost, "/v1/completions", "", completion("x", 2, false))
	if got.status == http.StatusOK && !got.cut {
		t.Errorf("a partial answer looks complete: status %d, body %q, outcome %v", got.status, got.body, got.outcome)
	}
}
