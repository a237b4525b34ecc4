package drain

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/intake"
	"github.com/rosemarypass/rosemarypass/internal/socket"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// Connections are the connections of an http.Server, which a planned stop ends without losing a
// request: http.Server.Shutdown closes a connection as idle although its next request has arrived
// and only waits to be read, which takes long in a process that is behind.
//
// Invariants: a connection is counted before the server can read from it, and until its socket is
// closed; a request that was read whole is served, except behind an answer that ends its connection.
// A stop therefore never closes a connection itself. It ends the read that waits for the next request,
// which either has returned bytes, so that the request is served, or leaves all bytes unread.
type Connections struct {
	stopping atomic.Bool
	// cut is set once a stop's time is up.
	cut  atomic.Bool
	hook func(net.Conn, http.ConnState)

	mu       sync.Mutex
	listener net.Listener
	// accepting counts the calls of Accept in progress: each may hold a connection that is not in
	// open yet. acceptsNone is set once none may begin.
	accepting   int
	acceptsNone bool
	open        map[*connection]struct{}
	// pendingTimeout is how long a stop goes on to accept connections while more are always waiting.
	pendingTimeout time.Duration

	limit   Limit
	atLimit *telemetry.Condition
	// closed is signalled when a connection is closed.
	closed chan struct{}
}

const (
	// lookInterval is the interval at which a stop looks for unused connections. A kept connection
	// is ended when it was idle for that long: a caller that has just got an answer may be sending
	// its next request.
	lookInterval = 20 * time.Millisecond
	// requestTimeout is how long a stop waits for a request on a new connection, and for the rest of one
	// that was read in part.
	requestTimeout = 3 * time.Second
	// defaultPendingTimeout is the usual pendingTimeout.
	defaultPendingTimeout = 500 * time.Millisecond
	// lingerTimeout is how long the end of a connection waits for its caller's system to take more of an answer;
	// resetTimeout is the same where the end discards what was not taken. It is no shorter than the usual time for a
	// write: a caller that reads slowly makes room in steps of up to 64 KiB. A stop's end ends both.
	lingerTimeout = 500 * time.Millisecond
	resetTimeout  = 30 * time.Second
	// lingerStep and maxLingerStep are the first and the longest pause between two looks.
	lingerStep    = time.Millisecond
	maxLingerStep = 20 * time.Millisecond
)

// Track follows the connections of a server that has not begun to serve, and keeps a limit of them. The server
// must then serve the listener that is returned.
func Track(server *http.Server, listener net.Listener, limit Limit) (*Connections, net.Listener) {
	c := &Connections{
		hook: server.ConnState, listener: listener, open: make(map[*connection]struct{}), pendingTimeout: defaultPendingTimeout,
		limit: limit, atLimit: newAtLimit(limit), closed: make(chan struct{}, 1),
	}
	server.ConnState = c.changed
	server.Handler = answer.Before(keepConnection, answer.CloseWhile(c.stopping.Load, server.Handler))
	server.ConnContext = withConnection(server.ConnContext)
	return c, &trackedListener{Listener: listener, connections: c}
}

type trackedListener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		if !l.connections.beginAccept() {
			return nil, net.ErrClosed
		}
		conn, err := l.Listener.Accept()
		tracked, err := l.connections.endAccept(conn, err)
		if err != nil {
			return nil, err
		}
		if l.connections.admit(tracked) {
			return tracked, nil
		}
	}
}

// beginAccept counts a call of Accept; false once the listener is closed.
func (c *Connections) beginAccept() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.acceptsNone {
		return false
	}
	c.accepting++
	return true
}

// endAccept ends the count of a call of Accept and counts its connection instead.
func (c *Connections) endAccept(conn net.Conn, err error) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepting--
	if err != nil {
		return nil, err
	}
	plain, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, errors.Errorf("%T is no TCP connection: a stop could not count it", conn)
	}
	tracked := newConnection(plain, c)
	c.open[tracked] = struct{}{}
	return tracked, nil
}

// forget ends the count of a connection whose socket is closed.
func (c *Connections) forget(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
	select {
	case c.closed <- struct{}{}:
	default:
	}
}

// changed is the server's ConnState hook.
func (c *Connections) changed(conn net.Conn, state http.ConnState) {
	if tracked, ok := trackedOf(conn); ok {
		tracked.changeState(state, time.Now())
	}
	if c.hook != nil {
		c.hook(conn, state)
	}
}

// trackedOf returns the connection that carries what a server serves.
func trackedOf(conn net.Conn) (*connection, bool) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	tracked, ok := conn.(*connection)
	return tracked, ok
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
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	c.acceptPending(ctx, ticker.C)
	c.closeListener()
	for {
		left := c.endUnused(time.Now())
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			c.cut.Store(true)
			return errors.Wrapf(ctx.Err(), "%d connections in use", left)
		case <-ticker.C:
		}
	}
}

// acceptPending waits until no connection waits to be accepted, but not for ever. Closing the
// listener would reset them, and their callers could not tell whether a request that they have sent runs.
func (c *Connections) acceptPending(ctx context.Context, tick <-chan time.Time) {
	ctx, cancel := context.WithTimeout(ctx, c.pendingTimeout)
	defer cancel()
	for socket.HasPending(c.listener) {
		select {
		case <-ctx.Done():
			return
		case <-tick:
		}
	}
}

func (c *Connections) closeListener() {
	c.mu.Lock()
	c.acceptsNone = true
	c.mu.Unlock()
	// The only error is that the listener is closed already.
	_ = c.listener.Close()
}

// endUnused ends the unused connections, and returns how many were counted before: an ended one is counted until
// the server has closed it.
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
	owner *Connections

	mu    sync.Mutex
	state http.ConnState
	// usedAt is the time of the last change of state, or of the last read that returned bytes.
	usedAt time.Time
	// hasRead is set once bytes were read in the present state.
	hasRead bool
	// ended is set while the stop's deadline ends the reads of the connection.
	ended bool
	// evicted is set while the connection ends since another one takes its place.
	evicted bool
	// gate is passed by each read; nil if there is none.
	gate answer.ReadGate
	// headBytes is what was read of the header of the next or present request, head what it holds of the budget.
	headBytes int
	head      *intake.Holding
	// resets is set while a close of the connection must reset it.
	resets bool
}

func newConnection(plain *net.TCPConn, owner *Connections) *connection {
	return &connection{TCPConn: plain, owner: owner, state: http.StateNew, usedAt: time.Now()}
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	gate := c.readGate()
	if gate != nil {
		gate.Release()
	}
	n, err := c.TCPConn.Read(p)
	if gate != nil {
		gate.Acquire()
	}
	if n > 0 {
		c.recordRead()
		if refused := c.chargeHead(n); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// SetReadGate sets the gate that reads pass; nil for none.
func (c *connection) SetReadGate(gate answer.ReadGate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate = gate
}

func (c *connection) readGate() answer.ReadGate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate
}

// recordRead records that bytes were read: the connection is in use.
func (c *connection) recordRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRead, c.usedAt = true, time.Now()
	c.resume()
}

// SetLinger is that of net.TCPConn; 0 makes the close reset the connection.
func (c *connection) SetLinger(seconds int) error {
	c.mu.Lock()
	c.resets = seconds == 0
	c.mu.Unlock()
	return c.TCPConn.SetLinger(seconds)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	switch {
	case c.isEvicted():
		// Nothing was written that its caller has to receive.
	case c.mustReset():
		c.awaitReceipt(resetTimeout)
	case c.owner.stopping.Load() || socket.HasInput(c.TCPConn):
		// The error shows in the close.
		_ = c.CloseWrite()
		c.awaitReceipt(lingerTimeout)
	}
	err := c.TCPConn.Close()
	c.owner.forget(c)
	return err
}

func (c *connection) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// SetReadDeadline is that of net.TCPConn. It has no effect while the reads of the connection are ended.
func (c *connection) SetReadDeadline(until time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	return c.TCPConn.SetReadDeadline(until)
}

func (c *connection) mustReset() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resets
}

// awaitReceipt waits until the caller's system has what was written, or takes no more of it for the given time, or
// a stop's time is up. A reset discards what was not received yet; so does the close of a socket while bytes are unread, and
// perhaps the end of the process.
func (c *connection) awaitReceipt(patience time.Duration) {
	unneeded := make([]byte, unneededBytes)
	left, until, step := socket.Unacknowledged(c.TCPConn), time.Now().Add(patience), lingerStep
	for left > 0 && !c.owner.cut.Load() && time.Now().Before(until) {
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(step))
		if _, err := c.TCPConn.Read(unneeded); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(step)
		}
		step = min(2*step, maxLingerStep)
		if now := socket.Unacknowledged(c.TCPConn); now != left {
			left, until, step = now, time.Now().Add(patience), lingerStep
		}
	}
}

// unneededBytes is the size of a read of bytes that are discarded.
const unneededBytes = 4 << 10

// changeState records a change of the connection's state.
func (c *connection) changeState(state http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.usedAt, c.hasRead = state, now, false
	c.updateHead(state)
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
	if c.ended && !c.evicted {
		c.ended = false
		// The only error is that the connection is closed already.
		_ = c.TCPConn.SetReadDeadline(time.Time{})
	}
}

// endReads ends the reads of the connection until it is resumed; mu must be held.
func (c *connection) endReads() {
	c.ended = true
	// The only error is that the connection is closed already.
	_ = c.TCPConn.SetReadDeadline(readsEnded)
}

// readsEnded is a read deadline that has passed.
var readsEnded = time.Unix(1, 0)

// endIfUnused ends the wait for the next request, whereupon the server closes the connection.
func (c *connection) endIfUnused(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isUnused(now) {
		c.endReads()
	}
}

// isUnused reports whether no request is in progress on the connection, is being read or waits to be
// read; mu must be held.
func (c *connection) isUnused(now time.Time) bool {
	quiet := requestTimeout
	switch {
	case c.state == http.StateIdle && !c.hasRead:
		quiet = lookInterval
	case c.state != http.StateIdle && c.state != http.StateNew:
		return false
	}
	return now.Sub(c.usedAt) >= quiet && !socket.HasUnread(c.TCPConn)
}
