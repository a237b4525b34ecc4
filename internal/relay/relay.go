// Package relay forwards one HTTP call to the next hop and streams its answer
// back, flushing as data arrives.
package relay

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// copyBufferSize is how much of an answer one read may carry, in bytes.
const copyBufferSize = 16 << 10

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader adds end-to-end headers of src to dst.
func CopyHeader(dst, src http.Header) {
	dropped := make(map[string]struct{})
	for _, name := range hopByHop {
		dropped[name] = struct{}{}
	}
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			dropped[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = struct{}{}
		}
	}
	for name, values := range src {
		if _, drop := dropped[name]; drop {
			continue
		}
		dst[name] = append(dst[name], values...)
	}
}

// CopyTrailer sends the trailers of an answer whose body was relayed whole.
func CopyTrailer(w http.ResponseWriter, trailer http.Header) {
	for name, values := range trailer {
		for _, value := range values {
			w.Header().Add(http.TrailerPrefix+name, value)
		}
	}
}

// onceBody hides the concrete reader type, so that net/http sets no GetBody.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// NewRequest builds a request whose body can be sent only once. An empty body
// is wrapped too, because net/http replays a request without a body.
func NewRequest(ctx context.Context, method, url string, body io.Reader, length int64) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, onceBody{body})
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.ContentLength = length
	return request, nil
}

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferSize)
	return &buffer
}}

// Stream copies an answer's body to the caller and flushes after each read, so
// that a token is not held back until a buffer fills. Reading waits for
// writing, so a slow caller holds back the next hop. writeTimeout bounds one
// write; 0 sets no bound. Stream returns the bytes written; the error tells
// which side failed by its type.
func Stream(w http.ResponseWriter, body io.Reader, writeTimeout time.Duration) (int64, error) {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	controller := http.NewResponseController(w)
	var written int64
	for {
		n, readErr := body.Read(*buffer)
		if n > 0 {
			m, err := writeFlush(w, controller, (*buffer)[:n], writeTimeout)
			written += int64(m)
			if err != nil {
				return written, &CallerError{err}
			}
		}
		if readErr == io.EOF {
			return written, nil
		}
		if readErr != nil {
			return written, errors.Wrap(readErr, "read from next hop")
		}
	}
}

func writeFlush(w io.Writer, controller *http.ResponseController, data []byte, timeout time.Duration) (int, error) {
	if timeout > 0 {
		// Recorders in tests have no deadline to set; a connection does.
		_ = controller.SetWriteDeadline(time.Now().Add(timeout))
	}
	n, err := w.Write(data)
	if err != nil {
		return n, errors.Wrap(err, "write to caller")
	}
	return n, errors.Wrap(controller.Flush(), "flush to caller")
}

// CallerError marks a failure on the caller's side of a relay.
type CallerError struct{ error }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.error }
