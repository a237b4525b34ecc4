package intake

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// budgetOf returns a budget of a number of bytes.
func budgetOf(total int64) *Budget { return NewBudget(total, zap.NewNop()) }

// Guards against bodies that are cut or altered, and against one that is larger than its limit and passes for whole.
func TestBodiesAreReadWhole(t *testing.T) {
	const limit = 20_000
	budget := budgetOf(1 << 20)
	for _, size := range []int{0, 1, 4095, 4096, 4097, limit, limit + 1} {
		content := []byte(strings.Repeat("0123456789", size/10+1)[:size])
		for _, announced := range []int64{int64(size), -1} {
			for _, reader := range []io.Reader{bytes.NewReader(content), iotest.OneByteReader(bytes.NewReader(content)), iotest.DataErrReader(bytes.NewReader(content))} {
				h := budget.Begin(func() {})
				body, err := h.ReadBody(reader, announced, limit)
				h.Release()
				if size > limit {
					if !errors.Is(err, ErrTooLarge) {
						t.Errorf("size %d, announced %d: got %v", size, announced, err)
					}
					continue
				}
				if err != nil || !bytes.Equal(body, content) {
					t.Errorf("size %d, announced %d: got %d bytes, %v", size, announced, len(body), err)
				}
			}
		}
	}
	if held := budget.table.Held(); held != 0 {
		t.Errorf("%d bytes are held in the end", held)
	}
}

// Guards against a body that is announced to be too large and is read all the same.
func TestAnnouncedTooLargeIsNotRead(t *testing.T) {
	h := budgetOf(1 << 20).Begin(func() {})
	defer h.Release()
	if _, err := h.ReadBody(iotest.ErrReader(errors.New("read")), 11, 10); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v", err)
	}
}

// Guards against an error of the caller's connection that passes for a refusal, and the other way round.
func TestErrorOfReaderIsReturned(t *testing.T) {
	broken := errors.New("broken")
	h := budgetOf(1 << 20).Begin(func() {})
	defer h.Release()
	if _, err := h.ReadBody(io.MultiReader(strings.NewReader("begin"), iotest.ErrReader(broken)), 100, 1000); !errors.Is(err, broken) {
		t.Errorf("got %v", err)
	}
}

// Guards against a body that ends before its announced length and passes for whole.
func TestBodyThatEndsEarlyIsNotWhole(t *testing.T) {
	h := budgetOf(1 << 20).Begin(func() {})
	defer h.Release()
	if _, err := h.ReadBody(strings.NewReader("begin"), 6, 10); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v", err)
	}
}

// stalled is a body that stops within, until it is interrupted.
type stalled struct {
	begin       io.Reader
	interrupted chan struct{}
}

func (s *stalled) Read(p []byte) (int, error) {
	if n, err := s.begin.Read(p); err == nil {
		return n, nil
	}
	<-s.interrupted
	return 0, errors.New("interrupted")
}

// Guards against bodies that stop short of their end and keep others out for good, and against one that was given up and
// is used all the same.
func TestStalledBodyGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := budgetOf(1 << 20)
		const size = 500_000
		s := &stalled{begin: bytes.NewReader(make([]byte, size-1)), interrupted: make(chan struct{})}
		h := budget.Begin(func() { close(s.interrupted) })
		ended := make(chan error)
		go func() {
			defer h.Release()
			_, err := h.ReadBody(s, size, size)
			ended <- err
		}()
		time.Sleep(time.Minute)
		synctest.Wait()
		next := budget.Begin(func() {})
		if body, err := next.ReadBody(bytes.NewReader(make([]byte, size)), size, size); err != nil || len(body) != size {
			t.Errorf("the next body: %d bytes, %v", len(body), err)
		}
		if err := <-ended; !errors.Is(err, ErrNoRoom) {
			t.Errorf("the stalled body ended with %v", err)
		}
		next.Release()
		time.Sleep(2 * pressureEnd)
		synctest.Wait()
		if held := budget.table.Held(); held != 0 {
			t.Errorf("%d bytes held in the end", held)
		}
	})
}

// Guards against whole bodies, whose requests may be running, that are given up for others.
func TestWholeBodyIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := budgetOf(1 << 20)
		const size = 500_000
		first := budget.Begin(func() { t.Error("a whole body was given up") })
		defer first.Release()
		if _, err := first.ReadBody(bytes.NewReader(make([]byte, size)), size, size); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		second := budget.Begin(func() {})
		defer second.Release()
		if _, err := second.ReadBody(bytes.NewReader(make([]byte, size)), size, size); !errors.Is(err, ErrNoRoom) {
			t.Errorf("got %v", err)
		}
		time.Sleep(2 * pressureEnd)
	})
}
