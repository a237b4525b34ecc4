// Package fairqueue orders waiting requests when capacity is short: weighted
// fair among contracts by their shares, with bounded waits and bounded memory.
//
// It is start-time fair queueing (Goyal, Vin, Cheng, 1996): each contract has a
// virtual start time that advances by cost/share with each of its requests, and
// the contract that is furthest behind is served next. So a backlogged contract
// gets its share of whatever is served, whoever else sends how much, and none
// starves. Priority is a head start as in borrowed-virtual-time scheduling
// (Duda, Cheriton, 1999): a contract of higher priority may run ahead of its
// share by a bounded amount, which shortens its waits and leaves the shares as
// they are.
//
// Push, Pop and Remove take O(log n) time.
package fairqueue

import (
	"cmp"
	"slices"
	"time"
)

// ID names a request within one queue.
type ID uint64

// Item is a waiting request.
type Item struct {
	ID ID
	// Contract names the flow that the request belongs to.
	Contract string
	// Share is the contract's weight, above 0.
	Share int
	// Priority gives a head start; higher is served sooner.
	Priority int
	// Cost is what the request is expected to take, such as tokens; above 0.
	Cost float64
	// Deadline is when the contract's longest wait is over.
	Deadline time.Time
}

// Reason says why a request leaves the queue without being served.
type Reason string

const (
	// ReasonExpired means that the longest wait is over.
	ReasonExpired Reason = "expired"
	// ReasonCertain means that the wait would certainly pass the longest wait.
	ReasonCertain Reason = "certain"
	// ReasonFull means that the queue is full and the contract holds more of
	// it, for its share, than any other.
	ReasonFull Reason = "full"
)

// Refusal ends a request's wait.
type Refusal struct {
	Item   Item
	Reason Reason
	// RetryAfter is when the contract's backlog will have been served.
	RetryAfter time.Duration
}

// Options bound a queue.
type Options struct {
	// Limit is the most requests that wait.
	Limit int
	// HeadStart is how much cost one step of priority may run ahead.
	HeadStart float64
	// MaxHeadStart bounds the head start of any priority.
	MaxHeadStart float64
}

// Queue holds waiting requests. It is not safe for concurrent use: one duty
// owns it.
type Queue struct {
	options Options
	flows   map[string]*flow
	entries map[ID]*entry
	// ready holds the flows with requests, the next to be served first; long
	// holds the same flows, the longest for its share first; resting holds
	// flows without requests that are still ahead of their share.
	ready, long, resting indexed[*flow]
	deadlines            indexed[*entry]
	virtual              float64
	sequence             uint64
	// rate is the cost served a second, 0 while it is unknown.
	rate float64
}

// flow is one contract's requests, in order of arrival.
type flow struct {
	contract string
	share    float64
	queue    []*entry
	// live counts the entries of queue that were not removed.
	live    int
	backlog float64
	// start is the virtual start time of the first request, finish that of
	// the next one to arrive.
	start, finish float64
	headStart     float64
	// sequence is that of the first request; it breaks ties.
	sequence                   uint64
	readyAt, longAt, restingAt int
}

type entry struct {
	item     Item
	flow     *flow
	sequence uint64
	removed  bool
	place    int
}

// New returns an empty queue.
func New(options Options) *Queue {
	q := &Queue{options: options, flows: make(map[string]*flow), entries: make(map[ID]*entry)}
	q.ready = indexed[*flow]{less: servedSooner, place: func(f *flow) *int { return &f.readyAt }}
	q.long = indexed[*flow]{less: longer, place: func(f *flow) *int { return &f.longAt }}
	q.resting = indexed[*flow]{less: func(a, b *flow) bool { return a.finish < b.finish }, place: func(f *flow) *int { return &f.restingAt }}
	q.deadlines = indexed[*entry]{less: func(a, b *entry) bool { return a.item.Deadline.Before(b.item.Deadline) }, place: func(e *entry) *int { return &e.place }}
	return q
}

func servedSooner(a, b *flow) bool {
	if c := cmp.Compare(a.start-a.headStart, b.start-b.headStart); c != 0 {
		return c < 0
	}
	return a.sequence < b.sequence
}

func longer(a, b *flow) bool {
	if c := cmp.Compare(a.backlog/a.share, b.backlog/b.share); c != 0 {
		return c > 0
	}
	return a.sequence < b.sequence
}

// Len is the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Observe tells the rate of service in cost a second, by which waits that
// cannot end in time are recognised. 0 means unknown.
func (q *Queue) Observe(rate float64) { q.rate = rate }

// Push adds a request. It returns the refusal of this request, or of another
// contract's newest that made room for it.
func (q *Queue) Push(item Item, now time.Time) (Refusal, bool) {
	f := q.flow(item)
	if wait := q.shortestWait(f); wait > item.Deadline.Sub(now) {
		q.rest(f)
		return Refusal{Item: item, Reason: ReasonCertain, RetryAfter: wait - item.Deadline.Sub(now)}, true
	}
	if len(q.entries) < q.options.Limit {
		q.add(f, item)
		return Refusal{}, false
	}
	longest, ok := q.long.first()
	if !ok || (f.backlog+item.Cost)/f.share >= longest.backlog/longest.share {
		q.rest(f)
		return Refusal{Item: item, Reason: ReasonFull, RetryAfter: q.shortestWait(f)}, true
	}
	last := longest.last()
	q.take(last)
	q.add(f, item)
	return Refusal{Item: last.item, Reason: ReasonFull, RetryAfter: q.shortestWait(longest)}, true
}

// shortestWait is how long a new request of the flow waits at the least: it is
// served after the flow's others, even if all capacity serves this flow.
func (q *Queue) shortestWait(f *flow) time.Duration {
	if q.rate <= 0 {
		return 0
	}
	return time.Duration(f.backlog / q.rate * float64(time.Second))
}

func (q *Queue) flow(item Item) *flow {
	f, ok := q.flows[item.Contract]
	if !ok {
		f = &flow{contract: item.Contract, readyAt: absent, longAt: absent, restingAt: absent, finish: q.virtual}
		q.flows[item.Contract] = f
	}
	f.share = float64(max(1, item.Share))
	f.headStart = min(q.options.MaxHeadStart, q.options.HeadStart*float64(max(0, item.Priority))) / f.share
	return f
}

func (q *Queue) add(f *flow, item Item) {
	q.sequence++
	e := &entry{item: item, flow: f, sequence: q.sequence, place: absent}
	q.entries[item.ID] = e
	q.deadlines.put(e)
	f.queue = append(f.queue, e)
	f.live++
	f.backlog += item.Cost
	if len(f.queue) == 1 {
		q.resting.remove(f)
		f.start = max(q.virtual, f.finish)
		f.sequence = e.sequence
	}
	q.ready.put(f)
	q.long.put(f)
}

// Pop takes the request that is served next.
func (q *Queue) Pop() (Item, bool) {
	f, ok := q.ready.first()
	if !ok {
		return Item{}, false
	}
	e := f.queue[0]
	q.virtual = max(q.virtual, f.start)
	f.finish = f.start + e.item.Cost/f.share
	f.start = f.finish
	q.take(e)
	return e.item, true
}

// Remove takes out a request whose caller left.
func (q *Queue) Remove(id ID) bool {
	e, ok := q.entries[id]
	if ok {
		q.take(e)
	}
	return ok
}

// Expire takes out the requests whose longest wait is over.
func (q *Queue) Expire(now time.Time) []Refusal {
	var refusals []Refusal
	for {
		e, ok := q.deadlines.first()
		if !ok || e.item.Deadline.After(now) {
			return refusals
		}
		q.take(e)
		refusals = append(refusals, Refusal{Item: e.item, Reason: ReasonExpired, RetryAfter: q.shortestWait(e.flow)})
	}
}

// NextDeadline is when Expire has something to do.
func (q *Queue) NextDeadline() (time.Time, bool) {
	e, ok := q.deadlines.first()
	if !ok {
		return time.Time{}, false
	}
	return e.item.Deadline, true
}

// take removes a request from everywhere.
func (q *Queue) take(e *entry) {
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
		q.rest(f)
		return
	}
	f.sequence = f.queue[0].sequence
	q.ready.put(f)
	q.long.put(f)
}

// trim drops removed requests from both ends, so that those that are left begin
// and end with a waiting one.
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

// compactFactor bounds the removed entries that a flow keeps, for each that waits.
const compactFactor = 4

func (f *flow) last() *entry { return f.queue[len(f.queue)-1] }

// rest keeps an empty flow only while it is ahead of its share. If it were
// forgotten at once, a contract that sends one request at a time would always
// begin anew, in front of those that queue.
func (q *Queue) rest(f *flow) {
	if len(f.queue) > 0 {
		return
	}
	q.resting.put(f)
	if len(q.entries) == 0 {
		// Nobody waits, so nobody is behind.
		clear(q.flows)
		q.resting.items = nil
		q.virtual = 0
		return
	}
	for {
		first, ok := q.resting.first()
		if !ok || first.finish > q.virtual {
			return
		}
		q.resting.remove(first)
		delete(q.flows, first.contract)
	}
}
