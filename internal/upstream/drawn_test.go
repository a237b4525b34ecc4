package upstream

import (
	"bufio"
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

// bytesOf is a connection on which a server has sent bytes and then closed it
// in good order, or by a reset.
type bytesOf struct {
	net.Conn
	sent  *bytes.Reader
	reset bool
	// pieces is the most that one read brings.
	pieces int
}

func (c *bytesOf) Write(p []byte) (int, error) { return len(p), nil }
func (c *bytesOf) Close() error                { return nil }
func (c *bytesOf) SetDeadline(time.Time) error { return nil }

func (c *bytesOf) Read(p []byte) (int, error) {
	n, err := c.sent.Read(p[:min(len(p), c.pieces)])
	if err == io.EOF && c.reset {
		err = net.ErrClosed
	}
	return n, err
}

// seen is what a call made of a server's bytes.
type seen struct {
	// failed is true when there was no answer, or its body did not end well.
	failed bool
	status int
	body   string
	// kept is true when the connection would be used again.
	kept bool
	// used is how many of the server's bytes the answer ended behind.
	used int
}

// readAll calls over a server's bytes and reads the answer to its end.
func readAll(t *testing.T, sent []byte, reset bool, pieces int, r *Request) seen {
	raw := &bytesOf{sent: bytes.NewReader(sent), reset: reset, pieces: pieces}
	c := &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}
	response, err := exchange(c, r)
	if err != nil {
		return seen{failed: true}
	}
	pool := NewPool(time.Second)
	response.pool, response.stop = pool, func() bool { return true }
	body, err := io.ReadAll(response.Body)
	s := seen{status: response.Status, body: string(body), failed: err != nil}
	for range 2 {
		// A reader that reads on must see the same end.
		if _, again := response.Body.Read(make([]byte, 1)); (again == io.EOF) != (err == nil) {
			t.Errorf("the body has two ends, %v and %v", err, again)
		}
	}
	response.Release()
	// Of bytes that still stand in the socket the pool learns before the next use.
	s.kept = pool.Idle(Target{}) == 1 && raw.sent.Len() == 0
	s.used = len(sent) - raw.sent.Len() - c.reader.Buffered()
	return s
}

// message is one thing that a server sends, and what it is to the reader.
type message struct {
	text string
	// stray is true for an answer to another request, broken for bytes that are
	// no answer, final for what a reader may take for its own.
	stray, broken, final bool
	status               int
	body                 string
	// framed is true when the body's end is told by its frame.
	framed bool
}

const drawnID = "r1"

// strayIDs are those of answers to other requests.
func strayIDs(id string) []string {
	if id == "" {
		return []string{"r0", "r1"}
	}
	return []string{"r0", "", "r10"}
}

// drawMessage draws an interim answer, an answer of any framing to this request
// or to another, or bytes that are none.
func drawMessage(random *rand.Rand, id string) message {
	switch random.IntN(8) {
	case 0:
		return message{text: []string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\nId: r1\r\n\r\n"}[random.IntN(2)]}
	case 1:
		return message{text: []string{"no answer\r\n\r\n", "HTTP/1.1 what\r\n\r\n", "HTTP/1.1 200 X\r\nTransfer-Encoding: other\r\n\r\n", "HTTP/1.1 200 X\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "\x00\x01\x02\xff"}[random.IntN(5)], broken: true}
	case 2, 3:
		others := strayIDs(id)
		m := drawAnswer(random, others[random.IntN(len(others))])
		m.stray = true
		return m
	default:
		m := drawAnswer(random, id)
		m.final = true
		return m
	}
}

func drawAnswer(random *rand.Rand, id string) message {
	m := message{status: []int{200, 200, 201, 204, 304, 404, 429, 500, 503}[random.IntN(9)]}
	if m.status != http.StatusNoContent && m.status != http.StatusNotModified {
		m.body = drawBody(random)
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
		m.text, m.framed = header+"Transfer-Encoding: chunked\r\n\r\n"+inChunks(random, m.body), true
	default:
		m.text = header + "\r\n" + m.body
	}
	return m
}

// drawBody draws bodies that look like the frames around them, too.
func drawBody(random *rand.Rand) string {
	parts := []string{"word ", "\r\n", "0\r\n\r\n", "id: 3\ndata: x\n\n", whole, "HTTP/1.1 200 OK\r\nId: r1\r\n\r\n", strings.Repeat("long ", 2000)}
	var body strings.Builder
	for range random.IntN(5) {
		body.WriteString(parts[random.IntN(len(parts))])
	}
	return body.String()
}

func inChunks(random *rand.Rand, body string) string {
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

// drawnReading is a server's messages, cut at a byte.
type drawnReading struct {
	// id is the request's, empty for one without.
	id       string
	messages []message
	sent     []byte
	cut      int
	reset    bool
	pieces   int
}

func drawReading(random *rand.Rand) *drawnReading {
	d := &drawnReading{id: []string{drawnID, drawnID, drawnID, ""}[random.IntN(4)], reset: random.IntN(2) == 0, pieces: []int{1, 7, 4096, 1 << 20}[random.IntN(4)]}
	var all strings.Builder
	for range 1 + random.IntN(5) {
		m := drawMessage(random, d.id)
		d.messages = append(d.messages, m)
		all.WriteString(m.text)
	}
	d.sent = []byte(all.String())
	d.cut = len(d.sent)
	if random.IntN(3) > 0 {
		d.cut = random.IntN(len(d.sent) + 1)
	}
	return d
}

// outcome is what a reader may make of it: end is the byte behind which the
// answer is whole, and -1 where no answer can be.
func (d *drawnReading) outcome() (m message, end int) {
	at, strays := 0, 0
	for _, m := range d.messages {
		begin := at
		at += len(m.text)
		switch {
		case m.broken:
			return message{}, -1
		case m.stray:
			if strays++; strays > maxStrays || !m.framed {
				// An answer that ends with its connection is the last one.
				return message{}, -1
			}
		case m.final && !m.framed:
			// Whatever follows is the body's, to the end of the connection.
			header := strings.Index(m.text, "\r\n\r\n") + len("\r\n\r\n")
			if d.reset || d.cut < begin+header {
				return message{}, -1
			}
			m.body = string(d.sent[begin+header : d.cut])
			return m, d.cut
		case m.final:
			if d.cut < at {
				return message{}, -1
			}
			return m, at
		}
	}
	return message{}, -1
}

// check holds what a call made of the bytes against what they are.
func (d *drawnReading) check(t *testing.T) string {
	got := readAll(t, d.sent[:d.cut], d.reset, d.pieces, &Request{Method: http.MethodPost, URI: "/x", Host: "h", ID: d.id, IDHeader: "Id"})
	m, end := d.outcome()
	switch {
	case end < 0 && !got.failed:
		t.Errorf("no whole answer to the request was sent, and %d %q was taken for one", got.status, got.body)
	case end >= 0 && (got.failed || got.status != m.status || got.body != m.body):
		t.Errorf("got %+v, want %d %q", got, m.status, m.body)
	case end >= 0 && got.used != end:
		t.Errorf("%d bytes were read, the answer has %d", got.used, end)
	}
	if got.kept && (got.failed || !m.framed || d.cut > end) {
		t.Errorf("the connection is kept behind %+v", got)
	}
	switch {
	case got.failed && got.status != 0:
		return "body broke off"
	case got.failed:
		return "no answer"
	case !m.framed:
		return "ended with its connection"
	case got.kept:
		return "whole, kept"
	default:
		return "whole, closed"
	}
}

// drawnSeeds are read in every run of the tests; DRAWN_SEEDS adds fresh ones.
const drawnSeeds = 3000

// A server sends interim answers, late answers to others, answers in any framing
// and bytes that are no answer, and its connection ends at any byte of them, in
// good order or by a reset. A body may come to its end only behind a whole
// answer to this very request, with that answer's bytes, and a connection may
// be kept only where nothing more stands on it.
func TestABodyEndsOnlyBehindAWholeAnswer(t *testing.T) {
	met := make(map[string]int)
	one := func(seed uint64) {
		d := drawReading(rand.New(rand.NewPCG(seed, 0)))
		met[d.check(t)]++
		if t.Failed() {
			t.Fatalf("seed %d, reset %v, pieces %d: %q", seed, d.reset, d.pieces, d.sent[:d.cut])
		}
	}
	for seed := range uint64(drawnSeeds) {
		one(seed)
	}
	fresh, _ := strconv.Atoi(os.Getenv("DRAWN_SEEDS"))
	for range fresh {
		one(rand.Uint64())
	}
	for _, kind := range []string{"body broke off", "no answer", "ended with its connection", "whole, kept", "whole, closed"} {
		if met[kind] == 0 {
			t.Errorf("no drawn reading ends with: %s; the draw does not reach what it should", kind)
		}
	}
	t.Log(met)
}

// FuzzCall: whatever a server sends, an answer that is told whole by its frame
// is whole at its last byte: not before, and whatever follows changes nothing.
func FuzzCall(f *testing.F) {
	for seed := range uint64(50) {
		d := drawReading(rand.New(rand.NewPCG(seed, 0)))
		f.Add(d.sent, uint(d.cut))
	}
	f.Fuzz(func(t *testing.T, sent []byte, at uint) {
		r := &Request{Method: http.MethodPost, URI: "/x", Host: "h", ID: drawnID, IDHeader: "Id"}
		// Behind a reset only a frame can tell that an answer is whole.
		all := readAll(t, sent, true, len(sent)+1, r)
		cut := int(at % uint(len(sent)+1))
		part := readAll(t, sent[:cut], true, 1+int(at%9), r)
		if part.kept && part.failed {
			t.Error("a connection is kept behind a failure")
		}
		switch {
		case all.failed:
			if !part.failed {
				t.Errorf("%q is whole, and no more with what follows", sent[:cut])
			}
		case cut < all.used:
			if !part.failed {
				t.Errorf("%q is whole, and so is %q", sent[:cut], sent[:all.used])
			}
		default:
			if part.failed || part.status != all.status || part.body != all.body || part.used != all.used {
				t.Errorf("got %+v of a part, %+v of all", part, all)
			}
		}
	})
}
