package rpc

import (
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// silentConnEndedCount counts the connections without a whole message that gave way to new ones.
var silentConnEndedCount = telemetry.Counter("rpc_silent_connections_ended")

// peerConn is a connection of another process to a server, from its acceptance on.
type peerConn struct {
	net.Conn
	acceptedAt time.Time
	// spoke is set once a whole message was received.
	spoke atomic.Bool
}

func newPeerConn(conn net.Conn) *peerConn { return &peerConn{Conn: conn, acceptedAt: time.Now()} }

func (c *peerConn) recordMessage() { c.spoke.Store(true) }

// abandon closes the connection at once, without the message with which TLS ends it, as its peer may not read.
func (c *peerConn) abandon() {
	conn := c.Conn
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	_ = conn.Close()
}

// register counts a connection that was accepted, and reports whether it may be served.
func (s *Server) register(conn *peerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if len(s.open) >= s.maxConns {
		silent := s.longestSilent()
		if silent == nil {
			return false
		}
		silentConnEndedCount.Add(1)
		delete(s.open, silent)
		silent.abandon()
	}
	s.open[conn] = struct{}{}
	return true
}

// longestSilent returns the connection that has been open the longest without a whole message, nil if there is none; mu must
// be held.
func (s *Server) longestSilent() *peerConn {
	var found *peerConn
	for conn := range s.open {
		if !conn.spoke.Load() && (found == nil || conn.acceptedAt.Before(found.acceptedAt)) {
			found = conn
		}
	}
	return found
}

func (s *Server) unregister(conn *peerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}
