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
	// seatSpare is one request more than the engine batches, for so many of
	// its capacity: the next one is at hand when one ends.
	seatSpare = 8
	// headStart is the cost by which one step of priority may run ahead of
	// its share, in tokens, maxHeadStart the most by any.
	headStart    = 32
	maxHeadStart = 1024
	// defaultMaxWait and defaultCost stand in when an entry sends none.
	defaultMaxWait = 30 * time.Second
	defaultCost    = 256
	// rateInterval is the time over which the rate of service is measured.
	rateInterval = time.Second
	// rateGain is the weight of a new measurement.
	rateGain = 0.3
)

// seats are the places in the engine's batch. When they are all taken, requests
// wait here in weighted fair order instead of in the engine's queue, which
// knows no contracts.
type seats struct {
	events chan seatEvent
	// capacity is how many requests the engine batches, 0 while unknown.
	capacity func() int
	limit    int
	// stopped is closed when the duty has ended and reads no ring.
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

type seatEvent interface{ apply(*seatDuty, time.Time) }

type seatAsked struct {
	item  fairqueue.Item
	reply chan<- fairqueue.Refusal
}

// seatDone ends a wait or frees a seat, whichever the request has.
type seatDone struct{ id fairqueue.ID }

// granted is the reply to a request that has a seat.
var granted = fairqueue.Refusal{}

var errSeatsFull = errors.New("too many requests wait at this server")

// waitError is the end of a wait that the contract bounds.
type waitError struct {
	reason fairqueue.Reason
	// retryAfter is when the contract's backlog will have been served here.
	retryAfter time.Duration
}

func (e *waitError) Error() string { return "the contract's longest wait: " + string(e.reason) }

// take waits for a seat until ctx ends. A nil error means that free must follow.
func (s *seats) take(ctx context.Context, item fairqueue.Item) error {
	reply := make(chan fairqueue.Refusal, 1)
	select {
	case s.events <- seatAsked{item: item, reply: reply}:
	default:
		seatFullCount.Add(1)
		return errSeatsFull
	}
	select {
	case refusal := <-reply:
		return seatError(refusal)
	case <-ctx.Done():
		// A seat may have been given meanwhile: this frees it.
		s.free(item.ID)
		return errors.Wrap(ctx.Err(), "wait for a seat")
	}
}

func seatError(refusal fairqueue.Refusal) error {
	switch refusal.Reason {
	case granted.Reason:
		return nil
	case fairqueue.ReasonFull:
		return errSeatsFull
	default:
		return &waitError{refusal.Reason, refusal.RetryAfter}
	}
}

// free waits when the ring is full: a seat that is not given back is lost. The
// duty waits for nobody, so this ends.
func (s *seats) free(id fairqueue.ID) {
	select {
	case s.events <- seatDone{id}:
	case <-s.stopped:
	}
}

// seatDuty owns the seats; no other goroutine touches them.
type seatDuty struct {
	*seats
	queue   *fairqueue.Queue
	replies map[fairqueue.ID]chan<- fairqueue.Refusal
	taken   map[fairqueue.ID]float64
	// served is the cost of the requests that ended since measured.
	served   float64
	measured time.Time
	rate     float64
}

// run gives seats until ctx ends.
func (s *seats) run(ctx context.Context) {
	defer close(s.stopped)
	d := &seatDuty{
		seats:    s,
		queue:    fairqueue.New(fairqueue.Options{Limit: s.limit, HeadStart: headStart, MaxHeadStart: maxHeadStart}),
		replies:  make(map[fairqueue.ID]chan<- fairqueue.Refusal),
		taken:    make(map[fairqueue.ID]float64),
		measured: time.Now(),
	}
	timer := time.NewTimer(rateInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			e.apply(d, time.Now())
		case <-timer.C:
		}
		now := time.Now()
		d.measure(now)
		d.refuse(d.queue.Expire(now)...)
		d.fill()
		timer.Reset(d.nextWake(now))
	}
}

func (e seatAsked) apply(d *seatDuty, now time.Time) {
	d.replies[e.item.ID] = e.reply
	if d.queue.Len() == 0 && d.hasFree() {
		d.grant(e.item)
		return
	}
	seatWaitedCount.Add(1)
	if refusal, refused := d.queue.Push(e.item, now); refused {
		d.refuse(refusal)
	}
}

func (e seatDone) apply(d *seatDuty, _ time.Time) {
	if cost, ok := d.taken[e.id]; ok {
		delete(d.taken, e.id)
		d.served += cost
		return
	}
	d.queue.Remove(e.id)
	delete(d.replies, e.id)
}

// hasFree is true while the engine can batch another request, or has not said
// how many it can.
func (d *seatDuty) hasFree() bool {
	capacity := d.capacity()
	return capacity <= 0 || len(d.taken) < capacity+max(1, capacity/seatSpare)
}

func (d *seatDuty) fill() {
	for d.hasFree() {
		item, ok := d.queue.Pop()
		if !ok {
			return
		}
		d.grant(item)
	}
}

func (d *seatDuty) grant(item fairqueue.Item) {
	d.taken[item.ID] = item.Cost
	d.answer(item.ID, granted)
}

func (d *seatDuty) refuse(refusals ...fairqueue.Refusal) {
	for _, refusal := range refusals {
		switch refusal.Reason {
		case fairqueue.ReasonExpired:
			seatExpiredCount.Add(1)
		case fairqueue.ReasonCertain:
			seatCertainCount.Add(1)
		default:
			seatFullCount.Add(1)
		}
		d.answer(refusal.Item.ID, refusal)
	}
}

func (d *seatDuty) answer(id fairqueue.ID, verdict fairqueue.Refusal) {
	d.replies[id] <- verdict
	delete(d.replies, id)
}

// measure averages the rate of service. It counts only while requests wait: a
// server with free seats serves slower than it can.
func (d *seatDuty) measure(now time.Time) {
	elapsed := now.Sub(d.measured)
	if elapsed < rateInterval {
		return
	}
	rate := d.served / elapsed.Seconds()
	d.served, d.measured = 0, now
	switch {
	case d.queue.Len() == 0:
		d.rate = 0
	case d.rate == 0:
		d.rate = rate
	default:
		d.rate += rateGain * (rate - d.rate)
	}
	d.queue.SetRate(d.rate)
}

func (d *seatDuty) nextWake(now time.Time) time.Duration {
	wake := rateInterval
	if due, ok := d.queue.NextDeadline(); ok {
		wake = min(wake, max(0, due.Sub(now)))
	}
	return wake
}

// itemOf reads what an entry says about a request's contract.
func itemOf(header http.Header, id fairqueue.ID, now time.Time) fairqueue.Item {
	return fairqueue.Item{
		ID:       id,
		Contract: header.Get(wire.HeaderContract),
		Share:    int(number(header, wire.HeaderShare, 1)),
		Priority: int(number(header, wire.HeaderPriority, 0)),
		Cost:     float64(max(1, number(header, wire.HeaderCost, defaultCost))),
		Deadline: now.Add(time.Duration(number(header, wire.HeaderMaxWait, defaultMaxWait.Milliseconds())) * time.Millisecond),
	}
}

func number(header http.Header, name string, missing int64) int64 {
	value, err := strconv.ParseInt(header.Get(name), 10, 64)
	if err != nil || value < 0 {
		return missing
	}
	return value
}

// unstarted answers a request that did not get as far as the engine. One whose
// longest wait is over, or certain to pass, names that clause.
func unstarted(err error) answer.Answer {
	refusedCount.Add(1)
	header := http.Header{outcome.Header: {outcome.NotRun.String()}}
	if errors.Is(err, errNoSlot) {
		header.Set(wire.HeaderDeclined, "true")
	}
	var over *waitError
	if !errors.As(err, &over) {
		return answer.Text(http.StatusServiceUnavailable, header, err.Error())
	}
	header.Set(wire.HeaderClause, string(contract.ClauseMaxWait))
	header.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(over.retryAfter.Seconds())))))
	return answer.Text(http.StatusTooManyRequests, header, err.Error())
}
