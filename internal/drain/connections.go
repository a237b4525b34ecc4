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

// Connections are the connections of an http.Server, which a planned stop ends without losing a
// request: http.Server.Shutdown closes a connection as idle although its next request has arrived
// and only waits to be read, which takes long in a process that is behind.
//
// Invariants: a connection is counted before the server can read from it, and until its socket is
// closed; bytes that were read belong to a request that is served to its end. A stop therefore never
// closes a connection itself. It ends the read that waits for the next request, which either has
// returned bytes, so that the request is served, or leaves all bytes unread.
type Connections struct {
	stopping atomic.Bool
	hook     func(net.Conn, http.ConnState)

	mu       sync.Mutex
	listener net.Listener
	// accepting counts the calls of Accept in progress: each may hold a connection that is not in
	// open yet. closed is set once none may begin.
	accepting int
	closed    bool
	open      map[*connection]struct{}
}

const (
	// lookInterval is the interval at which a stop looks for unused connections. A kept connection
	// is ended when it was idle for that long: a caller that has just got an answer may be sending
	// its next request.
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
	if !l.connections.beginAccept() {
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	return l.connections.endAccept(conn, err)
}

// beginAccept counts a call of Accept; false once the listener is closed.
func (c *Connections) beginAccept() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.accepting++
	return true
}

// endAccept ends the count of a call of Accept and counts its connection instead.
func (c *Connections) endAccept(conn net.Conn, err error) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepting--
	plain, ok := conn.(*net.TCPConn)
	if err != nil || !ok {
		return conn, err
	}
	tracked := newConnection(plain, c.forget)
	c.open[tracked] = struct{}{}
	return tracked, nil
}

// forget ends the count of a connection whose socket is closed.
func (c *Connections) forget(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// changed is the server's ConnState hook.
func (c *Connections) changed(conn net.Conn, state http.ConnState) {
	plain := conn
	if secure, ok := conn.(*tls.Conn); ok {
		plain = secure.NetConn()
	}
	if tracked, ok := plain.(*connection); ok {
		tracked.changeState(state, time.Now())
	}
	if c.hook != nil {
		c.hook(conn, state)
	}
}

// Tally tells how many connections are open, and how many of them are in a state.
type Tally struct{ Open, New, Active, Idle int }

// Tally counts the open connections.
func (c *Connections) Tally() Tally {
	open, _ := c.counted()
	tally := Tally{Open: len(open)}
	for _, conn := range open {
		switch conn.currentState() {
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

// counted returns the open connections, and how many there are with those that are being accepted.
func (c *Connections) counted() (open []*connection, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	open = make([]*connection, 0, len(c.open))
	for conn := range c.open {
		open = append(open, conn)
	}
	return open, len(open) + c.accepting
}

// Shutdown accepts no more connections, ends those that are unused, and waits until
// the requests on the others have been answered or ctx ends.
func (c *Connections) Shutdown(ctx context.Context) error {
	c.stopping.Store(true)
	c.closeListener()
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		left := c.endUnused(time.Now())
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

func (c *Connections) closeListener() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	// The only error is that the listener is closed already.
	_ = c.listener.Close()
}

// endUnused ends the unused connections, and returns how many are left: an ended one is counted until the
// server has closed it.
func (c *Connections) endUnused(now time.Time) int {
	open, count := c.counted()
	for _, conn := range open {
		conn.endIfUnused(now)
	}
	return count
}

// connection is a connection of a caller.
type connection struct {
	*net.TCPConn
	// closed is called once the socket is closed.
	closed func(*connection)

	mu sync.Mutex
	// reads counts the reads that returned bytes, readsBefore is its value at the last change of
	// state.
	reads       int64
	readsBefore int64
	// ended is set while the stop's deadline ends the reads of the connection.
	ended bool
	state http.ConnState
	since time.Time
}

func newConnection(plain *net.TCPConn, closed func(*connection)) *connection {
	return &connection{TCPConn: plain, closed: closed, state: http.StateNew, since: time.Now()}
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.recordRead()
	}
	return n, err
}

// recordRead records that bytes were read: the connection is in use.
func (c *connection) recordRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	c.resume()
}

// Close implements net.Conn.
func (c *connection) Close() error {
	err := c.TCPConn.Close()
	c.closed(c)
	return err
}

// changeState records a change of the connection's state.
func (c *connection) changeState(state http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since, c.readsBefore = state, now, c.reads
	if state == http.StateActive {
		// The request may have been read together with the one before.
		c.resume()
	}
}

func (c *connection) currentState() http.ConnState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// resume takes back the end of a connection that turned out to be in use; mu must be held.
func (c *connection) resume() {
	if c.ended {
		c.ended = false
		// The only error is that the connection is closed already.
		_ = c.SetReadDeadline(time.Time{})
	}
}

// readsEnded is a read deadline that has passed.
var readsEnded = time.Unix(1, 0)

// endIfUnused ends the wait for the next request, whereupon the server closes the connection.
func (c *connection) endIfUnused(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isUnused(now) {
		c.ended = true
		// The only error is that the connection is closed already.
		_ = c.SetReadDeadline(readsEnded)
	}
}

// isUnused reports whether no request is in progress on the connection, is being read or waits to be
// read; mu must be held.
func (c *connection) isUnused(now time.Time) bool {
	switch c.state {
	case http.StateIdle:
		if c.reads != c.readsBefore || now.Sub(c.since) < lookInterval {
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
