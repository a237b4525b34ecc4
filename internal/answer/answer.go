// Package answer writes HTTP responses to callers. A handler returns its response
// as an Answer value and has no access to the connection, so a response has
// exactly one header with a body that belongs to it, and the end of the body is
// written only if the handler declares it complete.
//
// net/http ends the body of a response whenever a handler returns, and treats a
// handler that wrote nothing as successful. A handler that writes to the caller
// directly and fails midway would therefore make a partial response look
// complete. This package aborts every response that is not declared complete, so
// that the caller detects the truncation.
package answer

import (
	"context"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/socket"
)

// Answer is the response of a handler. For the zero value, and for an answer with
// a status that is not final, no response is sent and the connection is closed.
type Answer struct {
	status int
	header http.Header
	body   []byte
	feed   Feed
	// hasLength is true if length is the declared length of a stream's body, in bytes.
	hasLength bool
	length    int64
	// writeTimeout bounds each write to the caller; 0 means no timeout.
	writeTimeout time.Duration
}

// Full returns an answer with a complete body.
func Full(status int, header http.Header, body []byte) Answer {
	return Answer{status: status, header: header, body: body}
}

// Text returns a plain-text answer. The header may be nil.
func Text(status int, header http.Header, text string) Answer {
	merged := http.Header{"Content-Type": {"text/plain; charset=utf-8"}, "X-Content-Type-Options": {"nosniff"}}
	maps.Copy(merged, header)
	return Full(status, merged, []byte(text+"\n"))
}

// Stream returns an answer with a body that feed produces piece by piece.
func Stream(status int, header http.Header, feed Feed) Answer {
	return Answer{status: status, header: header, feed: feed}
}

// WithConnectionClose returns the answer with the header Connection: close, which asks
// the caller to use another connection for its next request.
func (a Answer) WithConnectionClose() Answer {
	a.header = maps.Clone(a.header)
	if a.header == nil {
		a.header = make(http.Header)
	}
	a.header.Set("Connection", "close")
	return a
}

// WithLength returns a streamed answer that declares the length of its body, in bytes.
// If the feed passes fewer or more bytes, the body is cut even if the feed returns
// Complete.
func (a Answer) WithLength(length int64) Answer {
	a.hasLength, a.length = true, length
	return a
}

// WithWriteTimeout returns the answer with a timeout for writing its header, each piece
// and its end to the caller.
func (a Answer) WithWriteTimeout(timeout time.Duration) Answer {
	a.writeTimeout = timeout
	return a
}

// Status returns the HTTP status, or 0 for the zero Answer.
func (a Answer) Status() int { return a.status }

// Feed passes the body piece by piece and reports with its End whether the body is
// complete.
type Feed func(pass Pass) End

// Pass writes a piece to the caller and flushes it. After an error the caller can
// no longer be reached, and the answer is cut whatever End the feed returns.
type Pass func(piece []byte) error

// End is how a body ended. The zero value is Cut.
type End struct {
	complete bool
	trailer  http.Header
}

// Cut closes the connection before the end of the body.
var Cut = End{}

// Complete ends the body regularly. The trailer may be nil.
func Complete(trailer http.Header) End { return End{complete: true, trailer: trailer} }

// Handler answers a request.
type Handler func(r *http.Request) Answer

// ServeHTTP implements http.Handler.
func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := h(r)
	if !a.write(w, r) {
		abort(w, r)
	}
}

// CloseWhile returns a handler that asks callers that are answered while stopping
// returns true to use another connection for their next request.
func CloseWhile(stopping func() bool, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// Before returns a handler that calls begin with the context of each request before it is answered.
func Before(begin func(context.Context), handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begin(r.Context())
		handler.ServeHTTP(w, r)
	})
}

// framingHeaders are the headers that delimit a response. Only this package sets
// them.
var framingHeaders = []string{"Content-Length", "Transfer-Encoding", "Trailer"}

// write writes the answer and reports whether it was written completely.
func (a Answer) write(w http.ResponseWriter, r *http.Request) bool {
	if !isFinal(a.status) {
		return false
	}
	BoundWrite(r.Context(), time.Time{})
	a.setWriteDeadline(w)
	header := w.Header()
	maps.Copy(header, a.header)
	length := header.Get("Content-Length")
	for _, name := range framingHeaders {
		header.Del(name)
	}
	if a.feed != nil {
		return a.writeStream(w, r)
	}
	switch {
	case r.Method == http.MethodHead || a.status == http.StatusNotModified:
		// Content-Length is the length of the body that is not sent.
		if length != "" {
			header.Set("Content-Length", length)
		}
		w.WriteHeader(a.status)
		return true
	case !allowsBody(a.status):
		w.WriteHeader(a.status)
		return true
	}
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	return err == nil
}

// isFinal reports whether a status is final, that is, not informational. After an
// informational status net/http sends an empty successful response of its own.
func isFinal(status int) bool { return status >= http.StatusOK && status <= 999 }

// allowsBody reports whether a response with this status may have a body.
func allowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// HasBody reports whether the response to a request of the given method has a body with the given status.
func HasBody(method string, status int) bool {
	return method != http.MethodHead && isFinal(status) && allowsBody(status)
}

func (a Answer) writeStream(w http.ResponseWriter, r *http.Request) bool {
	controller := http.NewResponseController(w)
	if a.hasLength && allowsBody(a.status) {
		w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	unframed := !a.hasLength && !r.ProtoAtLeast(1, 1)
	if unframed {
		setResetOnClose(r.Context(), true)
	}
	w.WriteHeader(a.status)
	var writeErr error
	var written int64
	pass := func(piece []byte) error {
		written += int64(len(piece))
		if writeErr == nil && a.hasLength && written > a.length {
			writeErr = errors.New("the body is longer than declared")
		}
		if writeErr != nil {
			return writeErr
		}
		if r.Method == http.MethodHead {
			return nil
		}
		a.setWriteDeadline(w)
		if _, err := w.Write(piece); err != nil {
			writeErr = errors.Wrap(err, "write to caller")
			return writeErr
		}
		writeErr = errors.Wrap(controller.Flush(), "flush to caller")
		return writeErr
	}
	feedReturned := false
	defer func() {
		// If the feed panics, the response must not look complete.
		if !feedReturned {
			reset(w, r)
		}
	}()
	end := a.feed(pass)
	feedReturned = true
	if !end.complete || writeErr != nil || a.hasLength && written != a.length {
		return false
	}
	if unframed {
		setResetOnClose(r.Context(), false)
	}
	a.setWriteDeadline(w)
	if len(end.trailer) > 0 && written == 0 && !a.hasLength && controller.Flush() != nil {
		// After a flush the response is chunked and can carry a trailer; an empty
		// response that was not flushed would be sent with a Content-Length instead.
		return false
	}
	for name, values := range end.trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	return true
}

// setWriteDeadline sets the deadline for the next write. The deadline of the
// previous write may have passed by then.
func (a Answer) setWriteDeadline(w http.ResponseWriter) {
	if a.writeTimeout > 0 {
		// Response recorders in tests do not support deadlines; connections do.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(a.writeTimeout))
	}
}

type connKey struct{}

// ConnContext is to be set as ConnContext of an http.Server. During a stream to a
// caller that does not support chunked encoding, any close of the connection then
// resets it, whether by a shutdown of the server or by the kernel when the process
// exits.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CallerGone reports whether the caller of a request has closed its connection.
// The context of a request ends a little later, when net/http has read the close:
// a request that waited unread while this process stood still would be sent on
// before that. ctx is a request's context under ConnContext.
func CallerGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, found := ctx.Value(connKey{}).(net.Conn)
	return found && socket.ClosedByPeer(conn)
}

// BoundRead bounds the time at which a request's body must have been read; a reader beyond it gets a timeout. The
// returned function ends the bound. ctx is a request's context under ConnContext.
func BoundRead(ctx context.Context, until time.Time) (end func()) {
	conn, found := ctx.Value(connKey{}).(net.Conn)
	if !found || conn.SetReadDeadline(until) != nil {
		return func() {}
	}
	return func() { _ = conn.SetReadDeadline(time.Time{}) }
}

// ReadGate is passed by whoever reads a connection: Release before it waits for bytes, Acquire once it has some.
type ReadGate interface {
	Release()
	Acquire()
}

// GateReads makes the reads of the connection pass a gate, until the returned function is called. It returns false if the
// connection has no gates. ctx is a request's context under ConnContext.
func GateReads(ctx context.Context, gate ReadGate) (end func(), gated bool) {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	gates, found := socket.Transport(conn).(interface{ SetReadGate(gate ReadGate) })
	if !found {
		return func() {}, false
	}
	gates.SetReadGate(gate)
	return func() { gates.SetReadGate(nil) }, true
}

// EndRead ends the reading of a request's body: a read in progress and later ones get a timeout. ctx is a request's context
// under ConnContext.
func EndRead(ctx context.Context) {
	if conn, found := ctx.Value(connKey{}).(net.Conn); found {
		// The only error is that the connection is closed already.
		_ = conn.SetReadDeadline(readsEnded)
	}
}

// readsEnded is a read deadline that has passed.
var readsEnded = time.Unix(1, 0)

// BoundWrite bounds the time at which what is written to the caller must have been taken, also for a write in progress;
// a time in the past ends it. The bound applies until the connection's next response. ctx is a request's context
// under ConnContext.
func BoundWrite(ctx context.Context, until time.Time) {
	if conn, found := ctx.Value(connKey{}).(net.Conn); found {
		// The only error is that the connection is closed already.
		_ = conn.SetWriteDeadline(until)
	}
}

// Acknowledged returns how many bytes the caller's system has taken on the connection; 0 when that is not known. ctx is
// a request's context under ConnContext.
func Acknowledged(ctx context.Context) uint64 {
	conn, found := ctx.Value(connKey{}).(net.Conn)
	if !found {
		return 0
	}
	return socket.Acknowledged(conn)
}

// setResetOnClose sets whether closing the connection resets it or closes it
// orderly.
func setResetOnClose(ctx context.Context, reset bool) {
	if conn, found := ctx.Value(connKey{}).(net.Conn); found {
		socket.SetResetOnClose(conn, reset)
	}
}

// abort ends the connection so that the caller detects a truncated response.
func abort(w http.ResponseWriter, r *http.Request) {
	reset(w, r)
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a caller that does not support chunked encoding:
// such a caller takes an orderly close for the end of the response.
func reset(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	socket.Reset(conn)
}
