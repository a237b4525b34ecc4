package rpc

import (
	"crypto/tls"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// hungPeer returns the local end of a TLS connection whose peer has completed the handshake and reads nothing any more.
func hungPeer(t *testing.T) *tls.Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	ours := newIdentity(t)
	accepted := make(chan net.Conn, 1)
	listener := ours.Listen(&onePipe{conn: far})
	go func() {
		conn, _ := listener.Accept()
		_ = handshake(t.Context(), conn)
		accepted <- conn
	}()
	secure, err := ours.Secure(t.Context(), near, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	// The peer's session tickets, without which its handshake does not end.
	go func() { _, _ = secure.Read(make([]byte, 1)) }()
	<-accepted
	return secure
}

// onePipe is a listener that accepts one connection.
type onePipe struct {
	net.Listener
	conn net.Conn
}

// Accept implements net.Listener.
func (l *onePipe) Accept() (net.Conn, error) { return l.conn, nil }

// Guards against calls and a client's lock that wait for the end of a TLS connection whose peer reads nothing.
func TestCloseDoesNotWaitForHungPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := countedConn{&activityConn{Conn: hungPeer(t)}}
		began := time.Now()
		_ = conn.Close()
		if waited := time.Since(began); waited > 0 {
			t.Errorf("the close waited %s", waited)
		}
	})
}

// Guards against writes that exceed their limit because the failed one ends the TLS connection.
func TestWriteToHungPeerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := countedConn{hungPeer(t)}
		began := time.Now()
		_, err := conn.Write([]byte("message"))
		if waited := time.Since(began); err == nil || waited > writeTimeout {
			t.Errorf("the write ended with %v after %s, want an error after %s", err, waited, writeTimeout)
		}
	})
}
