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

// action is what a server, or the agent in front of it, does with one request.
type action uint8

const (
	// actionAnswer sends a complete answer, actionEmpty one without a body.
	actionAnswer action = iota
	actionEmpty
	// actionBreak starts an answer and breaks off.
	actionBreak
	// actionFail answers with an error of the server itself, actionFailBroken
	// breaks off within that answer.
	actionFail
	actionFailBroken
	// actionNotRun and actionDecline are an agent's reports that nothing ran,
	// actionUnknown is its report that the outcome is unknown.
	actionNotRun
	actionDecline
	actionUnknown
	// actionOtherModel answers from a different model.
	actionOtherModel
	// actionDrop closes the connection before the first byte of an answer.
	actionDrop
	// actionGarble sends bytes that are not an HTTP response, actionNonFinal a
	// status that is not final.
	actionGarble
	actionNonFinal
	// actionExtra sends more bytes after a complete answer.
	actionExtra
)

// framing is how the end of an answer is delimited.
type framing uint8

const (
	framingChunked framing = iota
	framingLength
	// framingClose delimits an answer by the close of its connection.
	framingClose
	numFramings
)

// resumeAction is what an agent does when the entry requests the rest of an answer.
type resumeAction uint8

const (
	// resumeAll sends the complete rest, resumePart a part of it, resumeDrop nothing.
	resumeAll resumeAction = iota
	resumePart
	resumeDrop
	// resumeGone reports that there is no rest, resumeOther sends an answer of
	// another process.
	resumeGone
	resumeOther
	numResumeActions
)

// step is an action with its parameters.
type step struct {
	action  action
	framing framing
	status  int
	// pieces is the number of pieces of an answer that are sent before it breaks
	// off; half is true if half of another piece follows.
	pieces int
	half   bool
	// reset closes the connection with a TCP reset.
	reset bool
	// large makes the answer larger than a claim records, trailer adds a trailer.
	large, trailer bool
	// connCut is true if only the agent's connection breaks and its engine goes on.
	connCut bool
}

// breaks reports whether the answer breaks off.
func (s step) breaks() bool { return s.action == actionBreak || s.action == actionFailBroken }

func (s step) String() string {
	return fmt.Sprintf("{action %d, framing %d, status %d, pieces %d, half %v, reset %v, large %v, trailer %v, connCut %v}",
		s.action, s.framing, s.status, s.pieces, s.half, s.reset, s.large, s.trailer, s.connCut)
}

// run is what a server did with one request, as recorded by the server itself.
type run struct {
	step
	name string
	// request is the request's ID.
	request string
	ran     bool
	body    string
	// complete is true if the server sent, or its agent holds, the complete answer.
	complete bool
	// sent is the size of the available part of the body if it is not complete, in
	// bytes.
	sent int
	// resumes counts the requests for the rest of the answer, lastResume is the
	// action on the last of them.
	resumes    int
	lastResume resumeAction
}

// serverKind is the kind of process that listens at an address.
type serverKind uint8

const (
	plainService serverKind = iota
	bareEngine
	engineWithAgent
)

// script defines what the servers of a deployment do with the requests that reach
// them, in order. After its last step they answer normally.
type script struct {
	kind          serverKind
	stream        bool
	steps         []step
	resumeActions []resumeAction

	mu      sync.Mutex
	runs    []*run
	resumed int
}

func (s *script) nextRun(r *http.Request) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := step{status: http.StatusOK}
	if n := len(s.runs); n < len(s.steps) {
		next = s.steps[n]
	}
	newRun := &run{step: next, name: fmt.Sprint("run-", len(s.runs)), request: r.Header.Get(wire.HeaderRequestID)}
	newRun.ran = next.action != actionNotRun && next.action != actionDecline
	s.runs = append(s.runs, newRun)
	return newRun
}

// resume returns the run whose rest is requested and the action on that request.
func (s *script) resume(r *http.Request) (*run, resumeAction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := strings.TrimPrefix(r.URL.Path, wire.PathRuns)
	next := resumeAll
	if s.resumed < len(s.resumeActions) {
		next = s.resumeActions[s.resumed]
	}
	s.resumed++
	for i := len(s.runs) - 1; i >= 0; i-- {
		if s.runs[i].request == id {
			s.runs[i].resumes++
			s.runs[i].lastResume = next
			return s.runs[i], next
		}
	}
	return nil, resumeGone
}

func (s *script) recordedRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []run
	for _, r := range s.runs {
		all = append(all, *r)
	}
	return all
}

// listen runs a server that follows the script, down to the framing of its answers.
func (s *script) listen(t *testing.T) (address string) {
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
				// An entry's request that cancels a run may arrive after the run's
				// answer.
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

// answer handles one request, and reports whether the connection is kept open and
// whether it is closed with a reset.
func (s *script) answer(conn io.Writer, request *http.Request) (keep, reset bool) {
	switch {
	case request.Method == http.MethodDelete:
		_, _ = io.WriteString(conn, "HTTP/1.1 204 X\r\n\r\n")
		return true, false
	case strings.HasPrefix(request.URL.Path, wire.PathRuns):
		return s.resumeAnswer(conn, request), false
	}
	r := s.nextRun(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.perform(r, conn, request.Method == http.MethodHead), r.reset && r.breaks()
}

// perform performs the run's step on the connection of its first request.
func (s *script) perform(r *run, conn io.Writer, bodyless bool) (keep bool) {
	switch r.action {
	case actionDrop:
		return false
	case actionGarble:
		_, _ = io.WriteString(conn, "no answer at all\r\n\r\n")
		return false
	case actionNonFinal:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %03d X\r\nRun: %s\r\n\r\n", r.status, r.name)
		return false
	case actionNotRun, actionDecline, actionUnknown:
		s.refuse(r, conn)
		return true
	}
	pieces := s.content(r)
	r.body, r.complete = strings.Join(pieces, ""), !r.breaks()
	if r.action == actionEmpty || bodyless {
		r.body, r.complete = "", true
		_, _ = io.WriteString(conn, s.header(r, r.status, "Content-Length: 7"))
		return true
	}
	r.sent = len(r.body)
	if !r.complete {
		r.sent = partialSize(pieces, r.pieces, r.half)
	}
	s.send(r, conn, r.framing, pieces, 0, r.sent)
	if r.complete {
		s.end(r, conn, r.framing)
	}
	if r.breaks() && r.connCut && s.kind == engineWithAgent {
		// The engine goes on; only the agent's connection to the entry was cut.
		r.complete = true
	}
	if r.action == actionExtra {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		return false
	}
	return !r.breaks() && r.framing != framingClose
}

// partialSize returns the size in bytes of the first complete pieces and, if half
// is set, of half of the next.
func partialSize(pieces []string, complete int, half bool) int {
	size := 0
	complete = min(complete, len(pieces)-1)
	for _, piece := range pieces[:complete] {
		size += len(piece)
	}
	if half {
		size += len(pieces[complete]) / 2
	}
	return size
}

// refuse reports that nothing ran, or that the outcome is unknown.
func (s *script) refuse(r *run, conn io.Writer) {
	reported, declined := outcome.NotRun, ""
	if r.action == actionUnknown {
		reported = outcome.Unknown
	}
	if r.action == actionDecline {
		declined = wire.HeaderDeclined + ": true\r\n"
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 X\r\n%s: %s\r\n%sContent-Length: 4\r\n\r\nbusy", outcome.Header, reported, declined)
}

const streamEvents = 6

// content returns the complete body of a run in pieces. Each body names its run.
func (s *script) content(r *run) []string {
	failed := r.action == actionFail || r.action == actionFailBroken
	ranAs := model
	if r.action == actionOtherModel {
		ranAs = baseModel
	}
	switch {
	case failed:
		return []string{"failed ", "in ", r.name}
	case s.stream:
		var pieces []string
		for n := range streamEvents {
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

// header returns the header of a run's answer.
func (s *script) header(r *run, status int, framed string) string {
	lines := []string{"Run: " + r.name, framed}
	switch {
	case status >= 300:
		lines = append(lines, "Content-Type: text/plain")
	case s.stream:
		lines = append(lines, eventStreamType)
	default:
		lines = append(lines, "Content-Type: application/json")
	}
	if s.kind == engineWithAgent {
		lines = append(lines, outcome.Header+": "+outcome.Answered.String())
	}
	if s.kind == engineWithAgent && status < 400 {
		ran := model
		if r.action == actionOtherModel {
			ran = baseModel
		}
		lines = append(lines, wire.HeaderServedModel+": "+ran)
	}
	return head(status, lines...)
}

// send sends the header and the bytes between two offsets, in the given pieces.
func (s *script) send(r *run, conn io.Writer, frame framing, pieces []string, from, to int) {
	framed := "Connection: close"
	switch frame {
	case framingChunked:
		framed = chunkedEncoding
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
		if frame == framingChunked {
			_, _ = io.WriteString(conn, chunk(r.body[begin:end]))
		} else {
			_, _ = io.WriteString(conn, r.body[begin:end])
		}
	}
}

// end ends a complete body.
func (s *script) end(r *run, conn io.Writer, frame framing) {
	if frame != framingChunked {
		return
	}
	trailer := ""
	if r.trailer {
		trailer = "Checksum: " + r.name + "\r\n"
	}
	_, _ = io.WriteString(conn, "0\r\n"+trailer+"\r\n")
}

// resumeAnswer sends the rest of a run's answer as the script defines.
func (s *script) resumeAnswer(conn io.Writer, request *http.Request) (keep bool) {
	r, next := s.resume(request)
	offset, _ := strconv.Atoi(request.URL.Query().Get(wire.QueryOffset))
	s.mu.Lock()
	defer s.mu.Unlock()
	if r == nil || r.body == "" || !r.complete && offset >= r.sent {
		next = resumeGone
	}
	switch next {
	case resumeDrop:
		return false
	case resumeGone:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 404 X\r\n%s: unknown\r\nContent-Length: 4\r\n\r\ngone", outcome.Header)
		return true
	case resumeOther:
		other := &run{name: "other", step: step{status: http.StatusInternalServerError}, body: "of another process"}
		s.send(other, conn, framingChunked, []string{other.body}, 0, len(other.body))
		s.end(other, conn, framingChunked)
		return true
	}
	to := len(r.body)
	if !r.complete {
		to = r.sent
	}
	if next == resumePart {
		to = offset + (to-offset)/2
	}
	// An agent sends the rest of an answer in chunks.
	s.send(r, conn, framingChunked, s.content(r), offset, to)
	if to < len(r.body) || !r.complete {
		return false
	}
	s.end(r, conn, framingChunked)
	return true
}
