package socket

import (
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
