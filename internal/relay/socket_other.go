//go:build !linux

package relay

import (
	"context"
	"syscall"
)

// setUserTimeout does nothing: TCP_USER_TIMEOUT is specific to Linux. Only
// keep-alive probes detect a silent peer on this platform.
func setUserTimeout(context.Context, string, string, syscall.RawConn) error { return nil }
