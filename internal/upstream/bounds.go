package upstream

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Bounds of what is read from a server in trouble, whose bytes may not end: in a head, before it or in a body. What
// all calls hold at once is bounded by a Memory.
const (
	// maxHeadBytes bounds a response's head together with those of interim responses before it, in bytes.
	maxHeadBytes = 64 << 10
	// headTimeout bounds the time from the first byte of a head to its end. A lost packet is sent again within it.
	headTimeout = 2 * time.Second
	// maxInterim is the number of interim responses before a response.
	maxInterim = 8
	// maxStrays is the number of responses to earlier requests that are skipped on a connection;
	// maxStrayBytes bounds the body of each, in bytes.
	maxStrays     = 2
	maxStrayBytes = 1 << 20
	// maxUnneeded and unneededTimeout bound a body that nobody needs, in bytes, and the time to read it: beyond
	// them a new connection costs less.
	maxUnneeded     = 64 << 10
	unneededTimeout = 250 * time.Millisecond
	// freeBytes is what each response may hold beside the Memory, in bytes.
	freeBytes = 64 << 10
	// firstBuffer is the size of the buffer with which the reading of a body begins, in bytes.
	firstBuffer = 4 << 10
)

// ErrTooLarge reports that a response exceeds a size limit of its reader.
var ErrTooLarge = errors.New("response exceeds the size limit")

// ErrNoMemory reports that a response was given up since all responses together hold too much.
var ErrNoMemory = errors.New("responses hold too much memory together")

// DefaultMemory is the bound of a Memory for which none is given, in bytes.
const DefaultMemory = 32 << 20

// Memory bounds what responses hold together beyond freeBytes each.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a bound in bytes; DefaultMemory if it is 0.
func NewMemory(limit int64) *Memory {
	if limit <= 0 {
		limit = DefaultMemory
	}
	return &Memory{limit: limit}
}

// Used returns what is held, in bytes.
func (m *Memory) Used() int64 { return m.used.Load() }

// Holding is what one response holds of a Memory. It is not safe for concurrent use.
type Holding struct {
	memory *Memory
	held   int64
}

// Hold returns an empty holding. The caller must release it.
func (m *Memory) Hold() *Holding { return &Holding{memory: m} }

// Grow raises the holding to a size in bytes, or returns ErrNoMemory and leaves it.
func (h *Holding) Grow(size int) error {
	more := max(int64(size)-freeBytes, 0) - h.held
	if more <= 0 {
		return nil
	}
	if h.memory.used.Add(more) > h.memory.limit {
		h.memory.used.Add(-more)
		return ErrNoMemory
	}
	h.held += more
	return nil
}

// Release gives back what is held.
func (h *Holding) Release() {
	h.memory.used.Add(-h.held)
	h.held = 0
}

// ReadBody reads a body to its end. It returns ErrTooLarge if it has more than limit bytes: a truncated body would
// be mistaken for a complete one.
func ReadBody(body io.Reader, limit int, memory *Memory) ([]byte, error) {
	holding := memory.Hold()
	defer holding.Release()
	buffer := make([]byte, 0, firstBuffer)
	for {
		if len(buffer) == cap(buffer) {
			// The old and the new buffer are there at once.
			if err := holding.Grow(3 * cap(buffer)); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):min(cap(buffer), limit+1)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case len(buffer) > limit:
			return nil, ErrTooLarge
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}
