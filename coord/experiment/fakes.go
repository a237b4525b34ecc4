package experiment

import (
	"slices"
	"time"
)

// store is a weight store whose bandwidth is shared equally among the loads. Each
// runs at full speed while at most knee loads are in flight.
type store struct {
	clock   *clock
	knee    int
	loads   map[uint64]*transfer
	last    uint64
	updated time.Duration
	version uint64
	started int
}

type transfer struct {
	remaining time.Duration
	done      func()
}

func newStore(c *clock) *store {
	return &store{clock: c, knee: storeKnee, loads: make(map[uint64]*transfer)}
}

// begin starts a load and returns a function that cancels it.
func (s *store) begin(done func()) func() {
	s.advance()
	s.last++
	s.started++
	id := s.last
	s.loads[id] = &transfer{remaining: storeLoadTime, done: done}
	s.schedule()
	return func() {
		s.advance()
		delete(s.loads, id)
		s.schedule()
	}
}

func (s *store) setKnee(knee int) {
	s.advance()
	s.knee = knee
	s.schedule()
}

func (s *store) speed() float64 {
	return min(1, float64(s.knee)/float64(max(len(s.loads), 1)))
}

func (s *store) advance() {
	progress := time.Duration(float64(s.clock.at-s.updated) * s.speed())
	s.updated = s.clock.at
	for _, t := range s.loads {
		t.remaining -= progress
	}
}

// schedule schedules the completion of the load with the least remaining time.
func (s *store) schedule() {
	s.version++
	version := s.version
	id, found := s.next()
	if !found {
		return
	}
	left := max(s.loads[id].remaining, 0)
	s.clock.after(time.Duration(float64(left)/s.speed()), func() {
		if version != s.version {
			return
		}
		s.advance()
		done := s.loads[id].done
		delete(s.loads, id)
		s.schedule()
		done()
	})
}

func (s *store) next() (uint64, bool) {
	best, found := uint64(0), false
	for id, t := range s.loads {
		if !found || t.remaining < s.loads[best].remaining || t.remaining == s.loads[best].remaining && id < best {
			best, found = id, true
		}
	}
	return best, found
}

// batch is an engine or a plain service. Up to capacity requests run at once,
// others wait in a FIFO queue.
type batch struct {
	clock    *clock
	capacity int
	running  int
	queue    []*job
	jobs     []*job
	// busy and filled are integrals over time, in place-seconds: busy of the
	// capacity while any request ran, filled of the places that were used.
	busy, filled float64
	updated      time.Duration
	lastActive   time.Duration
}

type job struct {
	length    time.Duration
	cancelled bool
	started   func()
	done      func()
	// aborted is called if a crash ends the job.
	aborted func()
}

func newBatch(c *clock, capacity int) *batch {
	return &batch{clock: c, capacity: capacity}
}

func (b *batch) account() {
	if b.clock.at > warmUp && b.running > 0 {
		span := (b.clock.at - max(b.updated, warmUp)).Seconds()
		b.busy += span * float64(b.capacity)
		b.filled += span * float64(b.running)
	}
	b.updated = b.clock.at
}

func (b *batch) add(j *job) {
	if b.running >= b.capacity {
		b.queue = append(b.queue, j)
		return
	}
	b.begin(j)
}

func (b *batch) begin(j *job) {
	b.account()
	b.running++
	b.lastActive = b.clock.at
	b.jobs = append(b.jobs, j)
	j.started()
	b.clock.after(j.length, func() { b.end(j) })
}

func (b *batch) end(j *job) {
	if j.cancelled {
		return
	}
	b.account()
	b.running--
	b.lastActive = b.clock.at
	b.jobs = slices.DeleteFunc(b.jobs, func(other *job) bool { return other == j })
	for len(b.queue) > 0 && b.running < b.capacity {
		next := b.queue[0]
		b.queue = b.queue[1:]
		b.begin(next)
	}
	j.done()
}

// crash aborts all running and queued requests.
func (b *batch) crash() {
	b.account()
	lost := slices.Concat(b.jobs, b.queue)
	b.jobs, b.queue, b.running = nil, nil, 0
	for _, j := range lost {
		j.cancelled = true
		j.aborted()
	}
}
