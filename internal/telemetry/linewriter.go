package telemetry

import (
	"bytes"
	"expvar"
	"io"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxQueuedLines is the maximum number of lines that wait for a slow reader;
	// further lines are dropped and counted.
	maxQueuedLines = 1024
	// batchBytes is the size, in bytes, at which a batch of lines is written even if
	// more lines are queued.
	batchBytes = 32 << 10
	// syncTimeout is how long Sync waits until all lines are written.
	syncTimeout = 200 * time.Millisecond
)

// errSyncTimeout reports that the output did not accept all lines in time.
var errSyncTimeout = errors.New("sync timed out: some lines are not written yet")

// lineWriter writes lines in a separate goroutine: a blocked reader of the output
// must not delay requests, heartbeats or the exit of the process.
type lineWriter struct {
	out     io.Writer
	lines   chan []byte
	syncs   chan chan<- struct{}
	dropped *expvar.Int
}

func newLineWriter(out io.Writer, dropped *expvar.Int) *lineWriter {
	w := &lineWriter{out: out, lines: make(chan []byte, maxQueuedLines), syncs: make(chan chan<- struct{}), dropped: dropped}
	go w.run()
	return w
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (w *lineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It returns once all lines queued so far are
// written, or with an error after syncTimeout.
func (w *lineWriter) Sync() error {
	timeout := time.NewTimer(syncTimeout)
	defer timeout.Stop()
	done := make(chan struct{})
	select {
	case w.syncs <- done:
	case <-timeout.C:
		return errSyncTimeout
	}
	select {
	case <-done:
		return nil
	case <-timeout.C:
		return errSyncTimeout
	}
}

// run writes lines until the channel of lines is closed.
func (w *lineWriter) run() {
	for {
		select {
		case line, more := <-w.lines:
			if !more {
				return
			}
			w.write(line)
		case done := <-w.syncs:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			close(done)
		}
	}
}

// write writes a line together with the lines queued after it. Errors are ignored
// because there is nowhere to report them.
func (w *lineWriter) write(line []byte) {
	for len(line) < batchBytes && len(w.lines) > 0 {
		line = append(line, <-w.lines...)
	}
	_, _ = w.out.Write(line)
}
