package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// deed is what a server, or the agent before it, does with one request.
type deed uint8

const (
	// deedAnswer gives a whole answer, deedEmpty one that has no body.
	deedAnswer deed = iota
	deedEmpty
	// deedBreak begins an answer and breaks off.
	deedBreak
	// deedFail answers with a failure of the server's own, deedFailBroken breaks
	// off in the middle of that.
	deedFail
	deedFailBroken
	// deedNotRun and deedDecline are an agent's words that nothing ran, deedUnknown
	// its word that it cannot tell.
	deedNotRun
	deedDecline
	deedUnknown
	// deedOther answers by another model.
	deedOther
	// deedDrop ends the connection without a byte of an answer.
	deedDrop
	// deedGarble sends bytes that are no answer, deedOdd a status that is not final.
	deedGarble
	deedOdd
	// deedExtra sends bytes behind a whole answer.
	deedExtra
)

// framing is how the end of an answer is told.
type framing uint8

const (
	framingChunked framing = iota
	framingLength
	// framingClose ends an answer with its connection.
	framingClose
	framings
)

// rest is what an agent does when it is asked for the rest of an answer.
type rest uint8

const (
	// restGoOn gives it, restCut a part of it, restDrop nothing.
	restGoOn rest = iota
	restCut
	restDrop
	// restGone says that there is none, restOther is an answer of another process.
	restGone
	restOther
	rests
)

// act is a deed with its particulars.
type act struct {
	deed    deed
	framing framing
	status  int
	// pieces is how much of an answer is sent before it breaks off, half is true
	// when half a piece follows.
	pieces int
	half   bool
	// reset ends the connection by a reset.
	reset bool
	// large makes the answer larger than a claim keeps, trailer gives it one.
	large, trailer bool
	// lineCut is true when an agent's connection breaks, and not its engine.
	lineCut bool
}

// breaks reports whether an answer breaks off.
func (a act) breaks() bool { return a.deed == deedBreak || a.deed == deedFailBroken }

func (a act) String() string {
	return fmt.Sprintf("{deed %d, framing %d, status %d, pieces %d, half %v, reset %v, large %v, trailer %v, line %v}",
		a.deed, a.framing, a.status, a.pieces, a.half, a.reset, a.large, a.trailer, a.lineCut)
}

// run is what a server did with one request, as it saw it itself.
type run struct {
	act
	name string
	// request is its id.
	request string
	ran     bool
	body    string
	// whole is true when the server sent, or its agent holds, the whole answer.
	whole bool
	// sent is how much of the body there is when it is not whole, in bytes.
	sent int
	// asked counts the questions for its rest, met what came of the last.
	asked int
	met   rest
}

// serverKind is what stands at an address.
type serverKind uint8

const (
	plainService serverKind = iota
	bareEngine
	agentBefore
)

// script is what the servers of a deployment do with the requests that reach
// them, one after the other. Behind its end they answer.
type script struct {
	kind   serverKind
	stream bool
	acts   []act
	rests  []rest

	mu    sync.Mutex
	runs  []*run
	asked int
}

func (s *script) begin(r *http.Request) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := act{status: http.StatusOK}
	if n := len(s.runs); n < len(s.acts) {
		a = s.acts[n]
	}
	began := &run{act: a, name: fmt.Sprint("run-", len(s.runs)), request: r.Header.Get(wire.HeaderRequestID)}
	began.ran = a.deed != deedNotRun && a.deed != deedDecline
	s.runs = append(s.runs, began)
	return began
}

// rest finds the run whose rest is asked for and what is done about it.
func (s *script) rest(r *http.Request) (*run, rest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := strings.TrimPrefix(r.URL.Path, wire.PathRuns)
	does := restGoOn
	if s.asked < len(s.rests) {
		does = s.rests[s.asked]
	}
	s.asked++
	for i := len(s.runs) - 1; i >= 0; i-- {
		if s.runs[i].request == id {
			s.runs[i].asked++
			s.runs[i].met = does
			return s.runs[i], does
		}
	}
	return nil, restGone
}

func (s *script) seen() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []run
	for _, r := range s.runs {
		all = append(all, *r)
	}
	return all
}

// stand runs a server that plays the script, down to the framing of its answers.
func (s *script) stand(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var open []net.Conn
	stopped := false
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			if open = append(open, conn); stopped {
				// An entry's last word on a run comes behind its answer.
				_ = conn.Close()
			}
			mu.Unlock()
			serving.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		mu.Lock()
		stopped = true
		for _, conn := range open {
			_ = conn.Close()
		}
		mu.Unlock()
		serving.Wait()
	})
	return listener.Addr().String()
}

func (s *script) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		keep, reset := s.answer(conn, request)
		if !keep {
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

// answer acts on one request, and reports whether the connection goes on and
// whether it ends by a reset.
func (s *script) answer(conn io.Writer, request *http.Request) (keep, reset bool) {
	switch {
	case request.Method == http.MethodDelete:
		_, _ = io.WriteString(conn, "HTTP/1.1 204 X\r\n\r\n")
		return true, false
	case strings.HasPrefix(request.URL.Path, wire.PathRuns):
		return s.goOn(conn, request), false
	}
	r := s.begin(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.play(r, conn, request.Method == http.MethodHead), r.reset && r.breaks()
}

// play does what the script says, for the run's first connection.
func (s *script) play(r *run, conn io.Writer, bodyless bool) (keep bool) {
	switch r.deed {
	case deedDrop:
		return false
	case deedGarble:
		_, _ = io.WriteString(conn, "no answer at all\r\n\r\n")
		return false
	case deedOdd:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %03d X\r\nRun: %s\r\n\r\n", r.status, r.name)
		return false
	case deedNotRun, deedDecline, deedUnknown:
		s.refuse(r, conn)
		return true
	}
	pieces := s.content(r)
	r.body, r.whole = strings.Join(pieces, ""), !r.breaks()
	if r.deed == deedEmpty || bodyless {
		r.body, r.whole = "", true
		_, _ = io.WriteString(conn, s.header(r, r.status, "Content-Length: 7"))
		return true
	}
	r.sent = len(r.body)
	if !r.whole {
		r.sent = sentOf(pieces, r.pieces, r.half)
	}
	s.send(r, conn, r.framing, pieces, 0, r.sent)
	if r.whole {
		s.end(r, conn, r.framing)
	}
	if r.breaks() && r.lineCut && s.kind == agentBefore {
		// The engine goes on: only the way to the entry was cut.
		r.whole = true
	}
	if r.deed == deedExtra {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		return false
	}
	return !r.breaks() && r.framing != framingClose
}

// sentOf is how many bytes some whole pieces have, and half of the next.
func sentOf(pieces []string, whole int, half bool) int {
	sent := 0
	whole = min(whole, len(pieces)-1)
	for _, piece := range pieces[:whole] {
		sent += len(piece)
	}
	if half {
		sent += len(pieces[whole]) / 2
	}
	return sent
}

// refuse says that nothing ran, or that nothing is known.
func (s *script) refuse(r *run, conn io.Writer) {
	said, declined := outcome.NotRun, ""
	if r.deed == deedUnknown {
		said = outcome.Unknown
	}
	if r.deed == deedDecline {
		declined = wire.HeaderDeclined + ": true\r\n"
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 X\r\n%s: %s\r\n%sContent-Length: 4\r\n\r\nbusy", outcome.Header, said, declined)
}

const drawnEvents = 6

// content is the whole body that the server means, in pieces. Each names its run.
func (s *script) content(r *run) []string {
	failed := r.deed == deedFail || r.deed == deedFailBroken
	ranAs := model
	if r.deed == deedOther {
		ranAs = baseModel
	}
	switch {
	case failed:
		return []string{"failed ", "in ", r.name}
	case s.stream:
		var pieces []string
		for n := range drawnEvents {
			pieces = append(pieces, fmt.Sprintf("data: {\"model\":%q,\"run\":%q,\"n\":%d}\n\n", ranAs, r.name, n))
		}
		return append(pieces, "data: [DONE]\n\n")
	case s.kind != plainService:
		return []string{fmt.Sprintf(`{"model":%q,"run":%q,`, ranAs, r.name), `"choices":[{"text":"words"}],`, `"usage":{"total_tokens":9}}`}
	case r.large:
		return []string{strings.Repeat("x", 20<<10), "two ", "of " + r.name}
	default:
		return []string{"one ", "two ", "of " + r.name}
	}
}

// header is the header of a run's answer.
func (s *script) header(r *run, status int, framed string) string {
	lines := []string{"Run: " + r.name, framed}
	switch {
	case status >= 300:
		lines = append(lines, "Content-Type: text/plain")
	case s.stream:
		lines = append(lines, eventStream)
	default:
		lines = append(lines, "Content-Type: application/json")
	}
	if s.kind == agentBefore {
		lines = append(lines, outcome.Header+": "+outcome.Answered.String())
	}
	if s.kind == agentBefore && status < 400 {
		ran := model
		if r.deed == deedOther {
			ran = baseModel
		}
		lines = append(lines, wire.HeaderRan+": "+ran)
	}
	return head(status, lines...)
}

// send sends the header and the bytes from one offset to another, in the pieces
// that the server means.
func (s *script) send(r *run, conn io.Writer, how framing, pieces []string, from, to int) {
	framed := "Connection: close"
	switch how {
	case framingChunked:
		framed = inChunks
	case framingLength:
		framed = fmt.Sprint("Content-Length: ", len(r.body)-from)
	}
	_, _ = io.WriteString(conn, s.header(r, r.status, framed))
	at := 0
	for _, piece := range pieces {
		begin, end := max(from, at), min(to, at+len(piece))
		at += len(piece)
		if begin >= end {
			continue
		}
		if how == framingChunked {
			_, _ = io.WriteString(conn, chunk(r.body[begin:end]))
		} else {
			_, _ = io.WriteString(conn, r.body[begin:end])
		}
	}
}

// end ends a whole body.
func (s *script) end(r *run, conn io.Writer, how framing) {
	if how != framingChunked {
		return
	}
	trailer := ""
	if r.trailer {
		trailer = "Checksum: " + r.name + "\r\n"
	}
	_, _ = io.WriteString(conn, "0\r\n"+trailer+"\r\n")
}

// goOn gives the rest of a run's answer as the script says.
func (s *script) goOn(conn io.Writer, request *http.Request) (keep bool) {
	r, does := s.rest(request)
	offset, _ := strconv.Atoi(request.URL.Query().Get(wire.QueryOffset))
	s.mu.Lock()
	defer s.mu.Unlock()
	if r == nil || r.body == "" || !r.whole && offset >= r.sent {
		does = restGone
	}
	switch does {
	case restDrop:
		return false
	case restGone:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 404 X\r\n%s: unknown\r\nContent-Length: 4\r\n\r\ngone", outcome.Header)
		return true
	case restOther:
		other := &run{name: "other", act: act{status: http.StatusInternalServerError}, body: "of another process"}
		s.send(other, conn, framingChunked, []string{other.body}, 0, len(other.body))
		s.end(other, conn, framingChunked)
		return true
	}
	to := len(r.body)
	if !r.whole {
		to = r.sent
	}
	if does == restCut {
		to = offset + (to-offset)/2
	}
	// An agent frames what it gives again by chunks.
	s.send(r, conn, framingChunked, s.content(r), offset, to)
	if to < len(r.body) || !r.whole {
		return false
	}
	s.end(r, conn, framingChunked)
	return true
}
