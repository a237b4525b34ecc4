package telemetry

import (
	"bytes"
	"expvar"
	"fmt"
	"testing"
	"testing/synctest"
)

// stuckWriter stands still until it is let go.
type stuckWriter struct {
	bytes.Buffer
	free chan struct{}
}

// Write implements io.Writer.
func (w *stuckWriter) Write(data []byte) (int, error) {
	<-w.free
	return w.Buffer.Write(data)
}

// Whoever reads the lines stands still. Those who log must go on, and what is lost must be counted.
func TestAReaderOfLinesThatStandsStillHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuckWriter{free: make(chan struct{})}
		var dropped expvar.Int
		w := newLineWriter(out, &dropped)
		const lines = 3 * linesWaiting
		for i := range lines {
			if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.Sync(); err == nil {
			t.Error("all lines are said to be written")
		}
		close(out.free)
		if err := w.Sync(); err != nil {
			t.Error(err)
		}
		written := bytes.Count(out.Bytes(), []byte("\n"))
		if written+int(dropped.Value()) != lines || written < linesWaiting {
			t.Errorf("%d lines were written and %d counted as dropped, of %d", written, dropped.Value(), lines)
		}
		close(w.lines)
	})
}
