package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/upstream"
)

// maxAnswer bounds an answer that is held whole before it is relayed.
const maxAnswer = 8 << 20

// drain reads an answer that nobody needs, so that its connection can be kept.
func drain(response *upstream.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswer)); err != nil {
		response.Abort()
		return
	}
	response.Release()
}

// reply is a server's answer on its way to a caller.
type reply struct {
	server   *server
	response *upstream.Response
	verdict  Verdict
	events   eventBuffer
	// chunk is what one read of a stream fills.
	chunk []byte
	// begun is true once an event of it was read.
	begun bool
	// behind is the event behind which a stream goes on here, empty once an event
	// has shown that it does, and for a stream that begins here.
	behind string
	// held is what the request holds at the server and its agent.
	held []func()
}

// release gives back what the request holds.
func (r *reply) release() {
	for _, release := range r.held {
		release()
	}
	r.held = nil
}

// header is what the caller gets of the server's header. Where an answer ends
// is told anew.
func (r *reply) header() http.Header {
	header := make(http.Header)
	relay.CopyHeader(header, r.response.Header)
	return header
}

// streams is true for an answer that comes as events.
func (j *journey) streams(r *reply) bool {
	return j.route.Kind == route.KindStream && r.response.Status < http.StatusMultipleChoices
}

// open returns the answer that begins with a server's reply. Without one the
// step says whether another server may be tried.
func (j *journey) open(r *reply) (answer.Answer, step) {
	if j.streams(r) {
		return j.openStream(r)
	}
	return j.whole(r)
}

// whole holds the answer until it is whole: one that broke off on the way must
// not look complete, and another server may still be tried.
func (j *journey) whole(r *reply) (answer.Answer, step) {
	defer r.release()
	body, err := io.ReadAll(io.LimitReader(r.response.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		r.response.Abort()
		j.last = "the backend server's answer broke off"
		return answer.Answer{}, j.afterFailure(r.server, r.verdict)
	}
	r.response.Release()
	j.told = r.response.Status
	j.answered(r.server, r.response.Status)
	return answer.Whole(r.response.Status, r.header(), body), stepDone
}

// openStream waits for the first events: until then another server's stream may
// take this one's place.
func (j *journey) openStream(r *reply) (answer.Answer, step) {
	events, err := r.read()
	if len(events) == 0 && err != nil && err != io.EOF {
		defer r.release()
		return answer.Answer{}, j.streamBroke(r, err)
	}
	j.told, j.opened = r.response.Status, r.response.Header
	return answer.Stream(r.response.Status, r.header(), func(pass answer.Pass) answer.End { return j.feed(r, events, err, pass) }), stepDone
}

// feed passes on the stream that begins with the events and the error that were
// read from the first server, and goes on at others where the route allows it.
// The caller has the first server's header: all that can follow are more events
// of the same stream, its end, or a cut.
func (j *journey) feed(r *reply, events []byte, err error, pass answer.Pass) answer.End {
	for {
		switch j.passAll(r, events, err, pass) {
		case stepDone:
			return answer.Complete(nil)
		case stepFail:
			return j.cut()
		}
		if r = j.goOn(); r == nil {
			return j.cut()
		}
		events, err = r.read()
	}
}

// passAll passes on what one server sends, of which something was read already.
func (j *journey) passAll(r *reply, events []byte, err error, pass answer.Pass) step {
	defer r.release()
	for {
		if !r.goesOn(events) {
			r.response.Abort()
			j.last = "the backend server that was to go on with the stream began it anew"
			return j.afterFailure(r.server, r.verdict)
		}
		if len(events) > 0 {
			j.noteEvent(time.Now())
			if pass(events) != nil {
				r.response.Abort()
				return stepFail
			}
			j.lastEvent = r.events.lastID(j.lastEvent)
		}
		switch {
		case err == io.EOF:
			r.response.Release()
			j.answered(r.server, r.response.Status)
			return stepDone
		case err != nil:
			return j.streamBroke(r, err)
		}
		events, err = r.read()
	}
}

// goOn finds a server that goes on with a stream of which the caller has the
// beginning. No other answer can be given to that caller any more.
func (j *journey) goOn() *reply {
	if j.lastEvent == "" {
		j.last = "the stream's events have no ids to go on behind"
		return nil
	}
	for r := j.next(); r != nil; r = j.next() {
		if j.sameKind(r) {
			resumedCount.Add(1)
			r.behind = j.lastEvent
			return r
		}
		r.response.Abort()
		r.release()
		j.last = "the backend server that was to go on with the stream did not"
		if !j.mayRepeat() {
			return nil
		}
	}
	return nil
}

// sameKind reports whether a reply can be the rest of the open stream: a failure
// that a server tells with a success is not.
func (j *journey) sameKind(r *reply) bool {
	for _, name := range []string{"Content-Type", "Content-Encoding"} {
		if r.response.Header.Get(name) != j.opened.Get(name) {
			return false
		}
	}
	return r.response.Status == j.told
}

// goesOn is false for events that the caller has already. Ids that are no numbers
// have no order, only the last one's return to tell; events without one show
// nothing yet.
func (r *reply) goesOn(events []byte) bool {
	if r.behind == "" {
		return true
	}
	id, found := firstID(events)
	if !found {
		return true
	}
	behind := r.behind
	r.behind = ""
	first, firstErr := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(behind, 10, 64)
	if firstErr != nil || lastErr != nil {
		return id != behind
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

// maxEvent bounds an event that is held until it is whole. Engines send some tokens
// with each.
const maxEvent = 1 << 20

// errEventTooLarge means that a server sends something without an end.
var errEventTooLarge = errors.New("an event of the stream is larger than is held")

// mostHeld is how much of an answer is held until an event of it is whole.
func (r *reply) mostHeld() int {
	if r.ofEvents() {
		return maxEvent
	}
	return maxAnswer
}

// streamBuffer holds what arrives at once.
const streamBuffer = 4 << 10

// read returns the next whole events of a stream, with io.EOF behind the last of
// a whole one. Half an event is held back: what a broken server left of it must
// not be joined with another run. Where only the end of the connection tells the
// stream's, half an event before it, or none at all, shows that the server broke
// off.
func (r *reply) read() ([]byte, error) {
	if r.chunk == nil {
		r.chunk = make([]byte, streamBuffer)
	}
	for {
		n, err := r.response.Body.Read(r.chunk)
		whole := r.events.add(r.chunk[:n])
		r.begun = r.begun || len(whole) > 0
		if err == io.EOF && !r.response.Framed && r.ofEvents() && (r.events.half() || !r.begun) {
			return whole, io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			return append(whole, r.events.rest()...), io.EOF
		}
		if err == nil && len(r.events.rest()) > r.mostHeld() {
			err = errEventTooLarge
		}
		if err != nil || len(whole) > 0 {
			return whole, err
		}
	}
}

// ofEvents is false for an answer that says it is something else than events.
func (r *reply) ofEvents() bool {
	kind := r.response.Header.Get("Content-Type")
	return kind == "" || strings.HasPrefix(kind, "text/event-stream")
}

// streamBroke says whether another server may go on.
func (j *journey) streamBroke(r *reply, err error) step {
	r.response.Abort()
	j.last = "the backend server's stream broke off"
	if time.Until(j.deadline) <= 0 {
		j.last = "the time was up in the middle of the stream"
	}
	j.log.Info("stream broke off", zap.String("request", j.call.ID), zap.String("server", r.server.entry.ID), zap.String("lastEvent", j.lastEvent), telemetry.Cause(err))
	if time.Until(j.deadline) > 0 && j.ctx.Err() == nil {
		j.strikes.broke(&j.call, r.server)
	}
	return j.afterFailure(r.server, r.verdict)
}

// eventBuffer cuts a stream into whole events.
type eventBuffer struct {
	held []byte
	id   string
}

// eventEnds end an event, as lines may end in either way.
var (
	eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}
	idField   = []byte("id:")
)

// add takes bytes and returns those of the events that are now whole.
func (b *eventBuffer) add(data []byte) []byte {
	b.held = append(b.held, data...)
	end := 0
	for _, blank := range eventEnds {
		if at := bytes.LastIndex(b.held, blank); at >= 0 {
			end = max(end, at+len(blank))
		}
	}
	if end == 0 {
		return nil
	}
	whole := bytes.Clone(b.held[:end])
	b.held = append(b.held[:0], b.held[end:]...)
	b.noteID(whole)
	return whole
}

// noteID remembers the id of the last event.
func (b *eventBuffer) noteID(whole []byte) {
	for line := range bytes.Lines(whole) {
		if value, found := bytes.CutPrefix(line, idField); found {
			b.id = string(bytes.TrimSpace(value))
		}
	}
}

// rest returns what follows the last whole event.
func (b *eventBuffer) rest() []byte { return b.held }

// half reports whether that is the beginning of another one.
func (b *eventBuffer) half() bool { return len(bytes.TrimSpace(b.held)) > 0 }

// lastID is the id of the last whole event, or before when there was none.
func (b *eventBuffer) lastID(before string) string {
	if b.id != "" {
		return b.id
	}
	return before
}
