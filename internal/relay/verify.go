package relay

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
)

const (
	// maxUnframed bounds an object that is kept to see that it is whole, in bytes.
	maxUnframed = 8 << 20
	// lastEventBytes is more than the last event of a stream has.
	lastEventBytes = 64
)

// ShownEnd returns a reader of an engine's answer that ends with io.EOF only
// when the answer is whole, and with io.ErrUnexpectedEOF otherwise. Where the
// answer's frame tells its end, that is the body itself. An answer that ends
// with its connection must show its end: an engine that crashes closes the
// connection in good order, too. A stream of events shows it by the event
// [DONE], any other answer by being a JSON value of at most 8 MiB.
func ShownEnd(response *http.Response, body io.Reader) io.Reader {
	framed := response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked") || response.ProtoMajor != 1
	switch {
	case framed:
		return body
	case strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		return &shownEnd{from: body, most: lastEventBytes, whole: endsWithLastEvent}
	default:
		return &shownEnd{from: body, most: maxUnframed, whole: isObject}
	}
}

// shownEnd looks at the last bytes of what it reads.
type shownEnd struct {
	from io.Reader
	// last are the last bytes, at least most of them.
	last  []byte
	most  int
	whole func(last []byte) bool
}

// Read implements io.Reader.
func (s *shownEnd) Read(p []byte) (int, error) {
	n, err := s.from.Read(p)
	s.last = append(s.last, p[:n]...)
	if len(s.last) > 2*s.most {
		s.last = slices.Delete(s.last, 0, len(s.last)-s.most)
	}
	if err == io.EOF && !s.whole(s.last) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

var (
	blankLine = []byte("\n\n")
	lineEnd   = []byte("\n")
	lastEvent = []byte("[DONE]")
)

// isObject reports whether the end of an answer is the whole of it. The end of
// a larger one lacks its first brace.
func isObject(end []byte) bool { return len(end) <= maxUnframed && json.Valid(end) }

// endsWithLastEvent reports whether the end of a stream holds its last event,
// whole.
func endsWithLastEvent(end []byte) bool {
	end = bytes.ReplaceAll(end, []byte("\r\n"), lineEnd)
	if !bytes.HasSuffix(end, blankLine) {
		return false
	}
	end = bytes.TrimRight(end, "\n")
	line := end[bytes.LastIndexByte(end, '\n')+1:]
	data, found := bytes.CutPrefix(line, eventPrefix)
	return found && bytes.Equal(bytes.TrimSpace(data), lastEvent)
}
