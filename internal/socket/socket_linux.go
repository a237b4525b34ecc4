package socket

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// hungUp reports whether the peer of a socket has closed its side or reset the connection.
func hungUp(fd uintptr) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(poll, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
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
