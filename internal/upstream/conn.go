// Package upstream calls backend servers over HTTP/1.1 with full control of the
// connection. It writes a request exactly once, knows afterwards whether any
// byte of it can have arrived, tells answers apart by the request's id, and
// never takes an answer that was cut off for a whole one. net/http's transport
// replays some requests on its own and takes what stands on the connection for
// the answer; here either would run a booking twice or hand one caller
// another's answer.
package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// readBuffer holds an answer's header and a few events.
	readBuffer = 4 << 10
	// keepAliveProbes find a peer that fell silent: three probes, half a second
	// apart, behind a second without traffic.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// unacknowledged bounds how long sent bytes may stay unacknowledged.
	unacknowledged = 2500 * time.Millisecond
	// expiryMargin is kept from the server's own idle timeout, so that it does
	// not close the connection while a request is on its way.
	expiryMargin = 700 * time.Millisecond
	// defaultIdle is how long a connection is kept whose server names no time.
	defaultIdle = 4 * time.Second
)

// conn is one connection to a server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// expires is when it must not be used any more.
	expires time.Time
	// carried are the ids of the requests that it carried last.
	carried [rememberedIDs]string
	calls   int
}

// rememberedIDs is for how many further requests a late copy of an answer is
// expected.
const rememberedIDs = 8

// note remembers a request's id. A copy of its answer may still come; it must
// not answer the same request when that is sent again.
func (c *conn) note(id string) {
	c.carried[c.calls%rememberedIDs] = id
	c.calls++
}

func (c *conn) hasCarried(id string) bool { return id != "" && slices.Contains(c.carried[:], id) }

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		ControlContext:  boundUnacknowledged,
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// boundUnacknowledged makes the system end a connection whose peer does not
// acknowledge. A parted server would otherwise hold its requests for minutes.
func boundUnacknowledged(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// quiet reports whether an idle connection is open and holds no bytes. Bytes
// that came while nothing was asked belong to no request.
func (c *conn) quiet() bool {
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

// noteKeepAlive sets how long the connection may be kept, from the value of
// the answer's Keep-Alive header.
func (c *conn) noteKeepAlive(value string, now time.Time) {
	kept := defaultIdle
	for part := range strings.SplitSeq(value, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			kept = max(time.Duration(seconds)*time.Second-expiryMargin, 0)
		}
	}
	c.expires = now.Add(kept)
}

// Pool keeps connections to servers, by address and incarnation: a connection
// of an earlier incarnation must not carry requests meant for a later one.
type Pool struct {
	dialTimeout time.Duration

	mu   sync.Mutex
	idle map[Target][]*conn
}

// Target is one incarnation of a server.
type Target struct {
	Address string
	ID      string
}

// maxIdle bounds the connections that are kept to one server.
const maxIdle = 32

// NewPool returns a pool with no connections.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{dialTimeout: dialTimeout, idle: make(map[Target][]*conn)}
}

// take returns the connection that was used last and has not carried the request
// of this id, or a new one. Of a reused one the server may know already that it
// is closed.
func (p *Pool) take(ctx context.Context, target Target, id string) (c *conn, reused bool, err error) {
	now := time.Now()
	for {
		c := p.pop(target, id)
		if c == nil {
			break
		}
		if now.Before(c.expires) && c.quiet() {
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
	kept := p.idle[target]
	for i := len(kept) - 1; i >= 0; i-- {
		if c := kept[i]; !c.hasCarried(id) {
			p.idle[target] = slices.Delete(kept, i, i+1)
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

// Idle is how many connections to a server are kept.
func (p *Pool) Idle(target Target) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[target])
}

// Sweep closes connections that have expired, and all of servers for which
// keep is false.
func (p *Pool) Sweep(now time.Time, keep func(Target) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, conns := range p.idle {
		left := conns[:0]
		for _, c := range conns {
			if now.Before(c.expires) && keep(target) {
				left = append(left, c)
			} else {
				_ = c.Close()
			}
		}
		clear(conns[len(left):])
		if len(left) == 0 {
			delete(p.idle, target)
		} else {
			p.idle[target] = left
		}
	}
}
