package socket

import (
	"context"
	"net"
	"syscall"
)

// Sizes of the buffers of connections, in bytes.
const (
	// CallerUnread bounds what a connection of a caller, operator or backend server keeps unread.
	CallerUnread = 16 << 10
	// PeerUnread is the same between processes of the system, which may be far from each other and of which there are
	// fewer.
	PeerUnread = 64 << 10
)

// Listen opens a TCP listener whose connections keep at most about a number of bytes that are not read; 0 leaves that to the
// system, which lets a single connection grow to megabytes. A small buffer limits a caller to its size in each round trip.
func Listen(address string, unreadBytes int) (net.Listener, error) {
	config := net.ListenConfig{}
	if unreadBytes > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			// A listener hands its buffer size on to its connections. Where the system refuses it, its own bound applies.
			return raw.Control(func(fd uintptr) { _ = setReceiveBuffer(fd, unreadBytes) })
		}
	}
	return config.Listen(context.Background(), "tcp", address)
}
