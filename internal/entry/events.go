package entry

import (
	"bytes"
	"io"
	"net/http"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/internal/relay"
)

// maxPendingEvent is how much of an incomplete event is buffered, in bytes. A
// longer event is passed on before its end.
const maxPendingEvent = 64 << 10

// maxTerminator is the length of the longest event terminator, in bytes.
const maxTerminator = 4

// eventBuffer buffers a stream of server-sent events so that only complete events
// are passed on. An incomplete event must not be terminated by what the entry
// writes after it.
type eventBuffer struct {
	pending []byte
	// partial is true if a part of the current event was already passed on.
	partial bool
}

// add appends data and returns the bytes to pass on, which are valid until the next
// call.
func (e *eventBuffer) add(data []byte) []byte {
	// The bytes buffered earlier contain no terminator but may end with the
	// beginning of one.
	start := max(0, len(e.pending)-maxTerminator)
	e.pending = append(e.pending, data...)
	end := lastEventEnd(e.pending[start:])
	switch {
	case end > 0:
		end += start
		e.partial = false
	case len(e.pending) > maxPendingEvent:
		end, e.partial = len(e.pending)-maxTerminator, true
	}
	out := e.pending[:end:end]
	e.pending = append([]byte(nil), e.pending[end:]...)
	return out
}

// lastEventEnd returns the offset after the last complete event in data, or 0 if
// there is none. An event ends with an empty line, for any of the three line
// endings that events may use.
func lastEventEnd(data []byte) int {
	end := 0
	for _, terminator := range []string{"\n\n", "\n\r\n", "\r\r"} {
		if at := bytes.LastIndex(data, []byte(terminator)); at >= 0 {
			end = max(end, at+len(terminator))
		}
	}
	return end
}

// unframedEvents reads an event stream that is delimited only by the close of its
// connection. The connection of a server that crashes is closed orderly as well,
// but an incomplete last event shows that the stream was truncated.
type unframedEvents struct {
	io.ReadCloser
	events eventBuffer
}

// verifyEnd makes the reads of a response's body fail at an end that does not
// complete it. A response of an engine that is not framed must show its end itself;
// for an engine with an agent, the agent has verified that.
func (x *exchange) verifyEnd(response *http.Response) {
	if x.call.request.Kind == membership.KindEngine && !hasAgent(x.server.Announcement) {
		response.Body = readCloser{relay.VerifyEnd(response, response.Body), response.Body}
		return
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if !framed && isEventStream(response.Header) {
		response.Body = &unframedEvents{ReadCloser: response.Body}
	}
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF at the end of a stream
// whose last event is incomplete.
func (u *unframedEvents) Read(buffer []byte) (int, error) {
	n, err := u.ReadCloser.Read(buffer)
	_ = u.events.add(buffer[:n])
	if err == io.EOF && (u.events.partial || len(bytes.Trim(u.events.pending, "\r\n")) > 0) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
