package agent

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// windowAhead is how far an engine's answer may run ahead of its
	// reader, in bytes; beyond that the engine is held back.
	windowAhead = 64 << 10
	// windowBehind is how much that was already read is kept for a reader
	// that comes back, in bytes. It covers what may be lost in the buffers
	// of a connection that was cut.
	windowBehind = 256 << 10
)

var (
	errWindowPassed = errors.New("this part of the answer is no longer kept")
	errSuperseded   = errors.New("another connection took over the answer")
)

// window is the part of one answer that is kept for its reader. A reader that
// lost its connection comes back at any kept offset.
type window struct {
	mu   sync.Mutex
	data []byte
	// base is the offset of data in the answer; read is how far the reader is.
	base, read int64
	// reader counts the readers that came; only the last one is served.
	reader  uint64
	done    bool
	err     error
	changed chan struct{}
}

func newWindow() *window { return &window{changed: make(chan struct{})} }

// notify wakes everyone who waits. The caller holds mu.
func (w *window) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *window) end() int64 { return w.base + int64(len(w.data)) }

// append adds data when the reader is near enough, or waits for it.
func (w *window) append(ctx context.Context, data []byte) error {
	for {
		w.mu.Lock()
		if w.end()-w.read < windowAhead {
			w.data = append(w.data, data...)
			w.trim()
			w.notify()
			w.mu.Unlock()
			return nil
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// trim forgets what lies further back than windowBehind. The caller holds mu.
func (w *window) trim() {
	excess := w.read - windowBehind - w.base
	if excess <= 0 {
		return
	}
	w.data = append(w.data[:0], w.data[excess:]...)
	w.base += excess
}

// finish ends the answer; err is nil when it is whole.
func (w *window) finish(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done, w.err = true, err
	w.notify()
}

// attach makes the caller the reader from an offset on. A reader before it is
// no longer served.
func (w *window) attach(offset int64) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if offset < w.base || offset > w.end() {
		return 0, errWindowPassed
	}
	if w.done && w.err != nil && offset == w.end() {
		return 0, w.err
	}
	w.reader++
	w.read = offset
	w.notify()
	return w.reader, nil
}

// next copies what follows an offset into the buffer, and waits for it. The
// error is io.EOF after the whole answer.
func (w *window) next(ctx context.Context, reader uint64, offset int64, buffer []byte) (int, error) {
	for {
		n, changed, err := w.take(reader, offset, buffer)
		if n > 0 || err != nil {
			return n, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

func (w *window) take(reader uint64, offset int64, buffer []byte) (int, <-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reader != w.reader {
		return 0, nil, errSuperseded
	}
	if w.read != offset {
		w.read = offset
		w.notify()
	}
	n := copy(buffer, w.data[offset-w.base:])
	if n > 0 || !w.done {
		return n, w.changed, nil
	}
	if w.err != nil {
		return 0, nil, w.err
	}
	return 0, nil, io.EOF
}
