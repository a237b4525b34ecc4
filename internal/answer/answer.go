// Package answer writes answers to callers. A handler returns its answer as a
// value and never sees the connection, so an answer has one header, its body
// belongs to that header, and its end is written only where the handler said
// that it is complete.
//
// net/http ends the body of an answer whenever a handler returns, and takes a
// handler that wrote nothing for one that succeeded. A handler that writes to
// the caller itself and meets a failure on the way makes a part look like the
// whole. Here what is not said to be complete is cut, so that the caller sees
// that something is missing.
package answer

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Answer is what a handler wants its caller to get. The zero value, and one
// whose status is no final status, is no answer: the connection ends.
type Answer struct {
	status int
	header http.Header
	body   []byte
	feed   Feed
	// sized is true when length is the declared one of a stream's body.
	sized  bool
	length int64
	// accept bounds how long the caller may take for one piece; 0 sets no bound.
	accept time.Duration
}

// Whole is an answer with a body that is known whole.
func Whole(status int, header http.Header, body []byte) Answer {
	return Answer{status: status, header: header, body: body}
}

// Text is an answer of a few words, with a header that may be nil.
func Text(status int, header http.Header, text string) Answer {
	said := http.Header{"Content-Type": {"text/plain; charset=utf-8"}, "X-Content-Type-Options": {"nosniff"}}
	maps.Copy(said, header)
	return Whole(status, said, []byte(text+"\n"))
}

// Stream is an answer whose body is passed on as it comes.
func Stream(status int, header http.Header, feed Feed) Answer {
	return Answer{status: status, header: header, feed: feed}
}

// Closing returns the answer with the request to come back on another
// connection.
func (a Answer) Closing() Answer {
	a.header = maps.Clone(a.header)
	if a.header == nil {
		a.header = make(http.Header)
	}
	a.header.Set("Connection", "close")
	return a
}

// Sized returns a stream with the length of its body declared, in bytes. A feed
// that passes on less or more is cut, whatever it says of its end.
func (a Answer) Sized(length int64) Answer {
	a.sized, a.length = true, length
	return a
}

// Accepted returns the answer with a bound on how long the caller may take to
// accept its header, each piece and its end.
func (a Answer) Accepted(within time.Duration) Answer {
	a.accept = within
	return a
}

// Status is the status that the caller gets, 0 for no answer.
func (a Answer) Status() int { return a.status }

// Feed passes the body on, piece by piece, and says whether it is complete.
type Feed func(pass Pass) End

// Pass hands a piece to the caller at once. After an error the caller is gone;
// the answer is cut whatever the feed says.
type Pass func(piece []byte) error

// End says how a body ended. The zero value is Cut.
type End struct {
	complete bool
	trailer  http.Header
}

// Cut ends the connection in the middle of the body.
var Cut = End{}

// Complete ends the body in good order, with a trailer that may be nil.
func Complete(trailer http.Header) End { return End{complete: true, trailer: trailer} }

// Handler answers a request.
type Handler func(r *http.Request) Answer

// ServeHTTP implements http.Handler.
func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := h(r)
	if !a.write(w, r) {
		cut(w, r)
	}
}

// framing are the headers that say where an answer ends; they are this
// package's to set.
var framing = []string{"Content-Length", "Transfer-Encoding", "Trailer"}

// write reports whether the answer went out complete.
func (a Answer) write(w http.ResponseWriter, r *http.Request) bool {
	if !final(a.status) {
		return false
	}
	a.allow(w)
	header := w.Header()
	maps.Copy(header, a.header)
	length := header.Get("Content-Length")
	for _, name := range framing {
		header.Del(name)
	}
	if a.feed != nil {
		return a.writeStream(w, r)
	}
	switch {
	case r.Method == http.MethodHead || a.status == http.StatusNotModified:
		// The length is that of the body which is not sent.
		if length != "" {
			header.Set("Content-Length", length)
		}
		w.WriteHeader(a.status)
		return true
	case !hasBody(a.status):
		w.WriteHeader(a.status)
		return true
	}
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	return err == nil
}

// final reports whether a status ends the wait for an answer. net/http follows
// an informational status by a successful empty answer of its own.
func final(status int) bool { return status >= http.StatusOK && status <= 999 }

// hasBody is false for answers that end with their header.
func hasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

func (a Answer) writeStream(w http.ResponseWriter, r *http.Request) bool {
	controller := http.NewResponseController(w)
	if a.sized && hasBody(a.status) {
		w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	unframed := !a.sized && !r.ProtoAtLeast(1, 1)
	if unframed {
		endByReset(r.Context(), true)
	}
	w.WriteHeader(a.status)
	var failure error
	var passed int64
	pass := func(piece []byte) error {
		passed += int64(len(piece))
		if failure == nil && a.sized && passed > a.length {
			failure = errors.New("the body is longer than declared")
		}
		if failure != nil {
			return failure
		}
		if r.Method == http.MethodHead {
			return nil
		}
		a.allow(w)
		if _, err := w.Write(piece); err != nil {
			failure = errors.Wrap(err, "write to caller")
			return failure
		}
		failure = errors.Wrap(controller.Flush(), "flush to caller")
		return failure
	}
	fed := false
	defer func() {
		// A feed that panics must not leave what looks like an end.
		if !fed {
			reset(w, r)
		}
	}()
	end := a.feed(pass)
	fed = true
	if !end.complete || failure != nil || a.sized && passed != a.length {
		return false
	}
	if unframed {
		endByReset(r.Context(), false)
	}
	a.allow(w)
	if len(end.trailer) > 0 && passed == 0 && !a.sized && controller.Flush() != nil {
		// An answer that was begun ends with a chunk, which a trailer can follow;
		// an empty one would be declared with its length.
		return false
	}
	for name, values := range end.trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	return true
}

// allow gives the caller its time to accept what is written next. The bound of
// the piece before may be over by then.
func (a Answer) allow(w http.ResponseWriter) {
	if a.accept > 0 {
		// Recorders in tests have no deadline to set; a connection does.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(a.accept))
	}
}

type connKey struct{}

// ConnContext is for http.Server. With it the connection of a caller that knows no
// chunks ends by a reset from the beginning of a stream until its end, whoever
// closes it: a stop, or the system when the process ends.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// endByReset sets how the connection ends when it is closed.
func endByReset(ctx context.Context, reset bool) {
	conn, found := ctx.Value(connKey{}).(net.Conn)
	if !found {
		return
	}
	linger := -1
	if reset {
		linger = 0
	}
	setLinger(conn, linger)
}

func setLinger(conn net.Conn, seconds int) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if plain, ok := conn.(*net.TCPConn); ok {
		_ = plain.SetLinger(seconds)
	}
}

// cut ends the connection so that the caller sees that its answer is not whole.
func cut(w http.ResponseWriter, r *http.Request) {
	reset(w, r)
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a caller that knows no chunks: it takes the
// orderly end of the connection for the end of the answer.
func reset(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	setLinger(conn, 0)
	_ = conn.Close()
}
