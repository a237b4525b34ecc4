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
	// maxUnframed is the maximum size, in bytes, of an unframed JSON response, which
	// is buffered to check that it is complete.
	maxUnframed = 8 << 20
	// doneEventBytes is larger than the last event of a stream, in bytes.
	doneEventBytes = 64
)

// VerifyEnd returns a reader of an engine's response that ends with io.EOF only
// if the response is complete, and with io.ErrUnexpectedEOF otherwise. If the
// response is framed, the reader is the body itself. A response delimited by the
// close of its connection needs an explicit end, because the connection of an
// engine that crashes is closed orderly as well: an event stream must end with
// the event [DONE], any other response must be a JSON value of at most 8 MiB.
func VerifyEnd(response *http.Response, body io.Reader) io.Reader {
	framed := response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked") || response.ProtoMajor != 1
	switch {
	case framed:
		return body
	case strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		return &endVerifier{src: body, limit: doneEventBytes, complete: endsWithDoneEvent}
	default:
		return &endVerifier{src: body, limit: maxUnframed, complete: isCompleteJSON}
	}
}

// endVerifier checks at io.EOF whether the last bytes read show a complete response.
type endVerifier struct {
	src io.Reader
	// tail holds the last bytes read: all of them, or at least limit.
	tail     []byte
	limit    int
	complete func(tail []byte) bool
}

// Read implements io.Reader.
func (v *endVerifier) Read(p []byte) (int, error) {
	n, err := v.src.Read(p)
	v.tail = append(v.tail, p[:n]...)
	if len(v.tail) > 2*v.limit {
		v.tail = slices.Delete(v.tail, 0, len(v.tail)-v.limit)
	}
	if err == io.EOF && !v.complete(v.tail) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

var (
	blankLine  = []byte("\n\n")
	lineEnd    = []byte("\n")
	doneMarker = []byte("[DONE]")
)

// isCompleteJSON reports whether tail is a complete JSON response. The tail of a
// response above maxUnframed lacks the opening brace.
func isCompleteJSON(tail []byte) bool { return len(tail) <= maxUnframed && json.Valid(tail) }

// endsWithDoneEvent reports whether tail, the end of an event stream, ends with a
// complete [DONE] event.
func endsWithDoneEvent(tail []byte) bool {
	tail = bytes.ReplaceAll(tail, []byte("\r\n"), lineEnd)
	if !bytes.HasSuffix(tail, blankLine) {
		return false
	}
	tail = bytes.TrimRight(tail, "\n")
	line := tail[bytes.LastIndexByte(tail, '\n')+1:]
	data, found := bytes.CutPrefix(line, eventPrefix)
	return found && bytes.Equal(bytes.TrimSpace(data), doneMarker)
}
