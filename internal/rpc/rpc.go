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

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

const (
	// maxConns is the maximum number of connections per server. The design size is
	// under a thousand daemons and agents with a few connections each.
	maxConns = 8192
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

// admit completes the TLS handshake before the connection is served. A connection
// whose peer presents no valid certificate, or sends nothing, is closed within
// handshakeTimeout and counted in rpc_handshakes_failed. One that its peer closes before
// it has sent anything, as when its connect timed out, is counted apart.
func (s *Server) admit(ctx context.Context, conn net.Conn) {
	if err := handshake(ctx, conn); err != nil {
		if errors.Is(err, io.EOF) {
			abandonedConnCount.Add(1)
		} else {
			handshakeFailedCount.Add(1)
		}
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

// attach starts serving a connection and reports whether it did. It does not if the
// server is closed or has maxConns connections.
func (s *Server) attach(ctx context.Context, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConns {
		return false
	}
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.dispatch))
	rpc := jsonrpc2.NewConn(ctx, newStream(conn), handler, jsonrpc2.SetLogger(streamErrorCounter{}))
	s.conns[rpc] = struct{}{}
	go s.removeOnDisconnect(rpc)
	return true
}

// streamErrorCounter counts the errors that the library would log, because any
// unauthenticated peer can cause them.
type streamErrorCounter struct{}

// Printf implements jsonrpc2.Logger.
func (streamErrorCounter) Printf(string, ...any) { streamErrorCount.Add(1) }

func (s *Server) removeOnDisconnect(rpc *jsonrpc2.Conn) {
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

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(countedConn{conn}, boundedCodec{})
}
