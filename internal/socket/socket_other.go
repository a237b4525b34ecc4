//go:build !linux

package socket

// hungUp returns false: without POLLRDHUP a close behind unread data cannot be seen.
func hungUp(uintptr) bool { return false }
