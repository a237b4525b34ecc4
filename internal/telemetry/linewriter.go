package telemetry

import (
	"bytes"
	"expvar"
	"io"
	"time"

	"github.com/pkg/errors"
)

const (
	// linesWaiting bounds the lines that wait for a reader that has fallen behind;
	// further ones are dropped and counted.
	linesWaiting = 1024
	// batchBytes bounds one write of lines that have come together.
	batchBytes = 32 << 10
	// syncTimeout bounds the wait until all lines are written.
	syncTimeout = 200 * time.Millisecond
)

// errLinesWait means that the reader of the lines takes none.
var errLinesWait = errors.New("some lines are not written yet")

// lineWriter writes lines beside those who log them: a reader that stands still
// must not hold up requests, heartbeats or the end of the process.
type lineWriter struct {
	out     io.Writer
	lines   chan []byte
	syncs   chan chan<- struct{}
	dropped *expvar.Int
}

func newLineWriter(out io.Writer, dropped *expvar.Int) *lineWriter {
	w := &lineWriter{out: out, lines: make(chan []byte, linesWaiting), syncs: make(chan chan<- struct{}), dropped: dropped}
	go w.run()
	return w
}

// Write implements zapcore.WriteSyncer.
func (w *lineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It returns once all lines so far are written,
// or after a while.
func (w *lineWriter) Sync() error {
	timeout := time.NewTimer(syncTimeout)
	defer timeout.Stop()
	done := make(chan struct{})
	select {
	case w.syncs <- done:
	case <-timeout.C:
		return errLinesWait
	}
	select {
	case <-done:
		return nil
	case <-timeout.C:
		return errLinesWait
	}
}

// run writes lines until the ring is closed.
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

// write writes a line and those that have come behind it. There is nobody to tell of
// an error.
func (w *lineWriter) write(line []byte) {
	for len(line) < batchBytes && len(w.lines) > 0 {
		line = append(line, <-w.lines...)
	}
	_, _ = w.out.Write(line)
}
