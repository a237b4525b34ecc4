// Package intake reads the requests of callers within one bound for the whole process, which coord/intake decides. A
// request that finds no room, or is given up for others, has not run and will not run.
package intake

import (
	"io"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/intake"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

var (
	// ErrTooLarge reports a body that is larger than its reader accepts.
	ErrTooLarge = errors.New("the body is larger than accepted")
	// ErrNoRoom reports that requests that are being read, or wait for their answers, hold too much memory together.
	ErrNoRoom = errors.New("requests hold too much memory together")
)

var (
	heldBytes     = telemetry.Counter("intake_held_bytes")
	refusedCount  = telemetry.Counter("intake_refused")
	givenUpCount  = telemetry.Counter("intake_given_up")
	pressureCount = telemetry.Counter("intake_pressure")
)

// pressureEnd is how long no request must have been refused or given up until the pressure counts as ended.
const pressureEnd = 5 * time.Second

// Budget bounds what the requests of a process hold together. All methods may be called concurrently. A nil budget has no
// bound.
type Budget struct {
	mu    sync.Mutex
	table *intake.Table
	// interrupts ends the reading of each request that can be given up.
	interrupts map[*intake.Request]func()
	// pressure holds from the first request that was refused or given up until none was for pressureEnd.
	pressure *telemetry.Condition
	// turns holds an element for each body that is being taken apart.
	turns chan struct{}
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(total int64, log *zap.Logger) *Budget {
	return &Budget{
		table: intake.New(intake.DefaultLimits(total)), interrupts: make(map[*intake.Request]func()), turns: newTurns(),
		pressure: telemetry.NewCondition(log, "requests hold as much memory as they may", "requests hold less memory than they may again", pressureEnd),
	}
}

// LargestBody returns the size in bytes of the largest body that fits; 0 if there is no bound.
func (b *Budget) LargestBody() int64 {
	if b == nil {
		return 0
	}
	return b.table.Limits().LargestBody()
}

// Holding is the part of a budget that one request holds. Its methods must not be called concurrently.
type Holding struct {
	budget  *Budget
	request *intake.Request
}

// Begin returns an empty holding, which the caller must release. interrupt is called at most once, from another goroutine,
// when the request is given up for others; it must end the read in progress and the later ones.
func (b *Budget) Begin(interrupt func()) *Holding {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Holding{budget: b, request: b.table.Begin(time.Now())}
	b.interrupts[h.request] = interrupt
	return h
}

// Grow raises the holding to a size in bytes. It returns ErrNoRoom if there is no room for it.
func (h *Holding) Grow(size int64) error {
	if h == nil {
		return nil
	}
	interrupts, granted := h.budget.grow(h.request, size)
	for _, interrupt := range interrupts {
		interrupt()
	}
	if !granted {
		return ErrNoRoom
	}
	return nil
}

// grow returns the interrupts of the requests that are given up.
func (b *Budget) grow(r *intake.Request, size int64) (interrupts []func(), granted bool) {
	b.change(func() {
		var victims []*intake.Request
		victims, granted = b.table.Grow(r, size, time.Now())
		for _, victim := range victims {
			interrupts = append(interrupts, b.interrupts[victim])
			delete(b.interrupts, victim)
		}
		if !granted || len(victims) > 0 {
			b.recordPressure(granted, len(victims))
		}
	})
	return interrupts, granted
}

// change makes a change of the table and counts what is held after it.
func (b *Budget) change(make func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.table.Held()
	make()
	heldBytes.Add(b.table.Held() - before)
}

// recordPressure counts a request that was refused, or those given up for it; mu must be held.
func (b *Budget) recordPressure(granted bool, givenUp int) {
	if !granted {
		refusedCount.Add(1)
	}
	givenUpCount.Add(int64(givenUp))
	if b.pressure.Observe(zap.Int64("heldBytes", b.table.Held()), zap.Int64("limitBytes", b.table.Limits().Total)) {
		pressureCount.Add(1)
	}
}

// GiveUpSlowest gives up the request that is read the most slowly, and reports whether there was one that is read too slowly.
func (b *Budget) GiveUpSlowest() bool {
	if b == nil {
		return false
	}
	var interrupt func()
	b.change(func() {
		victim := b.table.GiveUpSlowest(time.Now())
		if victim == nil {
			return
		}
		givenUpCount.Add(1)
		interrupt = b.interrupts[victim]
		delete(b.interrupts, victim)
	})
	if interrupt == nil {
		return false
	}
	interrupt()
	return true
}

// Receive counts bytes that were read.
func (h *Holding) Receive(bytes int) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.table.Receive(h.request, int64(bytes))
}

// Complete records that the request is whole. From then on it is not given up for others.
func (h *Holding) Complete() { h.complete(math.MaxInt) }

// complete records that the request is whole and holds a size in bytes. It returns false if it was given up before.
func (h *Holding) complete(size int) (whole bool) {
	if h == nil {
		return true
	}
	h.budget.change(func() {
		whole = h.budget.table.Complete(h.request, int64(size))
		delete(h.budget.interrupts, h.request)
	})
	return whole
}

// Release gives back what is held.
func (h *Holding) Release() {
	if h == nil {
		return
	}
	h.budget.change(func() {
		h.budget.table.Release(h.request)
		delete(h.budget.interrupts, h.request)
	})
}

// ReadBody reads a body to its end, within the holding. announced is its length in bytes, negative if that is not known. It
// returns ErrTooLarge if the body has more than limit bytes, without reading it where that was announced, ErrNoRoom if it is
// refused or given up, and else the reader's error.
func (h *Holding) ReadBody(body io.Reader, announced, limit int64) ([]byte, error) {
	if announced > limit {
		return nil, ErrTooLarge
	}
	largest := announced
	if announced < 0 {
		largest = limit + 1
	}
	var buffer []byte
	for {
		into := buffer[len(buffer):cap(buffer)]
		switch {
		case int64(len(buffer)) == announced:
			// Only the end is missing; a body that goes on is malformed.
			into = make([]byte, 1)
		case len(into) == 0:
			grown, err := h.growBuffer(buffer, largest)
			if err != nil {
				return nil, err
			}
			buffer = grown
			into = buffer[len(buffer):cap(buffer)]
		}
		n, err := body.Read(into)
		if int64(len(buffer)+n) > limit || announced >= 0 && int64(len(buffer)+n) > announced {
			return nil, ErrTooLarge
		}
		buffer = buffer[:len(buffer)+n]
		h.Receive(n)
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return nil, h.readError(err)
		case int64(len(buffer)) < announced:
			return nil, io.ErrUnexpectedEOF
		case !h.complete(cap(buffer)):
			return nil, ErrNoRoom
		default:
			return buffer, nil
		}
	}
}

// growBuffer returns a larger buffer with what is in the full one, on the way to the largest size that the body may have.
func (h *Holding) growBuffer(full []byte, largest int64) ([]byte, error) {
	next := intake.NextBuffer(int64(len(full)), largest)
	if err := h.Grow(int64(cap(full)) + next); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, next), full...)
	h.shrink(next)
	return grown, nil
}

// shrink lowers the holding to a size in bytes.
func (h *Holding) shrink(size int64) {
	if h == nil {
		return
	}
	h.budget.change(func() { h.budget.table.Shrink(h.request, size) })
}

// readError returns ErrNoRoom if the reading was interrupted since the request was given up, and else the error of the read.
func (h *Holding) readError(err error) error {
	if h.isGivenUp() {
		return ErrNoRoom
	}
	return err
}

// isGivenUp reports whether the room of the request was given to others.
func (h *Holding) isGivenUp() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.request.GivenUp()
}
