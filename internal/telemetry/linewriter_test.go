package telemetry

import (
	"bytes"
	"expvar"
	"fmt"
	"testing"
	"testing/synctest"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	bytes.Buffer
	release chan struct{}
}

// Write implements io.Writer.
func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(data)
}

// The reader of the log output hangs. Logging must not block, and dropped lines must be counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		var dropped expvar.Int
		w := newLineWriter(out, &dropped)
		const lines = 3 * maxQueuedLines
		for i := range lines {
			if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.Sync(); err == nil {
			t.Error("Sync returned no error although the output is blocked")
		}
		close(out.release)
		if err := w.Sync(); err != nil {
			t.Error(err)
		}
		written := bytes.Count(out.Bytes(), []byte("\n"))
		if written+int(dropped.Value()) != lines || written < maxQueuedLines {
			t.Errorf("%d lines were written and %d counted as dropped, of %d", written, dropped.Value(), lines)
		}
		close(w.lines)
	})
}
