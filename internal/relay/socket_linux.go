package relay

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// boundUnacknowledged ends a connection whose prompt peer acknowledges nothing
// for the timeout. Linux otherwise sends again for a quarter of an hour.
func boundUnacknowledged(ctx context.Context, _, _ string, raw syscall.RawConn) error {
	if !promptPeer(ctx) {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "reach the socket")
	}
	return errors.Wrap(failed, "set TCP_USER_TIMEOUT")
}
