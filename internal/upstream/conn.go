// Package upstream calls backend servers over HTTP/1.1 with full control of the
// connection. It writes a request exactly once, reports afterwards whether any
// byte of it may have arrived, matches responses to requests by id, and never
// treats a truncated response as complete. The transport of net/http replays
// some requests on its own and accepts whatever bytes are on the connection as
// the response; here the former could run a booking twice, and the latter could
// give one caller the response of another.
package upstream

import (
	"bufio"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/rosemarypass/rosemarypass/internal/socket"
)

const (
	// readBufferSize, in bytes, is enough for a response header and a few events.
	readBufferSize = 4 << 10
	// Keep-alive probes detect an unresponsive peer: three probes, half a second
	// apart, after a second without traffic.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// userTimeout is the longest time that sent bytes may stay unacknowledged.
	userTimeout = 2500 * time.Millisecond
	// expiryMargin is subtracted from the server's idle timeout, so that the server
	// does not close the connection while a request is in transit.
	expiryMargin = 700 * time.Millisecond
	// defaultIdle is the idle timeout of connections whose server announces none.
	defaultIdle = 4 * time.Second
)

// conn is one connection to a server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// expires is the time from which the connection must not be reused.
	expires time.Time
	// recentIDs holds the ids of the last requests sent on the connection.
	recentIDs [maxRecentIDs]string
	calls     int
	// left is how many bytes may be read until the bound is moved, negative for any number.
	left int64
}

// bound bounds what is read from now on, in bytes.
func (c *conn) bound(size int64) { c.left = size }

func (c *conn) unbound() { c.left = -1 }

// boundedReader reads from a connection within its bound.
type boundedReader struct{ *conn }

func (b boundedReader) Read(p []byte) (int, error) {
	c := b.conn
	if c.left == 0 {
		return 0, ErrTooLarge
	}
	if c.left > 0 {
		p = p[:min(int64(len(p)), c.left)]
	}
	n, err := c.Conn.Read(p)
	if c.left > 0 {
		c.left -= int64(n)
	}
	return n, err
}

// readHead waits for a response and reads its head.
func (c *conn) readHead(method string) (*http.Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	if err := c.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
		return nil, err
	}
	parsed, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	return parsed, c.SetReadDeadline(time.Time{})
}

// maxRecentIDs is the number of later requests during which a late duplicate
// response can still arrive.
const maxRecentIDs = 8

// recordID records the id of a request. A late duplicate of its response must
// not be taken as the response to a retry of the same request.
func (c *conn) recordID(id string) {
	c.recentIDs[c.calls%maxRecentIDs] = id
	c.calls++
}

func (c *conn) recentlySent(id string) bool { return id != "" && slices.Contains(c.recentIDs[:], id) }

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		ControlContext:  setUserTimeout,
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, left: -1}
	c.reader = bufio.NewReaderSize(boundedReader{c}, readBufferSize)
	return c
}

// setUserTimeout bounds how long a request to a server behind a network partition
// hangs, which would otherwise be minutes.
func setUserTimeout(_ context.Context, _, _ string, raw syscall.RawConn) error {
	return socket.SetUserTimeout(raw, userTimeout)
}

// isIdle reports whether the connection is open and has no unread bytes. Bytes
// that arrive while no request is in flight belong to no request.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var probe [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, receiveErr := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(receiveErr, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// abandon ends a call before its answer is complete. A server that has not read
// the request yet, because it stands still or its link is cut, must not get it
// after the caller has left.
func (c *conn) abandon() { socket.Reset(c.Conn) }

// setExpiry sets how long the connection may be kept, from the value of the
// response's Keep-Alive header.
func (c *conn) setExpiry(value string, now time.Time) {
	lifetime := defaultIdle
	for part := range strings.SplitSeq(value, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			lifetime = max(time.Duration(seconds)*time.Second-expiryMargin, 0)
		}
	}
	c.expires = now.Add(lifetime)
}

// Pool keeps idle connections to servers by address and incarnation: a
// connection to an earlier incarnation must not carry requests for a later one.
type Pool struct {
	dialTimeout time.Duration
	memory      *Memory

	mu   sync.Mutex
	idle map[Target][]*conn
}

// Target is one incarnation of a server.
type Target struct {
	Address string
	ID      string
}

// maxIdle is the maximum number of idle connections per target.
const maxIdle = 32

// NewPool returns a pool with no connections. What its responses hold together is bounded by memory.
func NewPool(dialTimeout time.Duration, memory *Memory) *Pool {
	return &Pool{dialTimeout: dialTimeout, memory: memory, idle: make(map[Target][]*conn)}
}

// get returns the most recently used idle connection on which no request with
// this id was sent recently, or a new one. The server may already have closed a
// reused connection.
func (p *Pool) get(ctx context.Context, target Target, id string) (c *conn, reused bool, err error) {
	now := time.Now()
	for {
		c := p.pop(target, id)
		if c == nil {
			break
		}
		if now.Before(c.expires) && c.isIdle() {
			return c, true, nil
		}
		_ = c.Close()
	}
	c, err = dial(ctx, target.Address, p.dialTimeout)
	return c, false, err
}

func (p *Pool) pop(target Target, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[target]
	for i := len(idle) - 1; i >= 0; i-- {
		if c := idle[i]; !c.recentlySent(id) {
			p.idle[target] = slices.Delete(idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) put(target Target, c *conn) {
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[target]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[target] = append(p.idle[target], c)
}

// Idling is a connection without a call, outside the pool.
type Idling struct {
	pool   *Pool
	target Target
	conn   *conn
}

// Dial opens a connection to a target for no call. The caller must call exactly one of Release and
// Close. It returns the error of the dialer if the connection cannot be opened within the dial
// timeout.
func (p *Pool) Dial(ctx context.Context, target Target) (*Idling, error) {
	c, err := dial(ctx, target.Address, p.dialTimeout)
	if err != nil {
		return nil, err
	}
	// The server counts the time without a call from here on.
	c.setExpiry("", time.Now())
	return &Idling{pool: p, target: target, conn: c}, nil
}

// IsOpen reports whether the other side has not closed the connection.
func (i *Idling) IsOpen() bool { return i.conn.isIdle() }

// Release keeps the connection for later calls.
func (i *Idling) Release() { i.pool.put(i.target, i.conn) }

// Close closes the connection.
func (i *Idling) Close() { _ = i.conn.Close() }

// HasOpen reports whether an idle connection to a target is open.
func (p *Pool) HasOpen(target Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[target], (*conn).isIdle)
}

// Idle returns the number of idle connections to a target.
func (p *Pool) Idle(target Target) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[target])
}

// Sweep closes the idle connections that have expired and those to targets for
// which keep returns false. The pool's lock is held while nothing else is called.
func (p *Pool) Sweep(now time.Time, keep func(Target) bool) {
	for _, target := range p.targets() {
		p.sweepTarget(now, target, keep(target))
	}
}

// targets returns the targets with idle connections.
func (p *Pool) targets() []Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.idle))
}

func (p *Pool) sweepTarget(now time.Time, target Target, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[target]
	live := conns[:0]
	for _, c := range conns {
		if keep && now.Before(c.expires) {
			live = append(live, c)
		} else {
			_ = c.Close()
		}
	}
	clear(conns[len(live):])
	if len(live) == 0 {
		delete(p.idle, target)
	} else {
		p.idle[target] = live
	}
}
