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

// rawServer answers its n-th request with the n-th of some byte sequences and
// ends the connection in good order. It refuses what comes behind the last.
func rawServer(t *testing.T, answers ...string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var asked atomic.Int64
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
		if n := int(asked.Add(1)); n <= len(answers) {
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

// head is an answer's header on the wire.
func head(status int, lines ...string) string {
	return fmt.Sprintf("HTTP/1.1 %03d X\r\n%s\r\n\r\n", status, strings.Join(lines, "\r\n"))
}

const (
	eventStream = "Content-Type: text/event-stream"
	inChunks    = "Transfer-Encoding: chunked"
	lastChunk   = "0\r\n\r\n"
)

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// rawCall sends a call on a connection of its own, in a version of HTTP, and
// reads the answer by its frame.
func rawCall(t *testing.T, server *entryServer, proto, method, path, key, body string) told {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer drop(conn)
	return askOn(conn, bufio.NewReader(conn), proto, method, path, key, body)
}

// drop closes a caller's connection so that its port is free at once.
func drop(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// askOn is rawCall on a given connection.
func askOn(conn net.Conn, reader *bufio.Reader, proto, method, path, key, body string) told {
	if key != "" {
		key = "Idempotency-Key: " + key + "\r\n"
	}
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/%s\r\nHost: h\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", method, path, proto, callerKey, key, len(body), body)
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return told{cut: true}
	}
	data, err := io.ReadAll(response.Body)
	said, _ := outcome.Parse(response.Header.Get(outcome.Header))
	return told{status: response.StatusCode, outcome: said, header: response.Header, trailer: response.Trailer, body: string(data), cut: err != nil}
}

// deskEntry serves callers before plain services at some addresses, of which it
// takes the first first.
func deskEntry(t *testing.T, options entry.Options, addresses ...string) *entryServer {
	t.Helper()
	from := newSource()
	for i, address := range addresses {
		from.servers = append(from.servers, service(fmt.Sprint("s", i), address, 9*i))
	}
	_, server := newEntry(t, options, from)
	return server
}

// A stream breaks off before a caller of HTTP/1.0, to whom the end of the
// connection is the end of the answer. An orderly close would make the part look
// like the whole.
func TestACallerWithoutChunksSeesACut(t *testing.T) {
	for _, kind := range []string{eventStream, "Content-Type: text/plain"} {
		server := deskEntry(t, entry.Options{}, rawServer(t, head(200, kind, inChunks)+chunk("data: one\n\n")))
		got := rawCall(t, server, "1.0", http.MethodPost, "/services/desk/again", "", "x")
		if !got.cut {
			t.Errorf("%s: %q looks whole", kind, got.body)
		}
	}
}

// A stream breaks off within an event. The blank line before the entry's error
// event must not end the half event for its reader, who would take half a line
// of a draft for what the engine meant.
func TestACutWithinAnEventPassesNoHalfOfIt(t *testing.T) {
	for _, broken := range []string{"data: ha", "data: half\n", "data: half\r"} {
		server := deskEntry(t, entry.Options{}, rawServer(t, head(200, eventStream, inChunks)+chunk("data: one\n\n")+chunk(broken)))
		got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/again", "", "x")
		if !got.cut || !strings.HasPrefix(got.body, "data: one\n\n") || strings.Contains(got.body, "ha") {
			t.Errorf("behind %q: cut %v, %q", broken, got.cut, got.body)
		}
		if !strings.Contains(got.body, `"code":"unknown_outcome"`) {
			t.Errorf("behind %q the caller does not learn why its stream ends: %q", broken, got.body)
		}
	}
}

// A stream of a declared length breaks off, and what is missing is just as long
// as the entry's error event. Written into the answer, the event would complete
// it.
func TestAnErrorEventDoesNotFillADeclaredLength(t *testing.T) {
	const part = "data: one\n\n"
	chunked := deskEntry(t, entry.Options{}, rawServer(t, head(200, eventStream, inChunks)+chunk(part)))
	event := len(rawCall(t, chunked, "1.1", http.MethodPost, "/services/desk/again", "", "x").body) - len(part)
	length := fmt.Sprint("Content-Length: ", len(part)+event)
	server := deskEntry(t, entry.Options{}, rawServer(t, head(200, eventStream, length)+part, head(200, eventStream, length)+part))
	for _, proto := range []string{"1.1", "1.0"} {
		if got := rawCall(t, server, proto, http.MethodPost, "/services/desk/again", "", "x"); !got.cut {
			t.Errorf("HTTP/%s: %q looks whole", proto, got.body)
		}
	}
}

// What an event stream is encoded in cannot be gone on in plain words.
func TestNoErrorEventStandsInAnEncodedStream(t *testing.T) {
	server := deskEntry(t, entry.Options{}, rawServer(t, head(200, eventStream, "Content-Encoding: gzip", inChunks)+chunk("encoded")))
	if got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/again", "", "x"); !got.cut || got.body != "encoded" {
		t.Errorf("cut %v, %q", got.cut, got.body)
	}
}

// A service ends its event streams with their connection and crashes within an
// event: the connection closes in good order. Half an event shows that the
// stream was not over. It must not end as whole, nor be kept as the answer to
// give to a resend.
func TestAStreamThatEndsWithinAnEventIsNotWhole(t *testing.T) {
	broken := head(200, eventStream, "Connection: close") + "data: one\n\ndata: ha"
	server := deskEntry(t, entry.Options{Claims: newClaimLog()}, rawServer(t, broken, broken))
	got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/once", "", "x")
	if !got.cut || strings.Contains(got.body, "ha") {
		t.Errorf("cut %v, %q", got.cut, got.body)
	}
	for range 2 {
		got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/once", "k", "x")
		if got.outcome != outcome.Unknown {
			t.Errorf("with a key: told %v with %d: %q", got.outcome, got.status, got.body)
		}
	}
}

// A service gives an answer whose status is no final one. Its caller must be
// told that the call may have run, and not be left with a dropped connection or
// with a switch of protocols that it did not ask for.
func TestAnAnswerWithoutAFinalStatusIsNone(t *testing.T) {
	for _, status := range []int{0, 99, 101} {
		answer := head(status, "Content-Length: 0")
		server := deskEntry(t, entry.Options{Claims: newClaimLog()}, rawServer(t, answer, answer))
		for _, key := range []string{"", "k"} {
			got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/once", key, "x")
			if got.cut || got.status != http.StatusBadGateway || got.outcome != outcome.Unknown {
				t.Errorf("status %d, key %q: told %v with %d, cut %v", status, key, got.outcome, got.status, got.cut)
			}
		}
	}
}

// A server breaks off behind the header of its answer, before its first byte.
// The caller has nothing yet: it must get an answer, another server's where the
// call may run again. A connection that is dropped without a word makes many
// callers' libraries send the call once more by themselves.
func TestAnAnswerThatBreaksOffBehindItsHeaderIsNotBegun(t *testing.T) {
	broken := head(200, "Content-Length: 5")
	whole := broken + "whole"
	server := deskEntry(t, entry.Options{}, rawServer(t, broken), rawServer(t, whole))
	if got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/again", "", "x"); got.cut || got.body != "whole" {
		t.Errorf("a call that may run again: %d %q, cut %v", got.status, got.body, got.cut)
	}
	server = deskEntry(t, entry.Options{}, rawServer(t, broken))
	if got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/once", "", "x"); got.cut || got.outcome != outcome.Unknown || got.status != http.StatusBadGateway {
		t.Errorf("a call that must not: told %v with %d, cut %v", got.outcome, got.status, got.cut)
	}
}

// timedWriter notes what a handler does to its caller's connection.
type timedWriter struct {
	*httptest.ResponseRecorder
	did []string
}

func (w *timedWriter) SetReadDeadline(time.Time) error { return nil }

func (w *timedWriter) SetWriteDeadline(time.Time) error {
	w.did = append(w.did, "deadline")
	return nil
}

func (w *timedWriter) Write(data []byte) (int, error) {
	w.did = append(w.did, "write")
	return w.ResponseRecorder.Write(data)
}

// A server pauses between its last word and the end of its answer. The time to
// accept the last word may be over by then: without a time of its own the end
// would fail, and a whole answer would look cut.
func TestTheEndOfAnAnswerHasATimeOfItsOwn(t *testing.T) {
	from := newSource(service("a", rawServer(t, head(200, inChunks)+chunk("word")+lastChunk), 0))
	e := entry.New(entry.Options{}, from, relay.NewClient(time.Second), zap.NewNop())
	request := httptest.NewRequest(http.MethodPost, "/services/desk/again", strings.NewReader("x"))
	request.Header.Set("Authorization", "Bearer "+callerKey)
	w := &timedWriter{ResponseRecorder: httptest.NewRecorder()}
	e.Handler().ServeHTTP(w, request)
	if last := len(w.did) - 1; last < 2 || w.did[last] != "deadline" || w.did[last-1] != "write" || w.did[last-2] != "deadline" {
		t.Errorf("the caller's connection saw %v", w.did)
	}
}

// agentHead is the header of an agent's answer from the model that was asked for.
func agentHead(status int, lines ...string) string {
	return head(status, append(lines, outcome.Header+": "+outcome.Answered.String(), wire.HeaderRan+": "+model)...)
}

// The connection to an agent is cut in the middle of a draft, and what the agent
// gives as its rest is an answer of another kind: another process has taken its
// address. Its words must not be joined to the caller's draft.
func TestTheRestOfAnAnswerIsOfTheSameKind(t *testing.T) {
	first := agentHead(200, eventStream, inChunks) + chunk("data: one\n\n")
	rests := map[string]string{
		"status": agentHead(500, eventStream, inChunks) + chunk("data: failed\n\n") + lastChunk,
		"type":   agentHead(200, "Content-Type: text/plain", inChunks) + chunk("failed") + lastChunk,
	}
	for name, rest := range rests {
		_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", rawServer(t, first, rest))))
		got := rawCall(t, server, "1.1", http.MethodPost, "/v1/completions", "", completion("x", 2, true))
		if !got.cut || strings.Contains(got.body, "failed") {
			t.Errorf("another %s: cut %v, %q", name, got.cut, got.body)
		}
	}
}

// A booking desk writes this system's own header behind its answer. A caller
// that read there that its booking was not run would send it again.
func TestAPlainServicesTrailerSaysNothingInThisSystemsName(t *testing.T) {
	trailer := "0\r\n" + outcome.Header + ": not-run\r\nContent-Length: 3\r\nChecksum: abc\r\n\r\n"
	server := deskEntry(t, entry.Options{}, rawServer(t, head(200, inChunks)+chunk("whole")+trailer))
	got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/once", "", "x")
	if got.cut || got.trailer.Get("Checksum") != "abc" || len(got.trailer) != 1 {
		t.Errorf("cut %v, trailer %v", got.cut, got.trailer)
	}
}

// The trailer of an answer comes with its end, also when that is read on another
// connection than its beginning.
func TestAResumedAnswerHasItsTrailer(t *testing.T) {
	first := agentHead(200, eventStream, inChunks) + chunk("data: one\n\n")
	rest := agentHead(200, eventStream, inChunks) + chunk("data: two\n\n") + "0\r\nChecksum: abc\r\n\r\n"
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", rawServer(t, first, rest))))
	got := rawCall(t, server, "1.1", http.MethodPost, "/v1/completions", "", completion("x", 2, true))
	if got.cut || got.body != "data: one\n\ndata: two\n\n" || got.trailer.Get("Checksum") != "abc" {
		t.Errorf("cut %v, %q, trailer %v", got.cut, got.body, got.trailer)
	}
}

// A caller asks for a path, or by a method, that this entry does not serve. It
// must be told like every other caller that nothing ran.
func TestWhatIsNotServedIsNotRun(t *testing.T) {
	server := deskEntry(t, entry.Options{})
	for path, want := range map[string]int{"/v1/completions": http.StatusMethodNotAllowed, "/v1/embeddings": http.StatusNotFound, "/services": http.StatusNotFound} {
		got := rawCall(t, server, "1.1", http.MethodGet, path, "", "")
		said := got.header.Get(outcome.Header)
		if got.cut || got.status != want || said != outcome.NotRun.String() || got.header.Get(wire.HeaderRequestID) == "" {
			t.Errorf("%s: %d, told %q, request %q", path, got.status, said, got.header.Get(wire.HeaderRequestID))
		}
		if allow := got.header.Get("Allow"); want == http.StatusMethodNotAllowed && allow != http.MethodPost {
			t.Errorf("%s: allowed is %q", path, allow)
		}
	}
}

// asking counts the questions whether a suspect may run, and forbids it.
type asking struct{ asked atomic.Int64 }

func (a *asking) Suspect(_ context.Context, command suspicion.Command) (suspicion.Verdict, error) {
	if command.Ask != nil {
		a.asked.Add(1)
	}
	return suspicion.Refuse, nil
}

// An engine crashes between the header of its answer and the first byte. The
// request may have done that: it must not go to the next engine unasked.
func TestACrashBehindTheHeaderMakesASuspect(t *testing.T) {
	crashed := head(410, "Content-Length: 0", outcome.Header+": unknown", wire.HeaderCrashed+": true")
	first := engineServer("floor-1", rawServer(t, agentHead(200, eventStream, inChunks), crashed))
	second := engineServer("floor-2", rawServer(t, agentHead(200, eventStream, inChunks)+chunk("data: one\n\n")+lastChunk))
	second.Load.Running = 9
	suspicions := &asking{}
	_, server := newEntry(t, entry.Options{Suspicions: suspicions}, newSource(first, second))
	got := rawCall(t, server, "1.1", http.MethodPost, "/v1/completions", "", completion("x", 2, true))
	if suspicions.asked.Load() != 1 || got.status != http.StatusUnprocessableEntity || got.outcome != outcome.Unknown {
		t.Errorf("asked %d times, told %v with %d", suspicions.asked.Load(), got.outcome, got.status)
	}
}

// What another process gives has the status and the type of the answer that was
// begun, but not its header: an engine's failure is followed by a stranger's.
func TestTheRestOfAnAnswerHasItsHeader(t *testing.T) {
	answered := outcome.Header + ": " + outcome.Answered.String()
	first := head(500, answered, "Content-Type: text/plain", "Engine: a", inChunks) + chunk("failed ")
	rest := head(500, answered, "Content-Type: text/plain", "Engine: b", inChunks) + chunk("otherwise") + lastChunk
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", rawServer(t, first, rest))))
	got := rawCall(t, server, "1.1", http.MethodPost, "/v1/completions", "", completion("x", 2, false))
	if !got.cut || got.body != "failed " {
		t.Errorf("cut %v, %q", got.cut, got.body)
	}
}

// A service answers a look-up a second time, late: the copy reaches the entry when
// the next caller's look-up has gone out on the same connection. Another caller
// must not be given it for its own answer.
func TestALateCopyDoesNotAnswerAnothersCall(t *testing.T) {
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
	server := deskEntry(t, entry.Options{}, listener.Addr().String())
	for _, body := range []string{"one", "two", "three"} {
		if got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/again", "", body); got.body != body {
			t.Errorf("the call %q was answered by %q", body, got.body)
		}
	}
}

// An engine without an agent ends its answers with their connection and crashes:
// the connection closes in good order, behind a whole event or within an object.
// Such an answer is whole only when it shows that.
func TestABareEnginesAnswerWithoutAFrameShowsItsEnd(t *testing.T) {
	object := fmt.Sprintf(`{"model":%q,"choices":[{"text":"words"}]}`, model)
	event := "data: " + object + "\n\n"
	for _, c := range []struct {
		kind, body string
		whole      bool
	}{
		{eventStream, event, false},
		{eventStream, event + "data: [DONE]\n\n", true},
		{"Content-Type: application/json", object[:len(object)-3], false},
		{"Content-Type: application/json", object, true},
	} {
		bare := engineServer("floor-1", rawServer(t, head(200, c.kind, "Connection: close")+c.body))
		bare.Agent = false
		_, server := newEntry(t, entry.Options{}, newSource(bare))
		got := rawCall(t, server, "1.1", http.MethodPost, "/v1/completions", "", completion("x", 2, true))
		if got.cut == c.whole || got.outcome != outcome.Answered {
			t.Errorf("%q: cut %v, told %v with %d", c.body, got.cut, got.outcome, got.status)
		}
	}
}

// An agent's line is cut behind the header of each rest that it gives. A caller
// must not be left waiting while the entry asks on and on.
func TestRestsWithoutProgressComeToAnEnd(t *testing.T) {
	begun := agentHead(200, eventStream, inChunks)
	answers := []string{begun + chunk("data: one\n\n")}
	for range 3 * 4 {
		answers = append(answers, begun)
	}
	answers = append(answers, begun+chunk("data: two\n\n")+lastChunk)
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", rawServer(t, answers...))))
	got := rawCall(t, server, "1.1", http.MethodPost, "/v1/completions", "", completion("x", 2, true))
	if !got.cut || strings.Contains(got.body, "two") {
		t.Errorf("cut %v, %q", got.cut, got.body)
	}
}

// A caller sends more than the entry accepts. It must read why, not a reset
// connection.
func TestATooLargeBodyIsRefusedInWords(t *testing.T) {
	server := deskEntry(t, entry.Options{MaxBodyBytes: 1 << 10})
	for _, size := range []int{2 << 10, 200 << 10, 2 << 20} {
		got := rawCall(t, server, "1.1", http.MethodPost, "/services/desk/once", "", strings.Repeat("x", size))
		if got.status != http.StatusRequestEntityTooLarge || got.outcome != outcome.NotRun || got.cut {
			t.Errorf("%d bytes: told %v with %d, cut %v", size, got.outcome, got.status, got.cut)
		}
	}
}

// An engine without an agent ends its answer with its connection, and crashes in
// the middle: the connection closes in good order. The answer is a JSON object,
// whose missing end shows that it is a part; an agent tells it by that. A caller
// must not get half an object as a whole answer.
func TestAnUnframedPartOfAnEnginesObjectIsNotWhole(t *testing.T) {
	part := head(200, "Content-Type: application/json", "Connection: close") + `{"model":"` + model + `","choices":[{"text":"wor`
	engine := engineServer("s0", rawServer(t, part))
	engine.Agent = false
	_, server := newEntry(t, entry.Options{}, newSource(engine))
	got := rawCall(t, server, "1.1", http.MethodPost, "/v1/completions", "", completion("x", 2, false))
	if got.status == http.StatusOK && !got.cut {
		t.Errorf("the caller got %d, %q, told %v, as a whole answer", got.status, got.body, got.outcome)
	}
}
