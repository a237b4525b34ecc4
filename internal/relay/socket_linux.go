package relay

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT for connections to prompt peers, so that
// the kernel closes a connection on which sent data stays unacknowledged for
// silenceTimeout. By default, Linux retransmits for about 15 minutes.
func setUserTimeout(ctx context.Context, _, _ string, raw syscall.RawConn) error {
	if !promptPeer(ctx) {
		return nil
	}
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "access socket")
	}
	return errors.Wrap(sockErr, "set TCP_USER_TIMEOUT")
}
