package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/upstream"
)

// maxAnswer limits the size of an answer that is buffered completely before it is relayed.
const maxAnswer = 8 << 20

// reply is a server's answer while it is being relayed.
type reply struct {
	server   *server
	response *upstream.Response
	verdict  Verdict
	// headerAt is when the header arrived.
	headerAt time.Time
	events   eventBuffer
	// chunk is the buffer for one read of a stream.
	chunk []byte
	// now returns the time by which output is measured.
	now func() time.Time
	// outputSince is the time of the first event, or of the header where the answer is no stream; zero
	// before it.
	outputSince time.Time
	// resumeAfter is the ID of the event after which this reply continues a stream. It is empty
	// for a stream that begins here, and once an event has shown that the reply continues the
	// stream.
	resumeAfter string
	// proved is set once the reply has shown that the parts of the prompt crash no servers.
	proved bool
	// watched is the watch of the beginning of a stream; nil for other answers.
	watched *unanswered
	// checked is set once the software version of the server was checked, at the directory's change
	// rosterChange.
	checked      bool
	rosterChange uint64
	// releases are the functions that free what the request holds at the server and its agent.
	releases []func()
	// held is what the reply holds of the memory for answers.
	held *upstream.Holding
}

// outputFor returns the time for which output has been arriving.
func (r *reply) outputFor(now time.Time) time.Duration {
	if r.outputSince.IsZero() {
		return 0
	}
	return now.Sub(r.outputSince)
}

// release frees what the request holds.
func (r *reply) release() {
	for _, release := range r.releases {
		release()
	}
	r.releases = nil
}

// header returns the part of the server's header that is relayed to the caller. Framing headers
// are set again on the way out.
func (r *reply) header() http.Header {
	header := make(http.Header)
	relay.CopyHeader(header, r.response.Header)
	return header
}

// isStream reports whether the reply is relayed as a stream of events.
func (x *exchange) isStream(r *reply) bool {
	return x.route.Kind == route.KindStream && r.response.Status < http.StatusMultipleChoices
}

// open returns the answer that begins with a server's reply. If there is none, the step says
// whether another server may be tried.
func (x *exchange) open(r *reply) (answer.Answer, step) {
	if x.isStream(r) {
		return x.openStream(r)
	}
	return x.openBuffered(r)
}

// openBuffered buffers the answer until it is complete: an answer that breaks off must not look
// complete, and until then another server can still be tried.
func (x *exchange) openBuffered(r *reply) (answer.Answer, step) {
	defer r.release()
	r.outputSince = r.now()
	body, err := upstream.ReadBody(r.response.Body, maxAnswer, x.memory)
	if errors.Is(err, upstream.ErrTooLarge) || errors.Is(err, upstream.ErrNoMemory) {
		r.response.Abort()
		x.lastReason = "the backend server's answer is too large"
		x.logBroken("answer given up", r.server, err)
		return answer.Answer{}, x.recordFailure(r.server, r.verdict)
	}
	if err != nil {
		x.lastReason = "the backend server's answer broke off"
		return answer.Answer{}, x.brokeOff("answer broke off", r, err)
	}
	held := x.memory.Hold()
	if len(body) == 0 || !answer.HasBody(x.call.Method, r.response.Status) {
		held = nil
	} else if err := held.Grow(cap(body)); err != nil {
		r.response.Abort()
		x.lastReason = "the backend server's answer is too large"
		x.logBroken("answer given up", r.server, err)
		return answer.Answer{}, x.recordFailure(r.server, r.verdict)
	}
	r.response.Release()
	x.status = r.response.Status
	x.recordAnswer(r)
	if held == nil {
		return answer.Full(r.response.Status, r.header(), body), stepDone
	}
	source := &bodySource{body: body, held: held}
	return answer.Stream(r.response.Status, r.header(), func(pass answer.Pass) answer.End { return x.deliver(source, pass) }).WithLength(int64(len(body))), stepDone
}

// openStream waits for the first events: until they arrive, the request can still be retried at
// another server.
func (x *exchange) openStream(r *reply) (answer.Answer, step) {
	events, err := r.read()
	if len(events) == 0 && err != nil && err != io.EOF {
		defer r.release()
		return answer.Answer{}, x.streamFailed(r, err)
	}
	x.status, x.streamHeader = r.response.Status, r.response.Header
	source := &streamSource{x: x, r: r, events: events, err: err}
	return answer.Stream(r.response.Status, r.header(), func(pass answer.Pass) answer.End { return x.deliver(source, pass) }), stepDone
}

// resume finds a server that continues a stream of which the caller already has the beginning.
// No other answer can be sent to that caller any more.
func (x *exchange) resume() *reply {
	if x.lastEvent == "" {
		x.lastReason = "the stream's events have no ids to go on behind"
		return nil
	}
	if !x.rebind() {
		return nil
	}
	for r := x.nextReply(); r != nil; r = x.nextReply() {
		if x.continuesStream(r) {
			resumedCount.Add(1)
			r.resumeAfter = x.lastEvent
			return r
		}
		r.response.Abort()
		r.release()
		x.lastReason = "the backend server that was to go on with the stream did not"
		if !x.mayRetry() {
			return nil
		}
	}
	return nil
}

// continuesStream reports whether a reply can be the rest of the open stream. A failure that a
// server reports with a success status is not.
func (x *exchange) continuesStream(r *reply) bool {
	for _, name := range []string{"Content-Type", "Content-Encoding"} {
		if r.response.Header.Get(name) != x.streamHeader.Get(name) {
			return false
		}
	}
	return r.response.Status == x.status
}

// follows reports whether the events come after those that the caller already has. Only numeric
// IDs have an order; for other IDs only a repetition of the last one is detected. Events
// without an ID show nothing yet.
func (r *reply) follows(events []byte) bool {
	if r.resumeAfter == "" {
		return true
	}
	id, found := firstID(events)
	if !found {
		return true
	}
	after := r.resumeAfter
	r.resumeAfter = ""
	first, firstErr := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(after, 10, 64)
	if firstErr != nil || lastErr != nil {
		return id != after
	}
	return first > last
}

func firstID(events []byte) (id string, found bool) {
	for line := range bytes.Lines(events) {
		if value, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// maxEvent limits the size of an event that is buffered until it is complete. Engines send a
// few tokens with each event.
const maxEvent = 1 << 20

// maxEventID limits the length of an event's ID, in bytes: it is sent to the server that goes on with the stream.
const maxEventID = 1 << 10

var (
	// errEventTooLarge is returned when a server sends data without the end of an event.
	errEventTooLarge = errors.New("an event of the stream is larger than is held")
	// errEventIDTooLong is returned when an event's ID cannot be sent to another server.
	errEventIDTooLong = errors.New("an event's ID is too long")
)

// maxBuffered returns how much of an answer is buffered until an event is complete.
func (r *reply) maxBuffered() int {
	if r.isEventStream() {
		return maxEvent
	}
	return maxAnswer
}

// readBufferSize is the size of the buffer for one read of a stream.
const readBufferSize = 4 << 10

// read returns the next complete events of a stream, with io.EOF after the last event of a
// complete one. An incomplete event is held back: the partial event of a broken server must not
// be joined with the output of another run. Where only the end of the connection marks the end
// of the stream, an incomplete event at the end, or a stream without events, shows that the
// server broke off.
func (r *reply) read() ([]byte, error) {
	if r.chunk == nil {
		r.chunk = make([]byte, readBufferSize)
	}
	for {
		n, err := r.response.Body.Read(r.chunk)
		complete := r.events.add(r.chunk[:n])
		if r.outputSince.IsZero() && len(complete) > 0 {
			r.outputSince = r.now()
		}
		if err == io.EOF && !r.response.Framed && r.isEventStream() && (r.events.partial() || r.outputSince.IsZero()) {
			return complete, io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			return append(complete, r.events.rest()...), io.EOF
		}
		if err == nil {
			err = r.checkHeld()
		}
		if err != nil || len(complete) > 0 {
			return complete, err
		}
	}
}

// checkHeld returns an error if what is held of an incomplete event, or of an answer without events, is too large.
func (r *reply) checkHeld() error {
	if len(r.events.rest()) > r.maxBuffered() {
		return errEventTooLarge
	}
	if len(r.events.id) > maxEventID {
		return errEventIDTooLong
	}
	return r.held.Grow(cap(r.events.buf))
}

// isEventStream reports whether the answer can consist of events. It returns false only when
// the content type says otherwise.
func (r *reply) isEventStream() bool {
	kind := r.response.Header.Get("Content-Type")
	return kind == "" || strings.HasPrefix(kind, "text/event-stream")
}

// streamFailed records a broken stream and returns whether another server may continue it.
func (x *exchange) streamFailed(r *reply, err error) step {
	x.lastReason = "the backend server's stream broke off"
	if time.Until(x.deadline) <= 0 {
		x.lastReason = "the time was up in the middle of the stream"
	}
	return x.brokeOff("stream broke off", r, err)
}

// brokeOff records an answer that broke off and returns whether another server may be tried.
func (x *exchange) brokeOff(msg string, r *reply, err error) step {
	r.response.Abort()
	x.logBroken(msg, r.server, err)
	if time.Until(x.deadline) > 0 && !x.callerLeft() {
		x.strikes.connBroken(brokenCall{call: &x.call, server: r.server, sentAt: x.sentAt, output: r.outputFor(r.now())})
	}
	return x.recordFailure(r.server, r.verdict)
}

// eventBuffer splits a stream into complete events.
type eventBuffer struct {
	buf []byte
	id  string
}

// eventSeparators end an event; both kinds of line ending are allowed.
var (
	eventSeparators = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}
	idField         = []byte("id:")
)

// longestSeparator is the length of the longest separator, in bytes.
const longestSeparator = 3

// add appends data and returns the bytes of the events that are now complete.
func (b *eventBuffer) add(data []byte) []byte {
	// What was held before has no end of an event, but may have its beginning.
	from := max(len(b.buf)-longestSeparator+1, 0)
	b.buf = append(b.buf, data...)
	end := 0
	for _, blank := range eventSeparators {
		if at := bytes.LastIndex(b.buf[from:], blank); at >= 0 {
			end = max(end, from+at+len(blank))
		}
	}
	if end == 0 {
		return nil
	}
	complete := bytes.Clone(b.buf[:end])
	b.buf = append(b.buf[:0], b.buf[end:]...)
	b.recordID(complete)
	return complete
}

// recordID records the ID of the last event.
func (b *eventBuffer) recordID(events []byte) {
	for line := range bytes.Lines(events) {
		if value, found := bytes.CutPrefix(line, idField); found {
			b.id = string(bytes.TrimSpace(value))
		}
	}
}

// rest returns the data after the last complete event.
func (b *eventBuffer) rest() []byte { return b.buf }

// partial reports whether rest contains the beginning of another event.
func (b *eventBuffer) partial() bool { return len(bytes.TrimSpace(b.buf)) > 0 }

// lastID returns the ID of the last complete event, or before if there was none.
func (b *eventBuffer) lastID(before string) string {
	if b.id != "" {
		return b.id
	}
	return before
}
