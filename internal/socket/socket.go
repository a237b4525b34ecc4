// Package socket controls how connections end, and reads how their peers ended them.
package socket

import (
	"crypto/tls"
	"net"
	"syscall"
)

// SetResetOnClose sets whether closing the connection resets it. A reset discards what the peer
// has not received yet; without it, the system still delivers that after the close. It has no
// effect on connections other than TCP.
func SetResetOnClose(conn net.Conn, reset bool) {
	plain, ok := Transport(conn).(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	// The only error is that the connection is closed already.
	_ = plain.SetLinger(seconds)
}

// Reset closes the connection and discards what the peer has not received yet.
func Reset(conn net.Conn) {
	SetResetOnClose(conn, true)
	_ = conn.Close()
}

// ClosedByPeer reports whether the peer has closed or reset the connection, also while data that
// it sent before is unread. It consumes nothing and does not wait, and returns false when the
// state cannot be read.
func ClosedByPeer(conn net.Conn) bool { return ask(conn, hungUp) }

// HasUnread reports whether bytes of a peer that has not closed the connection wait to be read.
// It consumes nothing and does not wait, and returns false when the state cannot be read.
func HasUnread(conn net.Conn) bool { return ask(conn, unread) }

// HasPending reports whether connections wait to be accepted. It does not wait, and returns false when the
// state cannot be read.
func HasPending(listener net.Listener) bool {
	raw, ok := listener.(syscall.Conn)
	return ok && askSocket(raw, readable)
}

// HasInput reports whether reading from the connection would not wait: bytes are unread, or its peer has closed it.
func HasInput(conn net.Conn) bool { return ask(conn, readable) }

// Unacknowledged returns how many bytes, the end of what is sent among them, the peer's system has not acknowledged
// and still may. It returns 0 when the peer has reset the connection, or the state cannot be read.
func Unacknowledged(conn net.Conn) int {
	bytes := 0
	ask(conn, func(fd uintptr) bool {
		bytes = unacknowledged(fd)
		return true
	})
	return bytes
}

// Acknowledged returns how many bytes the peer's system has acknowledged since the connection began. It returns 0
// when the state cannot be read.
func Acknowledged(conn net.Conn) uint64 {
	bytes := uint64(0)
	ask(conn, func(fd uintptr) bool {
		bytes = acknowledged(fd)
		return true
	})
	return bytes
}

// ask asks a question of the connection's socket; false when it cannot be asked.
func ask(conn net.Conn, question func(fd uintptr) bool) bool {
	raw, ok := Transport(conn).(syscall.Conn)
	return ok && askSocket(raw, question)
}

func askSocket(raw syscall.Conn, question func(fd uintptr) bool) bool {
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	answer := false
	// Control and not Read: the latter would wait for a read in progress.
	err = control.Control(func(fd uintptr) { answer = question(fd) })
	return err == nil && answer
}

// Transport returns the connection that carries a TLS connection, and others unchanged.
func Transport(conn net.Conn) net.Conn {
	if secure, ok := conn.(*tls.Conn); ok {
		return secure.NetConn()
	}
	return conn
}
