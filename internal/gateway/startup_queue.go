package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/startup"
)

// startupQueue holds requests while this entry lacks state that it receives shortly after its
// start.
type startupQueue struct {
	options startup.Options
	started time.Time

	mu      sync.Mutex
	waiting int
	// wake is closed and replaced when the waiting requests should check again; nil while none
	// is waiting.
	wake chan struct{}
}

const (
	// recheckInterval is the interval at which waiting requests check again.
	recheckInterval = 15 * time.Millisecond
	// startupQueueSize limits the number of waiting requests.
	startupQueueSize = 512
	// settleHeartbeats is the number of heartbeats after which every live server has announced
	// itself.
	settleHeartbeats = 2
)

func newStartupQueue(heartbeat time.Duration) *startupQueue {
	return &startupQueue{options: startup.Options{Settle: settleHeartbeats * heartbeat, MaxWaiting: startupQueueSize}, started: time.Now()}
}

// await returns true as soon as ready does, and false when the request must be refused. It waits
// no longer than until latest, after which the request could not be served in time.
func (q *startupQueue) await(ctx context.Context, latest time.Time, ready func() bool) bool {
	until, ok := q.enter(latest)
	if !ok {
		return false
	}
	defer q.leave()
	startupWaitCount.Add(1)
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		wake := q.wakeup()
		if ready() {
			return true
		}
		select {
		case <-wake:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (q *startupQueue) enter(latest time.Time) (until time.Time, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	until, ok = q.options.Until(q.started, time.Now(), latest, q.waiting)
	if !ok {
		return until, false
	}
	q.waiting++
	if q.wake == nil {
		q.wake = make(chan struct{})
		go q.run()
	}
	return until, true
}

func (q *startupQueue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting--
}

func (q *startupQueue) wakeup() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.wake
}

// run wakes the waiting requests at each interval until none is left.
func (q *startupQueue) run() {
	for q.wakeAll() {
		time.Sleep(recheckInterval)
	}
}

func (q *startupQueue) wakeAll() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.wake)
	if q.waiting == 0 {
		q.wake = nil
		return false
	}
	q.wake = make(chan struct{})
	return true
}
