package agent

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/fairqueue"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	seatWaitedCount  = telemetry.Counter("agent_seat_waits")
	seatExpiredCount = telemetry.Counter("agent_seat_waits_expired")
	seatCertainCount = telemetry.Counter("agent_seat_waits_certain")
	seatFullCount    = telemetry.Counter("agent_seat_queue_full")
)

const (
	// spareSeatDivisor sets the number of seats beyond the engine's capacity:
	// one for each spareSeatDivisor requests of capacity, but at least one.
	// With a spare request at the engine, the next one is available as soon as
	// one ends.
	spareSeatDivisor = 8
	// headStart is the cost, in tokens, by which each priority level may exceed
	// its share. maxHeadStart is the maximum for any priority.
	headStart    = 32
	maxHeadStart = 1024
	// defaultMaxWait and defaultCost are used if an entry sends no values.
	defaultMaxWait = 30 * time.Second
	defaultCost    = 256
	// rateInterval is the interval over which the service rate is measured.
	rateInterval = time.Second
	// rateGain is the weight of a new measurement in the moving average.
	rateGain = 0.3
)

// seats manages the places in the engine's batch. If all are taken, requests
// wait here in weighted fair order rather than in the engine's queue, which is
// not aware of contracts.
type seats struct {
	events chan seatEvent
	// capacity returns the number of requests that the engine batches, or 0
	// while it is unknown.
	capacity func() int
	limit    int
	// stopped is closed when the seat loop has ended and no longer reads events.
	stopped chan struct{}
}

func newSeats(limit int, capacity func() int) *seats {
	return &seats{
		events:   make(chan seatEvent, limit+eventSlack),
		capacity: capacity,
		limit:    limit,
		stopped:  make(chan struct{}),
	}
}

type seatEvent interface{ apply(*seatLoop, time.Time) }

type seatRequested struct {
	item  fairqueue.Item
	reply chan<- fairqueue.Refusal
}

// seatReleased removes a request from the queue or releases its seat, depending
// on which of them the request has.
type seatReleased struct{ id fairqueue.ID }

// seatGranted is the reply to a request that got a seat.
var seatGranted = fairqueue.Refusal{}

var errSeatsFull = errors.New("too many requests wait at this server")

// waitError means that the contract's maximum wait ended a request's wait.
type waitError struct {
	reason fairqueue.Reason
	// retryAfter is the time until the contract's backlog is expected to be
	// served here.
	retryAfter time.Duration
}

func (e *waitError) Error() string { return "the contract's longest wait: " + string(e.reason) }

// acquire waits for a seat until ctx ends. If it returns nil, the caller must
// call release.
func (s *seats) acquire(ctx context.Context, item fairqueue.Item) error {
	reply := make(chan fairqueue.Refusal, 1)
	select {
	case s.events <- seatRequested{item: item, reply: reply}:
	default:
		seatFullCount.Add(1)
		return errSeatsFull
	}
	select {
	case refusal := <-reply:
		return seatError(refusal)
	case <-ctx.Done():
		// A seat may have been granted in the meantime. It is released here.
		s.release(item.ID)
		return errors.Wrap(ctx.Err(), "wait for a seat")
	}
}

func seatError(refusal fairqueue.Refusal) error {
	switch refusal.Reason {
	case seatGranted.Reason:
		return nil
	case fairqueue.ReasonFull:
		return errSeatsFull
	default:
		return &waitError{refusal.Reason, refusal.RetryAfter}
	}
}

// release blocks while the event queue is full, because a seat that is not
// released is lost. The seat loop never blocks, so the wait ends.
func (s *seats) release(id fairqueue.ID) {
	select {
	case s.events <- seatReleased{id}:
	case <-s.stopped:
	}
}

// seatLoop is the state of the goroutine that owns the seats. No other goroutine
// accesses them.
type seatLoop struct {
	*seats
	queue   *fairqueue.Queue
	replies map[fairqueue.ID]chan<- fairqueue.Refusal
	inUse   map[fairqueue.ID]float64
	// servedCost is the cost of the requests that have ended since measuredAt.
	servedCost float64
	measuredAt time.Time
	rate       float64
}

// run grants seats until ctx ends.
func (s *seats) run(ctx context.Context) {
	defer close(s.stopped)
	loop := &seatLoop{
		seats:      s,
		queue:      fairqueue.New(fairqueue.Options{Limit: s.limit, HeadStart: headStart, MaxHeadStart: maxHeadStart}),
		replies:    make(map[fairqueue.ID]chan<- fairqueue.Refusal),
		inUse:      make(map[fairqueue.ID]float64),
		measuredAt: time.Now(),
	}
	timer := time.NewTimer(rateInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			e.apply(loop, time.Now())
		case <-timer.C:
		}
		now := time.Now()
		loop.measure(now)
		loop.refuse(loop.queue.Expire(now)...)
		loop.fill()
		timer.Reset(loop.nextWake(now))
	}
}

func (e seatRequested) apply(l *seatLoop, now time.Time) {
	l.replies[e.item.ID] = e.reply
	if l.queue.Len() == 0 && l.hasFree() {
		l.grant(e.item)
		return
	}
	seatWaitedCount.Add(1)
	if refusal, refused := l.queue.Push(e.item, now); refused {
		l.refuse(refusal)
	}
}

func (e seatReleased) apply(l *seatLoop, _ time.Time) {
	if cost, ok := l.inUse[e.id]; ok {
		delete(l.inUse, e.id)
		l.servedCost += cost
		return
	}
	l.queue.Remove(e.id)
	delete(l.replies, e.id)
}

// hasFree reports whether the engine can batch another request. It returns true
// while the engine's capacity is unknown.
func (l *seatLoop) hasFree() bool {
	capacity := l.capacity()
	return capacity <= 0 || len(l.inUse) < capacity+max(1, capacity/spareSeatDivisor)
}

func (l *seatLoop) fill() {
	for l.hasFree() {
		item, ok := l.queue.Pop()
		if !ok {
			return
		}
		l.grant(item)
	}
}

func (l *seatLoop) grant(item fairqueue.Item) {
	l.inUse[item.ID] = item.Cost
	l.answer(item.ID, seatGranted)
}

func (l *seatLoop) refuse(refusals ...fairqueue.Refusal) {
	for _, refusal := range refusals {
		switch refusal.Reason {
		case fairqueue.ReasonExpired:
			seatExpiredCount.Add(1)
		case fairqueue.ReasonCertain:
			seatCertainCount.Add(1)
		default:
			seatFullCount.Add(1)
		}
		l.answer(refusal.Item.ID, refusal)
	}
}

func (l *seatLoop) answer(id fairqueue.ID, refusal fairqueue.Refusal) {
	l.replies[id] <- refusal
	delete(l.replies, id)
}

// measure updates the moving average of the service rate. Only intervals with
// waiting requests count, because a server with free seats does not run at its
// maximum rate.
func (l *seatLoop) measure(now time.Time) {
	elapsed := now.Sub(l.measuredAt)
	if elapsed < rateInterval {
		return
	}
	rate := l.servedCost / elapsed.Seconds()
	l.servedCost, l.measuredAt = 0, now
	switch {
	case l.queue.Len() == 0:
		l.rate = 0
	case l.rate == 0:
		l.rate = rate
	default:
		l.rate += rateGain * (rate - l.rate)
	}
	l.queue.SetRate(l.rate)
}

func (l *seatLoop) nextWake(now time.Time) time.Duration {
	wake := rateInterval
	if deadline, ok := l.queue.NextDeadline(); ok {
		wake = min(wake, max(0, deadline.Sub(now)))
	}
	return wake
}

// queueItem returns the queue item of a request from the contract headers that
// the entry sent.
func queueItem(header http.Header, id fairqueue.ID, now time.Time) fairqueue.Item {
	return fairqueue.Item{
		ID:       id,
		Contract: header.Get(wire.HeaderContract),
		Share:    int(headerInt(header, wire.HeaderShare, 1)),
		Priority: int(headerInt(header, wire.HeaderPriority, 0)),
		Cost:     float64(max(1, headerInt(header, wire.HeaderCost, defaultCost))),
		Deadline: now.Add(time.Duration(headerInt(header, wire.HeaderMaxWait, defaultMaxWait.Milliseconds())) * time.Millisecond),
	}
}

func headerInt(header http.Header, name string, fallback int64) int64 {
	value, err := strconv.ParseInt(header.Get(name), 10, 64)
	if err != nil || value < 0 {
		return fallback
	}
	return value
}

// admissionRefusal returns the answer to a request that was refused before it
// reached the engine. If the maximum wait has passed, or certainly would pass,
// the answer names that clause.
func admissionRefusal(err error) answer.Answer {
	refusedCount.Add(1)
	header := http.Header{outcome.Header: {outcome.NotRun.String()}}
	if errors.Is(err, errNoSlot) {
		header.Set(wire.HeaderDeclined, "true")
	}
	var waitErr *waitError
	if !errors.As(err, &waitErr) {
		return answer.Text(http.StatusServiceUnavailable, header, err.Error())
	}
	header.Set(wire.HeaderClause, string(contract.ClauseMaxWait))
	header.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(waitErr.retryAfter.Seconds())))))
	return answer.Text(http.StatusTooManyRequests, header, err.Error())
}
