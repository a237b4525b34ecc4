// Package rpc carries typed control messages between the system's processes
// over JSON-RPC 2.0 on TCP.
package rpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/rosemarypass/rosemarypass/internal/peertls"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

const (
	// maxConns is the most connections that one server answers. The size to
	// design for has under a thousand daemons and agents, with a few each.
	maxConns = 8192
	// handshakeTimeout bounds the time until a peer has shown its certificate.
	handshakeTimeout = 5 * time.Second
)

var (
	handshakeFailedCount = telemetry.Counter("rpc_handshakes_failed")
	refusedConnCount     = telemetry.Counter("rpc_connections_refused")
	streamErrorCount     = telemetry.Counter("rpc_stream_errors")
)

// Handler answers one method. The returned value is sent as the result.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Typed adapts a function over typed messages to a Handler.
func Typed[In, Out any](f func(context.Context, In) (Out, error)) Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, in)
	}
}

// Server answers calls on every connection of a listener.
type Server struct {
	handlers map[string]Handler
	mu       sync.Mutex
	conns    map[*jsonrpc2.Conn]struct{}
	closed   bool
}

// NewServer returns a server for the given methods.
func NewServer(handlers map[string]Handler) *Server {
	return &Server{handlers: handlers, conns: make(map[*jsonrpc2.Conn]struct{})}
}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.admit(ctx, conn)
	}
}

// admit secures a connection before it is listened to. A stranger that connects
// and shows no certificate, or nothing at all, is hung up on in bounded time;
// one would notice it by rpc_handshakes_failed.
func (s *Server) admit(ctx context.Context, conn net.Conn) {
	if err := handshake(ctx, conn); err != nil {
		handshakeFailedCount.Add(1)
		_ = conn.Close()
		return
	}
	if !s.attach(ctx, conn) {
		refusedConnCount.Add(1)
		_ = conn.Close()
	}
}

func handshake(ctx context.Context, conn net.Conn) error {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	return secure.HandshakeContext(ctx)
}

// attach begins to answer a connection, unless the server is closed or full.
func (s *Server) attach(ctx context.Context, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConns {
		return false
	}
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.dispatch))
	rpc := jsonrpc2.NewConn(ctx, newStream(conn), handler, jsonrpc2.SetLogger(streamErrors{}))
	s.conns[rpc] = struct{}{}
	go s.forget(rpc)
	return true
}

// streamErrors counts what the library would print: any stranger can cause it.
type streamErrors struct{}

// Printf implements jsonrpc2.Logger.
func (streamErrors) Printf(string, ...any) { streamErrorCount.Add(1) }

func (s *Server) forget(rpc *jsonrpc2.Conn) {
	<-rpc.DisconnectNotify()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, rpc)
}

func (s *Server) dispatch(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	handler, ok := s.handlers[request.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + request.Method}
	}
	params := json.RawMessage("null")
	if request.Params != nil {
		params = *request.Params
	}
	return handler(ctx, params)
}

// Close closes every connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for rpc := range s.conns {
		_ = rpc.Close()
	}
}

// Client calls one address and reconnects when the connection is lost.
type Client struct {
	address  string
	identity *peertls.Identity
	mu       sync.Mutex
	conn     *jsonrpc2.Conn
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
	if err := conn.Call(ctx, method, in, out); err != nil {
		c.dropIfBroken(conn, err)
		return errors.Wrapf(err, "%s at %s", method, c.address)
	}
	return nil
}

// connectTimeout bounds a new connection: a few ways between regions. To a
// machine without power none ever opens, the first packet is sent again after a
// second, and all other calls to the address wait meanwhile.
const connectTimeout = 300 * time.Millisecond

func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && !disconnected(c.conn) {
		return c.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := c.identity.Dial(ctx, "tcp", c.address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	c.conn = jsonrpc2.NewConn(context.Background(), newStream(raw), jsonrpc2.HandlerWithError(refuse), jsonrpc2.SetLogger(streamErrors{}))
	return c.conn, nil
}

// disconnected reports whether the peer has closed an idle connection. A call
// sent on it would fail with an unknown fate, although it was never received.
func disconnected(conn *jsonrpc2.Conn) bool {
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

// dropIfBroken closes the connection unless the peer answered. A connection
// that timed out may be cut off silently, and only a new one finds out.
func (c *Client) dropIfBroken(conn *jsonrpc2.Conn, err error) {
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
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
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(countedConn{conn}, boundedCodec{})
}
