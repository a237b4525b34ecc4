//go:build !linux

package socket

import (
	"syscall"
	"time"
)

// hungUp returns false: without POLLRDHUP a close behind unread data cannot be seen.
func hungUp(uintptr) bool { return false }

// unread returns false: whether bytes wait cannot be asked without reading them.
func unread(uintptr) bool { return false }

// readable returns false: the state of a listener cannot be asked.
func readable(uintptr) bool { return false }

// unacknowledged returns 0: the state cannot be asked.
func unacknowledged(uintptr) int { return 0 }

// acknowledged returns 0: the state cannot be asked.
func acknowledged(uintptr) uint64 { return 0 }

// SetUserTimeout does nothing: TCP_USER_TIMEOUT is specific to Linux. Only keep-alive probes
// detect a silent peer on this platform.
func SetUserTimeout(syscall.RawConn, time.Duration) error { return nil }

// setReceiveBuffer does nothing: the size of the system applies.
func setReceiveBuffer(uintptr, int) error { return nil }
