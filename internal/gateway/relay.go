package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

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

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true, "Te": true, "Trailer": true, "Upgrade": true,
}

func (j *journey) copyHeader(from http.Header) {
	header := j.w.Header()
	for name, values := range from {
		if !hopHeaders[name] && name != "Content-Length" {
			header[name] = values
		}
	}
}

// relayWhole holds the answer until it is whole: one that broke off on the way
// must not look complete.
func (j *journey) relayWhole(v *server, response *upstream.Response, verdict Verdict) step {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		response.Abort()
		j.last = "the backend server's answer broke off"
		return j.afterFailure(v, verdict)
	}
	response.Release()
	j.copyHeader(response.Header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(response.Status)
	if j.told == 0 {
		j.told = response.Status
	}
	_, _ = j.w.Write(body)
	j.answered(v, response.Status)
	return stepDone
}

func (j *journey) answered(v *server, status int) {
	answeredCount.Add(1)
	if j.first == 0 {
		j.first = time.Since(j.arrived)
	}
	firstLatency.Record(j.first)
	if j.grantedBy != nil {
		startLatency.Record(j.waited)
	}
	late := j.first > j.route.Target || j.route.Gap > 0 && j.longestGap > j.route.Gap
	if j.told != status {
		mismatchedCount.Add(1)
	}
	switch {
	case late:
		lateCount.Add(1)
		j.note("request answered late", v, status)
	case j.arrivals > 1 || j.told != status || ordinary(j.call.ID):
		j.note("request answered", v, status)
	}
}

// ordinaryShare is how many answers in time stand for one line in the log: an
// entry's volume then follows its failures, not its load.
const ordinaryShare = 16

// ordinary picks the same requests on every entry.
func ordinary(id string) bool { return xxhash.Sum64String(id)%ordinaryShare == 0 }

// streamBuffer holds what arrives at once.
const streamBuffer = 4 << 10

// relayStream passes whole events on as they arrive. Half an event is held
// back: what a broken server left of it must not be joined with another run.
func (j *journey) relayStream(v *server, response *upstream.Response, verdict Verdict) step {
	var events eventBuffer
	chunk := make([]byte, streamBuffer)
	for {
		n, err := response.Body.Read(chunk)
		whole := events.add(chunk[:n])
		if err == io.EOF {
			whole = append(whole, events.rest()...)
		}
		if len(whole) > 0 && !j.pass(response, whole) {
			response.Abort()
			return stepFail
		}
		j.lastEvent = events.lastID(j.lastEvent)
		if err == io.EOF {
			break
		}
		if err != nil {
			response.Abort()
			return j.streamBroke(v, verdict, err)
		}
	}
	response.Release()
	if !j.relayed {
		j.pass(response, nil)
	}
	j.answered(v, response.Status)
	return stepDone
}

// streamBroke goes on at another server where the route allows it.
func (j *journey) streamBroke(v *server, verdict Verdict, err error) step {
	j.last = "the backend server's stream broke off"
	if time.Until(j.deadline) <= 0 {
		j.last = "the time was up in the middle of the stream"
	}
	j.log.Info("stream broke off", zap.String("request", j.call.ID), zap.String("server", v.entry.ID), zap.String("lastEvent", j.lastEvent), telemetry.Cause(err))
	if time.Until(j.deadline) > 0 && j.ctx.Err() == nil {
		j.strikes.broke(&j.call, v)
	}
	next := j.afterFailure(v, verdict)
	if next == stepAgain && j.relayed {
		resumedCount.Add(1)
	}
	return next
}

// pass writes bytes to the caller, the header of the first server before them.
func (j *journey) pass(response *upstream.Response, data []byte) bool {
	if !j.relayed {
		j.copyHeader(response.Header)
		j.w.WriteHeader(response.Status)
		j.relayed, j.told = true, response.Status
	}
	if len(data) > 0 {
		j.noteEvent(time.Now())
		if _, err := j.w.Write(data); err != nil {
			return false
		}
	}
	return http.NewResponseController(j.w).Flush() == nil
}

// noteEvent measures the time to the first event and the pauses behind it.
func (j *journey) noteEvent(now time.Time) {
	if j.eventAt.IsZero() {
		j.first = now.Sub(j.arrived)
		if j.grantedBy != nil {
			j.grantedBy.begun(j.call.ID, j.starts)
		}
	} else {
		j.longestGap = max(j.longestGap, now.Sub(j.eventAt))
	}
	j.eventAt = now
}

// eventBuffer cuts a stream into whole events.
type eventBuffer struct {
	held []byte
	id   string
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// add takes bytes and returns those of the events that are now whole.
func (b *eventBuffer) add(data []byte) []byte {
	b.held = append(b.held, data...)
	end := bytes.LastIndex(b.held, eventEnd)
	if end < 0 {
		return nil
	}
	whole := bytes.Clone(b.held[:end+len(eventEnd)])
	b.held = append(b.held[:0], b.held[end+len(eventEnd):]...)
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

// lastID is the id of the last whole event, or before when there was none.
func (b *eventBuffer) lastID(before string) string {
	if b.id != "" {
		return b.id
	}
	return before
}
