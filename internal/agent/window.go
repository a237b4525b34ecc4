package agent

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// windowAhead is the number of bytes by which an engine's answer may be
	// ahead of its reader. Beyond that the engine's stream is throttled.
	windowAhead = 64 << 10
	// windowBehind is the number of bytes already read that are retained for a
	// reader that reconnects. It covers the data that may be lost in the
	// buffers of a broken connection.
	windowBehind = 256 << 10
)

var (
	errNotRetained = errors.New("this part of the answer is no longer kept")
	errSuperseded  = errors.New("another connection took over the answer")
)

// window holds the part of one answer that is retained for its reader. A reader
// that lost its connection can resume at any retained offset.
type window struct {
	mu   sync.Mutex
	data []byte
	// base is the offset of data in the answer. readOffset is the reader's
	// current offset.
	base, readOffset int64
	// reader counts the readers attached so far. Only the last one is served.
	reader  uint64
	done    bool
	err     error
	changed chan struct{}
}

func newWindow() *window { return &window{changed: make(chan struct{})} }

// notify wakes all waiting goroutines. The caller must hold mu.
func (w *window) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *window) end() int64 { return w.base + int64(len(w.data)) }

// append adds data. It blocks while the answer is windowAhead or more bytes
// ahead of the reader.
func (w *window) append(ctx context.Context, data []byte) error {
	for {
		w.mu.Lock()
		if w.end()-w.readOffset < windowAhead {
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

// trim drops data more than windowBehind bytes before the reader's offset. The
// caller must hold mu.
func (w *window) trim() {
	excess := w.readOffset - windowBehind - w.base
	if excess <= 0 {
		return
	}
	w.data = append(w.data[:0], w.data[excess:]...)
	w.base += excess
}

// finish marks the answer as ended. err is nil if the answer is complete.
func (w *window) finish(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done, w.err = true, err
	w.notify()
}

// attach makes the caller the reader from an offset on. The previous reader is
// no longer served.
func (w *window) attach(offset int64) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if offset < w.base || offset > w.end() {
		return 0, errNotRetained
	}
	if w.done && w.err != nil && offset == w.end() {
		return 0, w.err
	}
	w.reader++
	w.readOffset = offset
	w.notify()
	return w.reader, nil
}

// next copies data from an offset on into the buffer, waiting until some is
// available. It returns io.EOF at the end of a complete answer.
func (w *window) next(ctx context.Context, reader uint64, offset int64, buffer []byte) (int, error) {
	for {
		n, changed, err := w.read(reader, offset, buffer)
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

func (w *window) read(reader uint64, offset int64, buffer []byte) (int, <-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reader != w.reader {
		return 0, nil, errSuperseded
	}
	if w.readOffset != offset {
		w.readOffset = offset
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
