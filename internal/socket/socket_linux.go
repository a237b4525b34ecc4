package socket

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// closedEvents are the events of a socket whose peer has closed its side or reset the connection.
const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// hungUp reports whether the peer of a socket has closed its side or reset the connection.
func hungUp(fd uintptr) bool { return pending(fd)&closedEvents != 0 }

// unread reports whether bytes of a peer that has not closed its side wait to be read.
func unread(fd uintptr) bool {
	events := pending(fd)
	return events&unix.POLLIN != 0 && events&closedEvents == 0
}

// readable reports whether a connection waits to be accepted at a listener, or bytes at a connection.
func readable(fd uintptr) bool { return pending(fd)&unix.POLLIN != 0 }

// tcpClosed is the state of a socket that was reset or whose close both sides have completed.
const tcpClosed = 7

// unacknowledged returns the number of sent bytes that are not acknowledged and still may be, 0 when it cannot be read.
func unacknowledged(fd uintptr) int {
	if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.State == tcpClosed {
		return 0
	}
	queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return queued
}

// acknowledged returns the number of bytes that the peer has acknowledged, 0 when it cannot be read.
func acknowledged(fd uintptr) uint64 {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return info.Bytes_acked
}

// pending returns the events that are pending on a socket, none when they cannot be read.
func pending(fd uintptr) int16 {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(poll, 0)
		if !errors.Is(err, unix.EINTR) {
			if err != nil {
				return 0
			}
			return poll[0].Revents
		}
	}
}

// SetUserTimeout makes the system close the connection when sent data stays unacknowledged for
// the given time. By default, Linux retransmits for about 15 minutes.
func SetUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "access socket")
	}
	return errors.Wrap(sockErr, "set TCP_USER_TIMEOUT")
}

// setReceiveBuffer sets the size of a socket's receive buffer, in bytes. The system keeps twice that, for its own records
// beside the bytes, and no longer adapts the size.
func setReceiveBuffer(fd uintptr, bytes int) error {
	return errors.Wrap(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes), "set SO_RCVBUF")
}
