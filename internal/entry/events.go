package entry

import (
	"bytes"
	"io"
	"net/http"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/internal/relay"
)

// maxEvent bounds how much of one event is held back, in bytes. What is longer is
// passed on as it comes.
const maxEvent = 64 << 10

// maxEventEnd is the longest of the ends of an event, in bytes.
const maxEventEnd = 4

// events holds a stream of server-sent events back to the end of the last whole
// one: a half event must not be ended by what the entry writes behind it.
type events struct {
	held []byte
	// within is true when a part of the event at hand was passed on.
	within bool
}

// add takes bytes and returns those to pass on. They stay valid until the next
// call.
func (e *events) add(data []byte) []byte {
	// What was held before has no end in it, but perhaps the beginning of one.
	from := max(0, len(e.held)-maxEventEnd)
	e.held = append(e.held, data...)
	end := lastEventEnd(e.held[from:])
	switch {
	case end > 0:
		end += from
		e.within = false
	case len(e.held) > maxEvent:
		end, e.within = len(e.held)-maxEventEnd, true
	}
	passed := e.held[:end:end]
	e.held = append([]byte(nil), e.held[end:]...)
	return passed
}

// lastEventEnd is where the last whole event of some bytes ends: behind an empty
// line, by any of the three ends of a line that events may have.
func lastEventEnd(data []byte) int {
	end := 0
	for _, empty := range []string{"\n\n", "\n\r\n", "\r\r"} {
		if at := bytes.LastIndex(data, []byte(empty)); at >= 0 {
			end = max(end, at+len(empty))
		}
	}
	return end
}

// unframed reads events whose end is told by that of the connection only. A
// server that crashes closes in good order too: half an event at the end shows
// that the stream was not over.
type unframed struct {
	io.ReadCloser
	events events
}

// checkEnd makes an answer's body fail at an end that is none. An engine's answer
// must show its end where its frame does not tell it; its agent has seen to that.
func (x *exchange) checkEnd(response *http.Response) {
	if x.call.request.Kind == membership.KindEngine && !gated(x.server.Announcement) {
		response.Body = readCloser{relay.VerifyEnd(response, response.Body), response.Body}
		return
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if !framed && eventStream(response.Header) {
		response.Body = &unframed{ReadCloser: response.Body}
	}
}

// Read implements io.Reader.
func (u *unframed) Read(buffer []byte) (int, error) {
	n, err := u.ReadCloser.Read(buffer)
	_ = u.events.add(buffer[:n])
	if err == io.EOF && (u.events.within || len(bytes.Trim(u.events.held, "\r\n")) > 0) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
