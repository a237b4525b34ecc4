package relay

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrStalled is the cause of a context that a Watchdog ended.
var ErrStalled = errors.New("the next hop sent nothing for too long")

// Watchdog ends a call whose next hop stays silent. Without it a backend
// server that hangs would hold its callers, and their share of the contract's
// concurrency, for as long as the connection lasts.
type Watchdog struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// Watch returns a context that ends when Touch is not called for the timeout.
func Watch(ctx context.Context, timeout time.Duration) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(ErrStalled) })
	return ctx, &Watchdog{timer: timer, cancel: cancel}
}

// Touch gives the next hop another timeout.
func (w *Watchdog) Touch(timeout time.Duration) { w.timer.Reset(timeout) }

// Stop ends the watch and the call's context.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// Reader touches the watchdog at each read. The watch is suspended while
// nobody reads, so that a slow caller is not taken for a silent next hop.
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
