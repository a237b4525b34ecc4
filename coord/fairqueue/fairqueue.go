// Package fairqueue implements weighted fair queueing of requests among contracts,
// by their shares, with bounded waits and bounded memory.
//
// It is start-time fair queueing (Goyal, Vin, Cheng, 1996): each contract has a
// virtual start time that advances by cost/share with each of its requests, and
// the contract with the earliest one is served next. So a backlogged contract gets
// its share of the service regardless of the load of other contracts, and none
// starves. Priority is a head start as in borrowed-virtual-time scheduling (Duda,
// Cheriton, 1999): a contract of higher priority may run ahead of its share by a
// bounded amount, which shortens its waits without changing the shares.
//
// Push, Pop and Remove take O(log n) time.
package fairqueue

import (
	"cmp"
	"slices"
	"time"
)

// ID identifies a request within one queue.
type ID uint64

// Item is a waiting request.
type Item struct {
	ID ID
	// Contract is the ID of the contract that the request belongs to.
	Contract string
	// Share is the contract's weight, above 0.
	Share int
	// Priority gives a head start. Higher priorities are served sooner.
	Priority int
	// Cost is the expected cost of the request, such as its tokens, above 0.
	Cost float64
	// Deadline is when the contract's maximum wait is over.
	Deadline time.Time
}

// Reason is why a request leaves the queue without being served.
type Reason string

const (
	// ReasonExpired means that the maximum wait is over.
	ReasonExpired Reason = "expired"
	// ReasonCertain means that the wait would certainly exceed the maximum wait.
	ReasonCertain Reason = "certain"
	// ReasonFull means that the queue is full and that the contract has the
	// largest backlog relative to its share.
	ReasonFull Reason = "full"
)

// Refusal describes a request that is removed without being served.
type Refusal struct {
	Item   Item
	Reason Reason
	// RetryAfter is the time after which a retry can succeed, estimated from the
	// contract's backlog.
	RetryAfter time.Duration
}

// Options configure a queue.
type Options struct {
	// Limit is the maximum number of waiting requests.
	Limit int
	// HeadStart is the cost by which one step of priority may run ahead.
	HeadStart float64
	// MaxHeadStart bounds the head start of any priority.
	MaxHeadStart float64
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue struct {
	options Options
	flows   map[string]*flow
	entries map[ID]*entry
	// ready holds the flows with requests, in the order of service. long holds
	// the same flows, the largest backlog relative to its share first. idle
	// holds flows without requests that are still ahead of their share.
	ready, long, idle indexedHeap[*flow]
	deadlines         indexedHeap[*entry]
	virtualTime       float64
	sequence          uint64
	// rate is the cost served per second, or 0 if it is unknown.
	rate float64
}

// flow holds the requests of one contract in order of arrival.
type flow struct {
	contract string
	share    float64
	queue    []*entry
	// live is the number of entries in queue that have not been removed.
	live    int
	backlog float64
	// start is the virtual start time of the first request, finish that of the
	// next request to arrive.
	start, finish float64
	headStart     float64
	// sequence is the sequence number of the first request. It breaks ties.
	sequence                         uint64
	readyIndex, longIndex, idleIndex int
}

type entry struct {
	item     Item
	flow     *flow
	sequence uint64
	removed  bool
	index    int
}

// New returns an empty queue.
func New(options Options) *Queue {
	q := &Queue{options: options, flows: make(map[string]*flow), entries: make(map[ID]*entry)}
	q.ready = indexedHeap[*flow]{less: servedSooner, index: func(f *flow) *int { return &f.readyIndex }}
	q.long = indexedHeap[*flow]{less: largerBacklog, index: func(f *flow) *int { return &f.longIndex }}
	q.idle = indexedHeap[*flow]{less: func(a, b *flow) bool { return a.finish < b.finish }, index: func(f *flow) *int { return &f.idleIndex }}
	q.deadlines = indexedHeap[*entry]{less: func(a, b *entry) bool { return a.item.Deadline.Before(b.item.Deadline) }, index: func(e *entry) *int { return &e.index }}
	return q
}

func servedSooner(a, b *flow) bool {
	if c := cmp.Compare(a.start-a.headStart, b.start-b.headStart); c != 0 {
		return c < 0
	}
	return a.sequence < b.sequence
}

func largerBacklog(a, b *flow) bool {
	if c := cmp.Compare(a.backlog/a.share, b.backlog/b.share); c != 0 {
		return c > 0
	}
	return a.sequence < b.sequence
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// SetRate sets the service rate in cost per second, which is used to detect waits that
// cannot end in time. 0 means unknown.
func (q *Queue) SetRate(rate float64) { q.rate = rate }

// Push adds a request. If a request is refused, Push returns its refusal: that of the
// new request, or of another contract's latest request, which was removed to make
// room.
func (q *Queue) Push(item Item, now time.Time) (Refusal, bool) {
	f := q.flow(item)
	if wait := q.minWait(f); wait > item.Deadline.Sub(now) {
		q.retire(f)
		return Refusal{Item: item, Reason: ReasonCertain, RetryAfter: wait - item.Deadline.Sub(now)}, true
	}
	if len(q.entries) < q.options.Limit {
		q.add(f, item)
		return Refusal{}, false
	}
	longest, ok := q.long.first()
	if !ok || (f.backlog+item.Cost)/f.share >= longest.backlog/longest.share {
		q.retire(f)
		return Refusal{Item: item, Reason: ReasonFull, RetryAfter: q.minWait(f)}, true
	}
	last := longest.last()
	q.unlink(last)
	q.add(f, item)
	return Refusal{Item: last.item, Reason: ReasonFull, RetryAfter: q.minWait(longest)}, true
}

// minWait returns the minimum wait of a new request of the flow: it is served after the
// flow's other requests, even if the whole capacity serves this flow.
func (q *Queue) minWait(f *flow) time.Duration {
	if q.rate <= 0 {
		return 0
	}
	return time.Duration(f.backlog / q.rate * float64(time.Second))
}

func (q *Queue) flow(item Item) *flow {
	f, ok := q.flows[item.Contract]
	if !ok {
		f = &flow{contract: item.Contract, readyIndex: absent, longIndex: absent, idleIndex: absent, finish: q.virtualTime}
		q.flows[item.Contract] = f
	}
	f.share = float64(max(1, item.Share))
	f.headStart = min(q.options.MaxHeadStart, q.options.HeadStart*float64(max(0, item.Priority))) / f.share
	return f
}

func (q *Queue) add(f *flow, item Item) {
	q.sequence++
	e := &entry{item: item, flow: f, sequence: q.sequence, index: absent}
	q.entries[item.ID] = e
	q.deadlines.put(e)
	f.queue = append(f.queue, e)
	f.live++
	f.backlog += item.Cost
	if len(f.queue) == 1 {
		q.idle.remove(f)
		f.start = max(q.virtualTime, f.finish)
		f.sequence = e.sequence
	}
	q.ready.put(f)
	q.long.put(f)
}

// Pop removes and returns the request to be served next.
func (q *Queue) Pop() (Item, bool) {
	f, ok := q.ready.first()
	if !ok {
		return Item{}, false
	}
	e := f.queue[0]
	q.virtualTime = max(q.virtualTime, f.start)
	f.finish = f.start + e.item.Cost/f.share
	f.start = f.finish
	q.unlink(e)
	return e.item, true
}

// Remove removes a request, such as one whose caller has left, and reports whether it
// was waiting.
func (q *Queue) Remove(id ID) bool {
	e, ok := q.entries[id]
	if ok {
		q.unlink(e)
	}
	return ok
}

// Expire removes the requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Refusal {
	var refusals []Refusal
	for {
		e, ok := q.deadlines.first()
		if !ok || e.item.Deadline.After(now) {
			return refusals
		}
		q.unlink(e)
		refusals = append(refusals, Refusal{Item: e.item, Reason: ReasonExpired, RetryAfter: q.minWait(e.flow)})
	}
}

// NextDeadline returns the earliest deadline, and false if no request is waiting.
func (q *Queue) NextDeadline() (time.Time, bool) {
	e, ok := q.deadlines.first()
	if !ok {
		return time.Time{}, false
	}
	return e.item.Deadline, true
}

// unlink removes a request from all indexes and from its flow.
func (q *Queue) unlink(e *entry) {
	f := e.flow
	e.removed = true
	delete(q.entries, e.item.ID)
	q.deadlines.remove(e)
	f.backlog -= e.item.Cost
	f.live--
	f.trim()
	if len(f.queue) == 0 {
		q.ready.remove(f)
		q.long.remove(f)
		q.retire(f)
		return
	}
	f.sequence = f.queue[0].sequence
	q.ready.put(f)
	q.long.put(f)
}

// trim drops removed requests from both ends of the queue, so that its first and last
// are waiting, and compacts it if it contains too many removed ones.
func (f *flow) trim() {
	for len(f.queue) > 0 && f.queue[0].removed {
		f.queue[0] = nil
		f.queue = f.queue[1:]
	}
	for len(f.queue) > 0 && f.queue[len(f.queue)-1].removed {
		f.queue[len(f.queue)-1] = nil
		f.queue = f.queue[:len(f.queue)-1]
	}
	if len(f.queue) == 0 {
		f.queue, f.backlog = nil, 0
	}
	if len(f.queue) > compactFactor*(f.live+1) {
		f.queue = slices.DeleteFunc(f.queue, func(e *entry) bool { return e.removed })
	}
}

// compactFactor bounds the number of entries that a flow keeps, relative to the number
// of waiting ones.
const compactFactor = 4

func (f *flow) last() *entry { return f.queue[len(f.queue)-1] }

// retire keeps an empty flow only while it is ahead of its share. If the flow were
// dropped immediately, a contract that sends one request at a time would start over
// each time and be served before the contracts that queue.
func (q *Queue) retire(f *flow) {
	if len(f.queue) > 0 {
		return
	}
	q.idle.put(f)
	if len(q.entries) == 0 {
		// No request is waiting, so no flow is behind its share.
		clear(q.flows)
		q.idle.items = nil
		q.virtualTime = 0
		return
	}
	for {
		first, ok := q.idle.first()
		if !ok || first.finish > q.virtualTime {
			return
		}
		q.idle.remove(first)
		delete(q.flows, first.contract)
	}
}
