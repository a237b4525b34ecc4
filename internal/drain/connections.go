package drain

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/socket"
)

// Connections are the connections of an http.Server, which a planned stop closes
// without losing a request. http.Server.Shutdown closes a connection as idle although
// its next request has arrived and only waits to be read, which takes long in a
// process that is behind; the caller cannot tell whether that request has run.
type Connections struct {
	stopping atomic.Bool
	hook     func(net.Conn, http.ConnState)

	mu       sync.Mutex
	listener net.Listener
	open     map[*connection]struct{}
}

// connection is a connection of a caller.
type connection struct {
	*net.TCPConn

	// readMu protects reads, which counts the reads that returned bytes, readsBefore, which
	// is its value at the last change of state, and ended, which is set once a stop has found
	// the connection unused.
	readMu      sync.Mutex
	reads       int64
	readsBefore int64
	ended       bool

	// Connections.mu protects the following fields.
	state http.ConnState
	since time.Time
	// unusedAt is the value of reads when the last look found the connection unused;
	// -1 when it did not.
	unusedAt int64
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.ended {
		// What was read in the moment of the close must not be served: its caller gets
		// no answer.
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.reads++
	}
	return n, err
}

// endIfUnread ends the connection unless bytes were read since the given count, and
// returns the count.
func (c *connection) endIfUnread(since int64) (reads int64, ended bool) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.ended = c.reads == since
	return c.reads, c.ended
}

// changeState records a change of the connection's state; Connections.mu must be held.
func (c *connection) changeState(state http.ConnState) {
	c.state, c.since, c.unusedAt = state, time.Now(), -1
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.readsBefore = c.reads
}

// isReading reports whether bytes were read that have not become a request yet: the
// server changes the state only once it has the whole header.
func (c *connection) isReading() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.reads != c.readsBefore
}

const (
	// lookInterval is the interval at which a stop looks for unused connections. One
	// is closed when two looks in a row find it unused: a request that was read together
	// with the one before it has changed the state by the second.
	lookInterval = 20 * time.Millisecond
	// firstRequestTimeout is how long a stop waits for the first request of a new
	// connection.
	firstRequestTimeout = 5 * time.Second
)

// Track follows the connections of a server that has not begun to serve. The server
// must then serve the listener that is returned.
func Track(server *http.Server, listener net.Listener) (*Connections, net.Listener) {
	c := &Connections{hook: server.ConnState, listener: listener, open: make(map[*connection]struct{})}
	server.ConnState = c.changed
	server.Handler = answer.CloseWhile(c.stopping.Load, server.Handler)
	return c, &trackedListener{Listener: listener, connections: c}
}

type trackedListener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	plain, ok := conn.(*net.TCPConn)
	if err != nil || !ok {
		return conn, err
	}
	tracked := &connection{TCPConn: plain, state: http.StateNew, since: time.Now(), unusedAt: -1}
	l.connections.mu.Lock()
	defer l.connections.mu.Unlock()
	l.connections.open[tracked] = struct{}{}
	return tracked, nil
}

// changed is the server's ConnState hook.
func (c *Connections) changed(conn net.Conn, state http.ConnState) {
	plain := conn
	if secure, ok := conn.(*tls.Conn); ok {
		plain = secure.NetConn()
	}
	if tracked, ok := plain.(*connection); ok {
		c.record(tracked, state)
	}
	if c.hook != nil {
		c.hook(conn, state)
	}
}

func (c *Connections) record(conn *connection, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.changeState(state)
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
	}
}

// Tally tells how many connections are open, and how many of them are in a state.
type Tally struct{ Open, New, Active, Idle int }

// Tally counts the open connections.
func (c *Connections) Tally() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	tally := Tally{Open: len(c.open)}
	for conn := range c.open {
		switch conn.state {
		case http.StateNew:
			tally.New++
		case http.StateActive:
			tally.Active++
		case http.StateIdle:
			tally.Idle++
		}
	}
	return tally
}

// Shutdown accepts no more connections, closes those that are unused, and waits until
// the requests on the others have been answered or ctx ends.
func (c *Connections) Shutdown(ctx context.Context) error {
	c.stopping.Store(true)
	// The only error is that the listener is closed already.
	_ = c.listener.Close()
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		left := c.closeUnused(time.Now())
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d connections in use", left)
		case <-ticker.C:
		}
	}
}

// closeUnused closes the connections that this look and the one before found unused,
// and returns the number of those that stay open.
func (c *Connections) closeUnused(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if !conn.unused(now) {
			conn.unusedAt = -1
			continue
		}
		reads, ended := conn.endIfUnread(conn.unusedAt)
		if ended {
			_ = conn.Close()
			delete(c.open, conn)
		}
		conn.unusedAt = reads
	}
	return len(c.open)
}

// unused reports whether no request is in progress on the connection or waits to be
// read.
func (c *connection) unused(now time.Time) bool {
	switch c.state {
	case http.StateIdle:
		if c.isReading() {
			return false
		}
	case http.StateNew:
		// A TLS handshake has been read before the first request.
		if now.Sub(c.since) < firstRequestTimeout {
			return false
		}
	default:
		return false
	}
	return !socket.HasUnread(c.TCPConn)
}
