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
)

// Client calls one address and reconnects when the connection is lost.
type Client struct {
	address  string
	identity *peertls.Identity

	mu   sync.Mutex
	conn *link
	// dialling is the connection that is being made; all calls wait for the same one.
	dialling *dial
}

// link is a connection to a peer.
type link struct {
	*jsonrpc2.Conn
	heard *heardConn
}

// dial is a connection under way. Its results are set before done is closed.
type dial struct {
	done chan struct{}
	conn *link
	err  error
}

// ClientOption changes how a client connects.
type ClientOption func(*Client)

// WithIdentity secures the client's connections; nil stands for plaintext.
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

// Call sends one request and waits for its answer or the end of ctx.
func (c *Client) Call(ctx context.Context, method string, in, out any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := conn.Call(ctx, method, in, out); err != nil {
		c.dropIfBroken(conn, began, err)
		return errors.Wrapf(err, "%s at %s", method, c.address)
	}
	return nil
}

// Answered reports whether a call's error is the peer's own answer. After any other
// one the peer may have done what it was asked.
func Answered(err error) bool {
	var answered *jsonrpc2.Error
	return errors.As(err, &answered)
}

// connectTimeout bounds a new connection: a few ways between regions. To a
// machine without power none ever opens, the first packet is sent again after a
// second, and all other calls to the address wait meanwhile.
const connectTimeout = 300 * time.Millisecond

// connect returns the connection, or waits for the one that is being made.
func (c *Client) connect(ctx context.Context) (*link, error) {
	c.mu.Lock()
	if c.conn != nil && !disconnected(c.conn) {
		defer c.mu.Unlock()
		return c.conn, nil
	}
	d := c.dialling
	if d == nil {
		d = &dial{done: make(chan struct{})}
		c.dialling = d
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

// dial makes a connection for all who wait for it.
func (c *Client) dial(d *dial) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	raw, err := c.identity.Dial(ctx, "tcp", c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(d.done)
	if err != nil {
		d.err = err
	} else {
		heard := &heardConn{Conn: raw}
		d.conn = &link{
			Conn:  jsonrpc2.NewConn(context.Background(), newStream(heard), jsonrpc2.HandlerWithError(refuse), jsonrpc2.SetLogger(streamErrors{})),
			heard: heard,
		}
	}
	switch {
	case c.dialling == d:
		c.dialling, c.conn = nil, d.conn
	case d.conn != nil:
		// The client was closed meanwhile.
		_ = d.conn.Close()
	}
}

// disconnected reports whether the peer has closed an idle connection. A call
// sent on it would fail with an unknown fate, although it was never received.
func disconnected(conn *link) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side answers no calls"}
}

// dropIfBroken closes the connection unless the peer answered, this call or another
// one since it began. A connection on which nothing comes may be cut off silently,
// and only a new one finds out; one that carries other answers is only slow at this
// one, and its end would cost all other calls on it.
func (c *Client) dropIfBroken(conn *link, began time.Time, err error) {
	if Answered(err) || !disconnected(conn) && conn.heard.since(began) {
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
	c.dialling = nil
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// heardConn knows when something came on a connection last.
type heardConn struct {
	net.Conn
	last atomic.Pointer[time.Time]
}

// Read implements net.Conn.
func (c *heardConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		now := time.Now()
		c.last.Store(&now)
	}
	return n, err
}

// since reports whether anything came after a time.
func (c *heardConn) since(began time.Time) bool {
	last := c.last.Load()
	return last != nil && last.After(began)
}
