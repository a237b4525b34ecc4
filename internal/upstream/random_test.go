package upstream

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// scriptedConn is a connection on which a server has sent data and which it has
// then closed, orderly or by a reset.
type scriptedConn struct {
	net.Conn
	data  *bytes.Reader
	reset bool
	// maxRead is the most bytes that one read returns.
	maxRead int
}

func (c *scriptedConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *scriptedConn) Close() error                { return nil }
func (c *scriptedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn: all bytes are there.
func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }

func (c *scriptedConn) Read(p []byte) (int, error) {
	n, err := c.data.Read(p[:min(len(p), c.maxRead)])
	if err == io.EOF && c.reset {
		err = net.ErrClosed
	}
	return n, err
}

// result is the outcome of a call that reads a server's bytes.
type result struct {
	// failed is true if there was no response or reading its body failed.
	failed bool
	status int
	body   string
	// reusable is true if the connection would be reused.
	reusable bool
	// consumed is the offset in the server's bytes at which the response ended.
	consumed int
}

// readResponse performs a call on a connection that returns sent, and reads the
// response to its end.
func readResponse(t *testing.T, sent []byte, reset bool, maxRead int, r *Request) result {
	raw := &scriptedConn{data: bytes.NewReader(sent), reset: reset, maxRead: maxRead}
	c := newConn(raw)
	response, err := exchange(c, r)
	if err != nil {
		return result{failed: true}
	}
	pool := NewPool(time.Second, NewMemory(0))
	response.pool, response.stop = pool, func() bool { return true }
	body, err := io.ReadAll(response.Body)
	got := result{status: response.Status, body: string(body), failed: err != nil}
	for range 2 {
		// Further reads must return the same kind of end.
		if _, again := response.Body.Read(make([]byte, 1)); (again == io.EOF) != (err == nil) {
			t.Errorf("body read ended with %v, the next read with %v", err, again)
		}
	}
	response.Release()
	// The pool detects bytes that are still in the socket before the next use.
	got.reusable = pool.Idle(Target{}) == 1 && raw.data.Len() == 0
	got.consumed = len(sent) - raw.data.Len() - c.reader.Buffered()
	return got
}

// message is one message of a server and how a client must treat it.
type message struct {
	text string
	// stray is true for a response to another request, broken for bytes that are
	// not a response, final for a response that a client may accept as its own.
	stray, broken, final bool
	status               int
	body                 string
	// framed is true if the framing delimits the body.
	framed bool
}

const requestID = "r1"

// strayIDs returns the ids used for responses to other requests.
func strayIDs(id string) []string {
	if id == "" {
		return []string{"r0", "r1"}
	}
	return []string{"r0", "", "r10"}
}

// randomMessage returns an interim response, a response with any framing to this
// request or to another, or bytes that are not a response.
func randomMessage(random *rand.Rand, id string) message {
	switch random.IntN(8) {
	case 0:
		return message{text: []string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\nId: r1\r\n\r\n"}[random.IntN(2)]}
	case 1:
		return message{text: []string{"no answer\r\n\r\n", "HTTP/1.1 what\r\n\r\n", "HTTP/1.1 200 X\r\nTransfer-Encoding: other\r\n\r\n", "HTTP/1.1 200 X\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "\x00\x01\x02\xff"}[random.IntN(5)], broken: true}
	case 2, 3:
		others := strayIDs(id)
		m := randomResponse(random, others[random.IntN(len(others))])
		m.stray = true
		return m
	default:
		m := randomResponse(random, id)
		m.final = true
		return m
	}
}

func randomResponse(random *rand.Rand, id string) message {
	m := message{status: []int{200, 200, 201, 204, 304, 404, 429, 500, 503}[random.IntN(9)]}
	if m.status != http.StatusNoContent && m.status != http.StatusNotModified {
		m.body = randomBody(random)
	}
	header := fmt.Sprintf("HTTP/1.1 %d X\r\nKeep-Alive: timeout=5\r\n", m.status)
	if id != "" {
		header += "Id: " + id + "\r\n"
	}
	if m.body == "" && (m.status == http.StatusNoContent || m.status == http.StatusNotModified) {
		m.text, m.framed = header+"\r\n", true
		return m
	}
	switch random.IntN(4) {
	case 0:
		m.text, m.framed = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, len(m.body), m.body), true
	case 1, 2:
		m.text, m.framed = header+"Transfer-Encoding: chunked\r\n\r\n"+randomChunks(random, m.body), true
	default:
		m.text = header + "\r\n" + m.body
	}
	return m
}

// randomBody returns a body, which may contain text that looks like framing.
func randomBody(random *rand.Rand) string {
	parts := []string{"word ", "\r\n", "0\r\n\r\n", "id: 3\ndata: x\n\n", response1, "HTTP/1.1 200 OK\r\nId: r1\r\n\r\n", strings.Repeat("long ", 2000)}
	var body strings.Builder
	for range random.IntN(5) {
		body.WriteString(parts[random.IntN(len(parts))])
	}
	return body.String()
}

func randomChunks(random *rand.Rand, body string) string {
	var text strings.Builder
	for body != "" {
		n := 1 + random.IntN(len(body))
		fmt.Fprintf(&text, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	text.WriteString("0\r\n")
	if random.IntN(3) == 0 {
		text.WriteString("Checksum: x\r\n")
	}
	return text.String() + "\r\n"
}

// streamCase is a sequence of server messages, truncated at a byte offset.
type streamCase struct {
	// id is the id of the request; it is empty for a request without one.
	id       string
	messages []message
	sent     []byte
	cut      int
	reset    bool
	maxRead  int
}

func randomStreamCase(random *rand.Rand) *streamCase {
	c := &streamCase{id: []string{requestID, requestID, requestID, ""}[random.IntN(4)], reset: random.IntN(2) == 0, maxRead: []int{1, 7, 4096, 1 << 20}[random.IntN(4)]}
	var all strings.Builder
	for range 1 + random.IntN(5) {
		m := randomMessage(random, c.id)
		c.messages = append(c.messages, m)
		all.WriteString(m.text)
	}
	c.sent = []byte(all.String())
	c.cut = len(c.sent)
	if random.IntN(3) > 0 {
		c.cut = random.IntN(len(c.sent) + 1)
	}
	return c
}

// expected returns the response that a client must read. end is the offset at
// which the response is complete, or -1 if there is no complete response.
func (c *streamCase) expected() (m message, end int) {
	at, strays := 0, 0
	for _, m := range c.messages {
		begin := at
		at += len(m.text)
		switch {
		case m.broken:
			return message{}, -1
		case m.stray:
			if strays++; strays > maxStrays || !m.framed {
				// A response that is delimited by the close of the connection is the last one.
				return message{}, -1
			}
		case m.final && !m.framed:
			// All bytes up to the close of the connection belong to the body.
			header := strings.Index(m.text, "\r\n\r\n") + len("\r\n\r\n")
			if c.reset || c.cut < begin+header {
				return message{}, -1
			}
			m.body = string(c.sent[begin+header : c.cut])
			return m, c.cut
		case m.final:
			if c.cut < at {
				return message{}, -1
			}
			return m, at
		}
	}
	return message{}, -1
}

// check compares the result of a call with the expected one and returns the kind
// of outcome.
func (c *streamCase) check(t *testing.T) string {
	got := readResponse(t, c.sent[:c.cut], c.reset, c.maxRead, &Request{Method: http.MethodPost, URI: "/x", Host: "h", ID: c.id, IDHeader: "Id"})
	m, end := c.expected()
	switch {
	case end < 0 && !got.failed:
		t.Errorf("got response %d %q although no complete response to the request was sent", got.status, got.body)
	case end >= 0 && (got.failed || got.status != m.status || got.body != m.body):
		t.Errorf("got %+v, want %d %q", got, m.status, m.body)
	case end >= 0 && got.consumed != end:
		t.Errorf("response ended after %d bytes, want %d", got.consumed, end)
	}
	if got.reusable && (got.failed || !m.framed || c.cut > end) {
		t.Errorf("connection kept after %+v", got)
	}
	switch {
	case got.failed && got.status != 0:
		return "body truncated"
	case got.failed:
		return "no response"
	case !m.framed:
		return "delimited by close"
	case got.reusable:
		return "complete, kept"
	default:
		return "complete, closed"
	}
}

// randomSeeds is the number of fixed seeds in every test run; the environment
// variable DRAWN_SEEDS is the number of additional random seeds.
const randomSeeds = 3000

// A server sends interim responses, late responses to other requests, responses
// with any framing and bytes that are not a response, and the connection ends at
// an arbitrary byte, orderly or by a reset. A body may end with io.EOF only
// after a complete response to this request, with the bytes of that response,
// and a connection may be kept only if no further bytes are on it.
func TestRandomStreamsYieldOnlyCompleteResponses(t *testing.T) {
	outcomes := make(map[string]int)
	run := func(seed uint64) {
		c := randomStreamCase(rand.New(rand.NewPCG(seed, 0)))
		outcomes[c.check(t)]++
		if t.Failed() {
			t.Fatalf("seed %d, reset %v, max read %d: %q", seed, c.reset, c.maxRead, c.sent[:c.cut])
		}
	}
	for seed := range uint64(randomSeeds) {
		run(seed)
	}
	extraSeeds, _ := strconv.Atoi(os.Getenv("DRAWN_SEEDS"))
	for range extraSeeds {
		run(rand.Uint64())
	}
	for _, kind := range []string{"body truncated", "no response", "delimited by close", "complete, kept", "complete, closed"} {
		if outcomes[kind] == 0 {
			t.Errorf("no random stream has the outcome %q: the generator does not cover it", kind)
		}
	}
	t.Log(outcomes)
}

// FuzzCall checks for arbitrary server bytes that a response delimited by its
// framing is complete exactly at its last byte: not earlier, and regardless of
// what follows.
func FuzzCall(f *testing.F) {
	for seed := range uint64(50) {
		c := randomStreamCase(rand.New(rand.NewPCG(seed, 0)))
		f.Add(c.sent, uint(c.cut))
	}
	f.Fuzz(func(t *testing.T, sent []byte, at uint) {
		r := &Request{Method: http.MethodPost, URI: "/x", Host: "h", ID: requestID, IDHeader: "Id"}
		// After a reset only the framing shows that a response is complete.
		all := readResponse(t, sent, true, len(sent)+1, r)
		cut := int(at % uint(len(sent)+1))
		part := readResponse(t, sent[:cut], true, 1+int(at%9), r)
		if part.reusable && part.failed {
			t.Error("connection kept after a failure")
		}
		switch {
		case all.failed:
			if !part.failed {
				t.Errorf("%q is complete, but not together with the bytes that follow", sent[:cut])
			}
		case cut < all.consumed:
			if !part.failed {
				t.Errorf("prefix %q is complete, and so is %q", sent[:cut], sent[:all.consumed])
			}
		default:
			if part.failed || part.status != all.status || part.body != all.body || part.consumed != all.consumed {
				t.Errorf("got %+v for the prefix, %+v for all bytes", part, all)
			}
		}
	})
}
