package agent

import (
	"bufio"
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

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// readResult is what a reader got on one connection.
type readResult struct {
	attempt, offset int
	// noResponse is true if there was no complete response header.
	noResponse bool
	status     int
	outcome    string
	body       string
	// checksum is the trailer after the body.
	checksum string
	// cleanEnd is true if the body's end was framed as complete. leftEarly is
	// true if the reader did not wait for the end.
	cleanEnd, leftEarly bool
}

// connection sends a request, reads the answer and disconnects after maxBytes
// bytes of the response or maxBody bytes of its body. Negative values mean no
// limit. If cutRequestAt is set, the request itself is cut after that many
// bytes.
type connection struct {
	request string
	// attempt is the number of the attempt that sends the request, or 0 for a
	// request for the rest of an answer.
	attempt      int
	offset       int
	maxBytes     int
	maxBody      int
	cutRequestAt int
	// halfClose closes the write side after the request, as a disconnecting
	// client does.
	halfClose bool
}

func (c connection) leavesEarly() bool { return c.maxBytes >= 0 || c.maxBody >= 0 || c.halfClose }

func (c connection) read(t *testing.T, address string) readResult {
	conn, err := net.Dial("unix", address)
	if err != nil {
		t.Error(err)
		return readResult{noResponse: true}
	}
	defer conn.Close()
	if c.cutRequestAt > 0 {
		_, _ = io.WriteString(conn, c.request[:c.cutRequestAt])
		return readResult{noResponse: true}
	}
	_, _ = io.WriteString(conn, c.request)
	if c.halfClose {
		_ = conn.(*net.UnixConn).CloseWrite()
	}
	reader := io.Reader(conn)
	if c.maxBytes >= 0 {
		reader = io.LimitReader(conn, int64(c.maxBytes))
	}
	response, err := http.ReadResponse(bufio.NewReader(reader), nil)
	if err != nil {
		return readResult{noResponse: true, offset: c.offset}
	}
	bodyReader := io.Reader(response.Body)
	if c.maxBody >= 0 {
		bodyReader = io.LimitReader(bodyReader, int64(c.maxBody))
	}
	body, err := io.ReadAll(bodyReader)
	return readResult{
		attempt: c.attempt, offset: c.offset, leftEarly: c.leavesEarly(), status: response.StatusCode, outcome: response.Header.Get(outcome.Header), body: string(body), cleanEnd: err == nil && c.maxBody < 0, checksum: response.Trailer.Get("Checksum"),
	}
}

// scenario is one request of an entry with everything that happens to it.
type scenario struct {
	*harness
	random *rand.Rand
	// received is what the entry has of the current run over all its
	// connections.
	received string
	// steps records the steps for the log of a failed scenario.
	steps []string
	// endings are the kinds of endings that occurred.
	endings map[string]bool
	// attempts is the number of times the request was sent. refused lists the
	// attempts that were answered not-run.
	attempts int
	refused  []int
	// readers counts the connections of the current run that delivered new
	// bytes.
	readers int
	done    bool
}

func (s *scenario) newAttempt() connection {
	s.attempts++
	body := attemptBody(s.attempts)
	return connection{attempt: s.attempts, request: fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: a\r\n%s: r1\r\n%s: m@1\r\nContent-Length: %d\r\n\r\n%s",
		wire.HeaderRequestID, wire.HeaderModel, len(body), body), maxBytes: -1, maxBody: -1}
}

func resumeRequest(offset int) connection {
	return connection{request: fmt.Sprintf("GET %sr1?%s=%d HTTP/1.1\r\nHost: a\r\n\r\n", wire.PathRuns, wire.QueryOffset, offset), offset: offset, maxBytes: -1, maxBody: -1}
}

// withRandomEnd makes a reader disconnect at a random byte of its answer, or
// read to the end.
func (s *scenario) withRandomEnd(c connection) connection {
	switch s.random.IntN(8) {
	case 0:
		c.maxBytes = s.random.IntN(300)
	case 1, 2:
		c.maxBytes = s.random.IntN(3000)
	case 3:
		c.maxBytes = s.random.IntN(700_000)
	case 4:
		// The reader gets the whole body but not its end.
		c.maxBody = max(0, len(s.script[0].content())-c.offset)
	case 5:
		c.halfClose = true
	}
	return c
}

// randomOffset returns the offset at which an entry resumes, in most cases the
// end of what it has.
func (s *scenario) randomOffset() int {
	switch s.random.IntN(10) {
	case 0, 1:
		return s.random.IntN(len(s.received) + 1)
	case 2:
		return len(s.received) + s.random.IntN(100)
	default:
		return len(s.received)
	}
}

// readAndCheck reads an answer on a connection, checks it and appends it to the
// received bytes.
func (s *scenario) readAndCheck(t *testing.T, c connection) {
	s.steps = append(s.steps, fmt.Sprintf("%.4s at offset %d up to %d bytes", c.request, c.offset, c.maxBytes))
	s.check(t, c.read(t, s.address))
}

// check compares one reader's result with what the engine did.
func (s *scenario) check(t *testing.T, v readResult) {
	switch {
	case v.noResponse:
	case v.outcome != outcome.Answered.String():
		s.checkUnanswered(t, v)
	default:
		s.checkAnswered(t, v)
	}
}

func (s *scenario) checkUnanswered(t *testing.T, v readResult) {
	result, err := outcome.Parse(v.outcome)
	if err != nil || v.status < http.StatusBadRequest {
		t.Errorf("status %d without a valid outcome: %+v", v.status, v)
	}
	if result == outcome.NotRun && s.certainlyRan(v.attempt) {
		t.Errorf("answered not-run although the engine ran the request: %+v", v)
	}
	if result == outcome.NotRun && v.attempt > 0 {
		s.refused = append(s.refused, v.attempt)
	}
	s.endings[fmt.Sprintf("%s %d", v.outcome, v.status)] = true
}

// certainlyRan reports whether an attempt ran. For attempt 0, the rest of an
// answer, it reports whether all attempts ran.
func (s *scenario) certainlyRan(attempt int) bool {
	if attempt > 0 {
		return s.ran(attempt)
	}
	for n := range s.attempts {
		if !s.ran(n + 1) {
			return false
		}
	}
	return true
}

func (s *scenario) checkAnswered(t *testing.T, v readResult) {
	if !v.cleanEnd && !v.leftEarly {
		s.endings["reader cut"] = true
	}
	if r := s.matchingRun(v); r == nil {
		t.Errorf("no run of the engine matches status %d, offset %d, clean end %v, %d bytes: %.300q", v.status, v.offset, v.cleanEnd, len(v.body), v.body)
		return
	}
	if s.done || v.offset > len(s.received) {
		return
	}
	if v.body != "" && v.offset+len(v.body) > len(s.received) {
		s.readers++
	}
	if received := s.received[:v.offset] + v.body; len(received) >= len(s.received) {
		s.received = received
	}
	if !v.cleanEnd {
		return
	}
	s.done = true
	r := s.matchingRun(readResult{status: v.status, body: s.received, checksum: v.checksum, cleanEnd: true})
	switch {
	case r == nil:
		t.Errorf("incomplete answer ends as complete over all readers: %d bytes: %.300q", len(s.received), s.received)
	case v.status >= http.StatusBadRequest:
		s.endings["error relayed"] = true
	case s.readers > 1:
		s.endings["complete over several readers"] = true
	default:
		s.endings["complete"] = true
	}
	if v.offset > 0 && v.body == "" {
		s.endings["resumed at the end"] = true
	}
}

// matchingRun returns the engine's run that a result can belong to, or nil.
func (s *scenario) matchingRun(v readResult) *scriptedRun {
	for _, r := range s.startedRuns() {
		content := r.content()
		if !r.relayed() || r.status != v.status || v.offset > len(content) {
			continue
		}
		if v.cleanEnd && r.complete() && v.body == content[v.offset:] && v.checksum == r.checksum() || !v.cleanEnd && strings.HasPrefix(content[v.offset:], v.body) {
			return r
		}
	}
	return nil
}

// readConcurrently reads on two connections at the same time. Only the later
// one is served.
func (s *scenario) readConcurrently(t *testing.T) {
	first, second := s.withRandomEnd(resumeRequest(len(s.received))), s.withRandomEnd(resumeRequest(s.randomOffset()))
	holding := s.holding()
	if holding {
		// The first reader is attached, and the answer has not ended, when the
		// second one connects.
		first = resumeRequest(len(s.received))
		second.offset = min(second.offset, len(s.received))
		second = resumeRequest(second.offset)
	}
	s.steps = append(s.steps, fmt.Sprintf("two readers: at offset %d up to %d bytes, at offset %d up to %d bytes, holding %v", first.offset, first.maxBytes, second.offset, second.maxBytes, holding))
	var results [2]readResult
	var ended [2]chan struct{}
	before := s.readerCount()
	for i, c := range []connection{first, second} {
		ended[i] = make(chan struct{})
		go func() {
			defer close(ended[i])
			results[i] = c.read(t, s.address)
		}()
		for holding && s.readerCount() < before+uint64(i)+1 {
			select {
			case <-ended[i]:
				holding = false
			case <-time.After(time.Millisecond):
			}
		}
	}
	s.release()
	<-ended[0]
	<-ended[1]
	if holding {
		s.endings["reader superseded"] = true
		if results[0].cleanEnd {
			t.Errorf("superseded reader got a clean end: %+v", results[0])
		}
	}
	s.check(t, results[0])
	s.check(t, results[1])
}

// randomStep performs one random step.
func (s *scenario) randomStep(t *testing.T) {
	switch s.random.IntN(12) {
	case 0:
		s.steps = append(s.steps, "cancel")
		connection{request: "DELETE " + wire.PathRuns + "r1 HTTP/1.1\r\nHost: a\r\n\r\n", maxBytes: -1, maxBody: -1}.read(t, s.address)
	case 1:
		// The entry has abandoned the run and sends the request again.
		s.received, s.readers, s.done = "", 0, false
		s.release()
		s.readAndCheck(t, s.withRandomEnd(s.newAttempt()))
	case 2:
		c := s.newAttempt()
		c.cutRequestAt = 1 + s.random.IntN(len(c.request)-1)
		s.steps = append(s.steps, fmt.Sprintf("request cut after %d bytes", c.cutRequestAt))
		c.read(t, s.address)
	case 3, 4, 5:
		s.readConcurrently(t)
	default:
		s.release()
		s.readAndCheck(t, s.withRandomEnd(resumeRequest(s.randomOffset())))
	}
}

func runScenario(t *testing.T, seed uint64, seenEndings map[string]int) {
	random := rand.New(rand.NewPCG(seed, 0))
	var script []*scriptedRun
	for n := range 6 {
		script = append(script, newRandomRun(random, n))
	}
	s := &scenario{harness: newHarness(t, script), random: random, endings: make(map[string]bool)}
	first := s.withRandomEnd(s.newAttempt())
	if holdAt := script[0].holdAt; holdAt > 0 {
		first.maxBytes, first.halfClose, first.maxBody = -1, false, random.IntN(1+len(strings.Join(script[0].pieces[:holdAt], "")))
	}
	s.readAndCheck(t, first)
	for range random.IntN(5) {
		s.randomStep(t)
	}
	s.release()
	if !s.done {
		s.readAndCheck(t, resumeRequest(len(s.received)))
	}
	if !s.done && s.received != "" {
		s.endings["partial"] = true
	}
	for _, attempt := range s.refused {
		if s.ran(attempt) {
			t.Errorf("attempt %d ran after it was answered not-run", attempt)
		}
	}
	s.mu.Lock()
	for _, body := range s.bodies {
		if !strings.HasPrefix(body, "{") || !strings.HasSuffix(body, "}") {
			t.Errorf("engine received a partial body %q", body)
		}
	}
	s.mu.Unlock()
	for ending := range s.endings {
		seenEndings[ending]++
	}
	if t.Failed() {
		t.Log(s.steps, s.startedRuns())
	}
}

// fixedSeeds is the number of seeds used in every test run. DRAWN_SEEDS adds
// that many random ones.
const fixedSeeds = 300

// The engine answers, breaks off at any byte, fails, answers with another model
// or sends nothing. The entry's connections end at any byte of a request or an
// answer. The entry resumes at any offset, uses two connections at the same
// time, cancels, or sends the request again. The bytes received over all its
// connections must be the engine's bytes in order, and an answer may end as
// complete only after all of them.
func TestPartialAnswersNeverLookComplete(t *testing.T) {
	seenEndings := make(map[string]int)
	runSeed := func(seed uint64) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) { runScenario(t, seed, seenEndings) })
	}
	for seed := range uint64(fixedSeeds) {
		runSeed(seed)
	}
	extraSeeds, _ := strconv.Atoi(os.Getenv("DRAWN_SEEDS"))
	for range extraSeeds {
		runSeed(rand.Uint64())
	}
	for _, ending := range []string{
		"complete", "complete over several readers", "resumed at the end", "partial", "reader cut", "reader superseded", "error relayed",
		"not-run 503", "unknown 502", "unknown 410", "unknown 404",
	} {
		if seenEndings[ending] == 0 {
			t.Errorf("no random scenario ended with %q", ending)
		}
	}
	t.Log(seenEndings)
}
