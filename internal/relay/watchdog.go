package relay

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrStalled is the cancellation cause of a context that a Watchdog ended.
var ErrStalled = errors.New("next hop sent no data within the timeout")

// Watchdog cancels a call whose next hop sends no data. Without it, a hanging
// backend server would block its callers, and their share of the contract's
// concurrency, for as long as the connection lasts.
type Watchdog struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// Watch returns a context that is canceled if Touch is not called within the
// timeout.
func Watch(ctx context.Context, timeout time.Duration) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(ErrStalled) })
	return ctx, &Watchdog{timer: timer, cancel: cancel}
}

// Touch restarts the timer with the given timeout.
func (w *Watchdog) Touch(timeout time.Duration) { w.timer.Reset(timeout) }

// Stop stops the watchdog and cancels the context of the call.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// Reader returns a reader of body that restarts the timer at each read. The timer
// is stopped between reads, so that a slow caller is not mistaken for a silent
// next hop.
func (w *Watchdog) Reader(body io.Reader, timeout time.Duration) io.Reader {
	return &watchedReader{watchdog: w, body: body, timeout: timeout}
}

type watchedReader struct {
	watchdog *Watchdog
	body     io.Reader
	timeout  time.Duration
}

func (r *watchedReader) Read(buffer []byte) (int, error) {
	r.watchdog.Touch(r.timeout)
	n, err := r.body.Read(buffer)
	r.watchdog.timer.Stop()
	return n, err
}
