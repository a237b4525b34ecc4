// Package wait pauses a goroutine without delaying its cancellation.
package wait

import (
	"context"
	"time"
)

// For returns nil after d, or the context's error as soon as ctx ends.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
