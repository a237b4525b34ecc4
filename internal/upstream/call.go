package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Request is what is sent.
type Request struct {
	Method string
	// URI is the request target as the caller wrote it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID and IDHeader tell the answer apart: the header that the server
	// echoes, and its value. Without an ID an answer that bears none counts, and
	// its connection is not used again; without a header any answer counts.
	ID       string
	IDHeader string
}

// Response is an answer whose body is still to be read. Exactly one of Release
// and Abort must follow.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only when the answer is whole. Where Framed is false
	// that is the orderly end of the connection, which a server that crashes may
	// bring about as well.
	Body   io.Reader
	Framed bool

	pool   *Pool
	target Target
	conn   *conn
	stop   func() bool
	// keep is false when the connection must not be used again.
	keep  bool
	whole *wholeReader
}

// NotSentError means that no byte of the request left, and none will.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Sent reports whether any byte of a call that failed may have arrived.
func Sent(err error) bool {
	var notSent *NotSentError
	return !errors.As(err, &notSent)
}

// ErrNotAnAnswer means that the server sent bytes that are no answer to this
// request.
var ErrNotAnAnswer = errors.New("the server sent bytes that are no answer")

// maxStrays is how many answers to earlier requests are passed over on a
// connection, maxStrayBytes the largest of them.
const (
	maxStrays     = 2
	maxStrayBytes = 1 << 20
)

// Call sends a request and reads the answer's header. The call ends with ctx,
// which closes the connection, so that the server can stop working.
func (p *Pool) Call(ctx context.Context, target Target, r *Request) (*Response, error) {
	c, _, err := p.take(ctx, target, r.ID)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if ctx.Err() != nil {
		p.put(target, c)
		return nil, &NotSentError{Cause: ctx.Err()}
	}
	c.note(r.ID)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	response, err := exchange(c, r)
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, err
	}
	response.pool, response.target, response.stop = p, target, stop
	return response, nil
}

func exchange(c *conn, r *Request) (*Response, error) {
	if n, err := c.Write(r.encode()); err != nil {
		if n == 0 {
			return nil, &NotSentError{Cause: err}
		}
		return nil, errors.Wrap(err, "send")
	}
	strays := 0
	for {
		parsed, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		if parsed.StatusCode < http.StatusOK {
			continue
		}
		if parsed.Header.Get(r.IDHeader) == r.ID {
			return newResponse(c, r, parsed, strays), nil
		}
		// A late second answer to an earlier request stands where ours is due.
		if strays++; strays > maxStrays {
			return nil, ErrNotAnAnswer
		}
		if err := passOver(parsed.Body); err != nil {
			return nil, errors.Wrap(ErrNotAnAnswer, err.Error())
		}
	}
}

// passOver reads a body to its end. What is left of one that is too large would
// be read as the next answer.
func passOver(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStrayBytes+1))
	if err == nil && n > maxStrayBytes {
		err = ErrTooLarge
	}
	return err
}

func newResponse(c *conn, asked *Request, parsed *http.Response, strays int) *Response {
	// A late copy of an answer that bears no id could not be told from the next.
	named := asked.ID != "" || asked.IDHeader == ""
	framed := parsed.ContentLength >= 0 || slices.Contains(parsed.TransferEncoding, "chunked")
	whole := &wholeReader{from: parsed.Body}
	r := &Response{
		Status: parsed.StatusCode, Header: parsed.Header, Body: whole, Framed: framed, conn: c, whole: whole,
		keep: framed && named && !parsed.Close && strays == 0,
	}
	c.noteKeepAlive(parsed.Header.Get("Keep-Alive"), time.Now())
	return r
}

// wholeReader remembers how the body ended. The connection's reader would say
// at a second try that a body which broke off is at its end.
type wholeReader struct {
	from io.Reader
	// end is nil until the body has ended, io.EOF when it is whole.
	end error
}

// Read implements io.Reader.
func (w *wholeReader) Read(p []byte) (int, error) {
	if w.end != nil {
		return 0, w.end
	}
	n, err := w.from.Read(p)
	w.end = err
	return n, err
}

// Release gives the connection back when the body was read to its end and
// nothing stands behind it, and closes it otherwise.
func (r *Response) Release() {
	stopped := r.stop()
	if !stopped || !r.keep || r.whole.end != io.EOF || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.target, r.conn)
}

// Abort closes the connection, so that the server can stop working.
func (r *Response) Abort() {
	r.stop()
	_ = r.conn.Close()
}

// encode writes the request in one piece.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// ErrTooLarge means that an answer is larger than its reader holds.
var ErrTooLarge = errors.New("the answer is too large")

// CallWhole sends a request and reads its whole answer. An answer whose body has
// more than limit bytes is ErrTooLarge: a part of it would pass for the whole.
func (p *Pool) CallWhole(ctx context.Context, target Target, r *Request, limit int64) (status int, header http.Header, body []byte, err error) {
	response, err := p.Call(ctx, target, r)
	if err != nil {
		return 0, nil, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = ErrTooLarge
	}
	if err != nil {
		response.Abort()
		return 0, nil, nil, errors.Wrap(err, "read the answer's body")
	}
	response.Release()
	return response.Status, response.Header, body, nil
}
