package rpc

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/rosemarypass/rosemarypass/internal/peertls"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

// Client calls one address and reconnects when the connection is lost.
type Client struct {
	address  string
	identity *peertls.Identity

	mu   sync.Mutex
	conn *link
	// dialing is the dial in progress, if any; all calls wait for the same one.
	dialing *dial
}

// link is a connection to a peer.
type link struct {
	*jsonrpc2.Conn
	activity *activityConn
}

// dial is a dial in progress. Its results are set before done is closed.
type dial struct {
	done chan struct{}
	conn *link
	err  error
}

// ClientOption configures how a client connects.
type ClientOption func(*Client)

// WithIdentity secures the client's connections with TLS; nil means plaintext.
func WithIdentity(identity *peertls.Identity) ClientOption {
	return func(c *Client) { c.identity = identity }
}

// NewClient returns a client that connects on its first call.
func NewClient(address string, options ...ClientOption) *Client {
	c := &Client{address: address}
	for _, option := range options {
		option(c)
	}
	return c
}

// Call sends a request and waits for its response or the end of ctx.
func (c *Client) Call(ctx context.Context, method string, in, out any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	if err := conn.Call(ctx, method, in, out); err != nil {
		c.dropIfBroken(conn, start, err)
		return errors.Wrapf(err, "%s at %s", method, c.address)
	}
	return nil
}

// CallReceiving is like Call for responses that may be large: it waits for as long as data
// arrives on the connection, and ends once none has arrived for the time idle.
func (c *Client) CallReceiving(ctx context.Context, idle time.Duration, method string, in, out any) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go c.cancelWhenIdle(ctx, cancel, idle)
	err := c.Call(ctx, method, in, out)
	if err != nil && errors.Is(context.Cause(ctx), errIdle) {
		return errors.Wrapf(errIdle, "%s at %s", method, c.address)
	}
	return err
}

// errIdle is the cause of a call that CallReceiving ended.
var errIdle = errors.New("no data arrived in time")

// cancelWhenIdle cancels a call once no data has arrived for the time idle.
func (c *Client) cancelWhenIdle(ctx context.Context, cancel context.CancelCauseFunc, idle time.Duration) {
	lastArrival := time.Now()
	for {
		rest := idle - time.Since(lastArrival)
		if rest <= 0 {
			cancel(errIdle)
			return
		}
		if wait.For(ctx, rest) != nil {
			return
		}
		if last := c.lastActivity(); last.After(lastArrival) {
			lastArrival = last
		}
	}
}

// lastActivity returns when data last arrived on the current connection; zero if there is
// no connection or no data has arrived.
func (c *Client) lastActivity() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return time.Time{}
	}
	if last := c.conn.activity.last.Load(); last != nil {
		return *last
	}
	return time.Time{}
}

// IsPeerError reports whether a call's error was returned by the peer. After any other
// error the peer may have executed the call.
func IsPeerError(err error) bool {
	var rpcErr *jsonrpc2.Error
	return errors.As(err, &rpcErr)
}

// connectTimeout bounds the time to open a connection. It is a few times the one-way
// latency between regions. A connection to a machine without power never opens, its
// first packet is retransmitted only after a second, and all other calls to the
// address wait in the meantime. The TLS handshake has handshakeTimeout of its own: it
// takes processor time at both ends, of which a busy machine may have little.
const connectTimeout = 300 * time.Millisecond

// connect returns the current connection, or dials one and waits for it.
func (c *Client) connect(ctx context.Context) (*link, error) {
	c.mu.Lock()
	if c.conn != nil && !disconnected(c.conn) {
		defer c.mu.Unlock()
		return c.conn, nil
	}
	d := c.dialing
	if d == nil {
		d = &dial{done: make(chan struct{})}
		c.dialing = d
		go c.dial(d)
	}
	c.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, errors.Wrap(d.err, "connect")
	case <-ctx.Done():
		return nil, errors.Wrap(&net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}, "connect")
	}
}

// dial opens a connection for all calls that wait for d.
func (c *Client) dial(d *dial) {
	raw, err := c.open()
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(d.done)
	if err != nil {
		d.err = err
	} else {
		active := &activityConn{Conn: raw}
		d.conn = &link{
			Conn:     jsonrpc2.NewConn(context.Background(), newStream(active), jsonrpc2.HandlerWithError(rejectCall), jsonrpc2.SetLogger(streamErrorCounter{})),
			activity: active,
		}
	}
	switch {
	case c.dialing == d:
		c.dialing, c.conn = nil, d.conn
	case d.conn != nil:
		// The client was closed in the meantime.
		_ = d.conn.Close()
	}
}

// open opens a connection and performs the TLS handshake on it.
func (c *Client) open() (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", c.address, connectTimeout)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	return c.identity.Protect(ctx, conn, c.address)
}

// disconnected reports whether the peer has closed an idle connection. A call sent
// on it would fail with an unknown outcome, although the peer never received it.
func disconnected(conn *link) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side answers no calls"}
}

// dropIfBroken closes the connection unless the peer responded to this call or sent
// other data since the call started. A connection without incoming data may be
// silently broken, which only a new connection can show. On a connection with
// incoming data, only this call is slow, and closing it would fail all other calls.
func (c *Client) dropIfBroken(conn *link, start time.Time, err error) {
	if IsPeerError(err) || !disconnected(conn) && conn.activity.activeSince(start) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	_ = conn.Close()
}

// Close closes the current connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialing = nil
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// activityConn records when data last arrived on a connection.
type activityConn struct {
	net.Conn
	last atomic.Pointer[time.Time]
}

// Read implements net.Conn.
func (c *activityConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		now := time.Now()
		c.last.Store(&now)
	}
	return n, err
}

// Close implements net.Conn.
func (c *activityConn) Close() error { return closeTransport(c.Conn) }

// activeSince reports whether any data arrived after start.
func (c *activityConn) activeSince(start time.Time) bool {
	last := c.last.Load()
	return last != nil && last.After(start)
}
