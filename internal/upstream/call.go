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

	"github.com/rosemarypass/rosemarypass/internal/interim"
)

// Request is a request to send to a server.
type Request struct {
	Method string
	// URI is the request target as the caller wrote it.
	URI    string
	Host   string
	Header http.Header
	// LateHeader, if set, returns the header in place of Header. It is called once the
	// connection is there, right before the request is written.
	LateHeader func() http.Header
	Body       []byte
	// ID and IDHeader match the response to the request: IDHeader is the header
	// that the server echoes, ID its value. If ID is empty, a response without the
	// header is accepted and its connection is not reused; if IDHeader is empty,
	// any response is accepted.
	ID       string
	IDHeader string
}

// Response is a response whose body has not been read yet. The caller must call
// exactly one of Release and Abort.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF only when the response is complete. If Framed is false,
	// that is the orderly close of the connection, which a crash of the server can
	// cause as well.
	Body   io.Reader
	Framed bool

	pool   *Pool
	target Target
	conn   *conn
	stop   func() bool
	// reusable is false if the connection must not be used again.
	reusable bool
	body     *stickyReader
}

// NotSentError reports that no byte of the request was sent and none will be.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Sent reports whether any byte of a call that failed with err may have reached
// the server.
func Sent(err error) bool {
	var notSent *NotSentError
	return !errors.As(err, &notSent)
}

// ErrInvalidResponse reports that the server sent bytes that are not a response
// to this request.
var ErrInvalidResponse = errors.New("server sent no valid response to the request")

// Call sends a request and reads the header of the response. When ctx ends, the
// call ends and its connection is reset, so that the server can stop working.
func (p *Pool) Call(ctx context.Context, target Target, r *Request) (*Response, error) {
	c, _, err := p.get(ctx, target, r.ID)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if ctx.Err() != nil {
		p.put(target, c)
		return nil, &NotSentError{Cause: ctx.Err()}
	}
	c.recordID(r.ID)
	stop := context.AfterFunc(ctx, c.abandon)
	response, err := exchange(c, r)
	if err != nil {
		stop()
		c.abandon()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, err
	}
	response.pool, response.target, response.stop = p, target, stop
	return response, nil
}

func exchange(c *conn, r *Request) (*Response, error) {
	if r.LateHeader != nil {
		r.Header = r.LateHeader()
	}
	if n, err := r.write(c); err != nil {
		if n == 0 {
			return nil, &NotSentError{Cause: err}
		}
		return nil, errors.Wrap(err, "send")
	}
	strays, skipped := 0, 0
	c.bound(maxHeadBytes)
	for {
		parsed, err := c.readHead(r.Method)
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		if !interim.IsFinal(parsed.StatusCode) {
			if err := checkInterim(parsed); err != nil {
				return nil, err
			}
			if skipped++; skipped > maxInterim {
				return nil, ErrInvalidResponse
			}
			continue
		}
		if parsed.Header.Get(r.IDHeader) == r.ID {
			c.unbound()
			return newResponse(c, r, parsed, strays), nil
		}
		// This is a late duplicate response to an earlier request.
		if strays++; strays > maxStrays {
			return nil, ErrInvalidResponse
		}
		c.bound(2 * maxStrayBytes)
		if err := discardBody(parsed.Body); err != nil {
			return nil, errors.Wrap(ErrInvalidResponse, err.Error())
		}
		c.bound(maxHeadBytes)
	}
}

// checkInterim returns ErrInvalidResponse unless a response is an interim one: it has no
// body, and its connection goes on (RFC 9112, 6.1 and 9.6).
func checkInterim(parsed *http.Response) error {
	if parsed.Close || len(parsed.TransferEncoding) > 0 {
		return errors.Wrap(ErrInvalidResponse, interim.ErrInvalid.Error())
	}
	if err := interim.Check(parsed.StatusCode, parsed.Header); err != nil {
		return errors.Wrap(ErrInvalidResponse, err.Error())
	}
	return nil
}

// discardBody reads a body to its end. It fails if the body exceeds
// maxStrayBytes: the unread rest would be parsed as the next response.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStrayBytes+1))
	if err == nil && n > maxStrayBytes {
		err = ErrTooLarge
	}
	return err
}

func newResponse(c *conn, request *Request, parsed *http.Response, strays int) *Response {
	// A late duplicate of a response without an id cannot be distinguished from the
	// response to the next request.
	identifiable := request.ID != "" || request.IDHeader == ""
	framed := parsed.ContentLength >= 0 || slices.Contains(parsed.TransferEncoding, "chunked")
	body := &stickyReader{src: parsed.Body}
	r := &Response{
		Status: parsed.StatusCode, Header: parsed.Header, Body: body, Framed: framed, conn: c, body: body,
		reusable: framed && identifiable && !parsed.Close && strays == 0,
	}
	c.setExpiry(parsed.Header.Get("Keep-Alive"), time.Now())
	return r
}

// stickyReader repeats the error that ended the body. After an error, the
// connection's reader would return io.EOF for a truncated body on the next read.
type stickyReader struct {
	src io.Reader
	// err is nil until the body has ended, and io.EOF if it is complete.
	err error
}

// Read implements io.Reader.
func (s *stickyReader) Read(p []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.src.Read(p)
	s.err = err
	return n, err
}

// Release returns the connection to the pool if the body was read to its end and
// no further bytes are buffered, and closes it otherwise.
func (r *Response) Release() {
	stopped := r.stop()
	if !stopped || !r.reusable || r.body.err != io.EOF || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.target, r.conn)
}

// Discard ends a response whose body nobody needs: it reads the body, so that the connection can be reused, if that
// ends soon.
func (r *Response) Discard() {
	_ = r.conn.SetReadDeadline(time.Now().Add(unneededTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxUnneeded+1))
	if err != nil || n > maxUnneeded {
		r.Abort()
		return
	}
	r.Release()
}

// Abort resets the connection, so that the server can stop working.
func (r *Response) Abort() {
	r.stop()
	r.conn.abandon()
}

// maxCopiedBody is the size in bytes up to which a body is copied behind its header, to be sent in a single write. A
// copy of a larger one would cost more memory than a second write costs time.
const maxCopiedBody = 16 << 10

// write sends the request, and returns how many bytes were written.
func (r *Request) write(w io.Writer) (int, error) {
	head := r.encodeHead()
	if len(r.Body) <= maxCopiedBody {
		return w.Write(append(head, r.Body...))
	}
	written, err := w.Write(head)
	if err != nil {
		return written, err
	}
	n, err := w.Write(r.Body)
	return written + n, err
}

// encodeHead returns the serialized header, with room for a small body behind it.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), maxCopiedBody))
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
	return b.Bytes()
}

// CallBuffered sends a request and reads the complete response. It returns
// ErrTooLarge if the body has more than limit bytes: a truncated body would be
// mistaken for a complete one.
func (p *Pool) CallBuffered(ctx context.Context, target Target, r *Request, limit int) (status int, header http.Header, body []byte, err error) {
	response, err := p.Call(ctx, target, r)
	if err != nil {
		return 0, nil, nil, err
	}
	if body, err = ReadBody(response.Body, limit, p.memory); err != nil {
		response.Abort()
		return 0, nil, nil, errors.Wrap(err, "read the answer's body")
	}
	response.Release()
	return response.Status, response.Header, body, nil
}
