//go:build !linux

package relay

import (
	"context"
	"syscall"
)

// boundUnacknowledged has no counterpart here; probes alone find a silent peer.
func boundUnacknowledged(context.Context, string, string, syscall.RawConn) error { return nil }
