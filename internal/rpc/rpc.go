// Package rpc carries typed control messages between the system's processes
// over JSON-RPC 2.0 on TCP.
package rpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/drain"
	"github.com/rosemarypass/rosemarypass/internal/intake"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

const (
	// defaultMaxConns is the maximum number of connections per server. The design size is
	// under a thousand daemons and agents with a few connections each.
	defaultMaxConns = 8192
	// messageMemory bounds what the messages that a server reads hold together, in bytes. It leaves room for a largest one.
	messageMemory = 2 * MaxFrame
	// handshakeTimeout bounds the TLS handshake, in which the peer presents its
	// certificate.
	handshakeTimeout = 5 * time.Second
)

var (
	handshakeFailedCount = telemetry.Counter("rpc_handshakes_failed")
	abandonedConnCount   = telemetry.Counter("rpc_connections_abandoned")
	refusedConnCount     = telemetry.Counter("rpc_connections_refused")
	streamErrorCount     = telemetry.Counter("rpc_stream_errors")
)

// Handler handles calls of one method. The returned value is sent as the result.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Typed adapts a function with typed parameters and result to a Handler.
func Typed[In, Out any](f func(context.Context, In) (Out, error)) Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, in)
	}
}

// Server serves calls on all connections of a listener.
type Server struct {
	handlers map[string]Handler
	// drained holds the methods whose calls calls counts.
	drained map[string]bool
	calls   *drain.Gate
	// maxConns is the maximum number of connections, with those that are in a handshake.
	maxConns int
	messages *intake.Budget
	log      *zap.Logger

	mu     sync.Mutex
	open   map[*peerConn]struct{}
	closed bool
}

// ServerOption configures a server.
type ServerOption func(*Server)

// WithDrain makes Shutdown wait for the calls of these methods. They must not depend on
// calls of each other.
func WithDrain(methods ...string) ServerOption {
	return func(s *Server) {
		for _, method := range methods {
			s.drained[method] = true
		}
	}
}

// WithMaxConns bounds the connections. At the bound a new one takes the place of the one that has been open the longest
// without a whole message; if there is none, it is closed.
func WithMaxConns(connections int) ServerOption {
	return func(s *Server) { s.maxConns = connections }
}

// WithLog sets the log of changes between calm and pressure.
func WithLog(log *zap.Logger) ServerOption {
	return func(s *Server) { s.log = log }
}

// NewServer returns a server for the given methods.
func NewServer(handlers map[string]Handler, options ...ServerOption) *Server {
	s := &Server{
		handlers: handlers, drained: make(map[string]bool), calls: drain.NewGate(), maxConns: defaultMaxConns, log: zap.NewNop(),
		open: make(map[*peerConn]struct{}),
	}
	for _, option := range options {
		option(s)
	}
	s.messages = intake.NewBudget(messageMemory, s.log)
	return s
}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		peer := newPeerConn(conn)
		if !s.register(peer) {
			refusedConnCount.Add(1)
			peer.abandon()
			continue
		}
		go s.admit(ctx, peer)
	}
}

// admit completes the TLS handshake before the connection is served. A connection
// whose peer presents no valid certificate, or sends nothing, is closed within
// handshakeTimeout and counted in rpc_handshakes_failed. One that its peer closes before
// it has sent anything, as when its connect timed out, is counted apart.
func (s *Server) admit(ctx context.Context, conn *peerConn) {
	if err := handshake(ctx, conn.Conn); err != nil {
		s.unregister(conn)
		if errors.Is(err, io.EOF) {
			abandonedConnCount.Add(1)
		} else {
			handshakeFailedCount.Add(1)
		}
		_ = conn.Close()
		return
	}
	s.attach(ctx, conn)
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

// attach starts serving a connection.
func (s *Server) attach(ctx context.Context, conn *peerConn) {
	codec := boundedCodec{messages: s.messages, interrupt: conn.abandon, received: conn.recordMessage}
	stream := jsonrpc2.NewBufferedStream(countedConn{conn.Conn}, codec)
	handler := countedHandler{server: s, next: jsonrpc2.HandlerWithError(s.dispatch)}
	rpc := jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(streamErrorCounter{}))
	go func() {
		<-rpc.DisconnectNotify()
		s.unregister(conn)
	}()
}

// countedHandler handles each call in a goroutine of its own, and counts those that a stop
// waits for from the moment at which they are read until their responses are written.
type countedHandler struct {
	server *Server
	next   jsonrpc2.Handler
}

// Handle implements jsonrpc2.Handler. The connection reads no further call meanwhile.
func (h countedHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	switch {
	case !h.server.drained[request.Method]:
		go h.next.Handle(ctx, conn, request)
	case h.server.calls.Enter():
		go func() {
			defer h.server.calls.Leave()
			h.next.Handle(ctx, conn, request)
		}()
	default:
		go refuseStopping(ctx, conn, request)
	}
}

// codeStopping is the code of the error for a call that a stopping server did not take.
const codeStopping = -32001

func refuseStopping(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	// A caller that does not get the refusal sees the end of the connection.
	_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: codeStopping, Message: "the process stops"})
}

// IsStopping reports whether a call failed because its server stops. It was not executed.
func IsStopping(err error) bool {
	var rpcErr *jsonrpc2.Error
	return errors.As(err, &rpcErr) && rpcErr.Code == codeStopping
}

// streamErrorCounter counts the errors that the library would log, because any
// unauthenticated peer can cause them.
type streamErrorCounter struct{}

// Printf implements jsonrpc2.Logger.
func (streamErrorCounter) Printf(string, ...any) { streamErrorCount.Add(1) }

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

// Shutdown refuses further calls of the methods of WithDrain, waits until those in progress
// have been answered or ctx ends, and closes every connection. All other methods are served
// until then.
func (s *Server) Shutdown(ctx context.Context) {
	s.calls.Wait(ctx)
	s.Close()
}

// Close closes every connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.open {
		_ = conn.Close()
	}
}

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(countedConn{conn}, boundedCodec{})
}
