package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/startup"
)

// room holds the requests that wait for what this entry does not know yet.
type room struct {
	options startup.Options
	started time.Time

	mu      sync.Mutex
	waiting int
	// look is closed and replaced when those who wait should look again; nil while
	// nobody waits.
	look chan struct{}
}

const (
	// lookInterval is the pause between two looks at what is known.
	lookInterval = 15 * time.Millisecond
	// roomSize bounds the requests that wait.
	roomSize = 512
	// settleHeartbeats is the number of heartbeats after which every server that
	// is there has been heard.
	settleHeartbeats = 2
)

func newRoom(heartbeat time.Duration) *room {
	return &room{options: startup.Options{Settle: settleHeartbeats * heartbeat, Most: roomSize}, started: time.Now()}
}

// await returns true as soon as known does, false when the request is to be
// refused. Nothing that happens behind latest is of use to it.
func (r *room) await(ctx context.Context, latest time.Time, known func() bool) bool {
	until, ok := r.enter(latest)
	if !ok {
		return false
	}
	defer r.leave()
	heldAtStartCount.Add(1)
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		look := r.next()
		if known() {
			return true
		}
		select {
		case <-look:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (r *room) enter(latest time.Time) (until time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok = r.options.Until(r.started, time.Now(), latest, r.waiting)
	if !ok {
		return until, false
	}
	r.waiting++
	if r.look == nil {
		r.look = make(chan struct{})
		go r.tick()
	}
	return until, true
}

func (r *room) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
}

func (r *room) next() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.look
}

// tick lets those who wait look again until nobody does.
func (r *room) tick() {
	for r.turn() {
		time.Sleep(lookInterval)
	}
}

func (r *room) turn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.look)
	if r.waiting == 0 {
		r.look = nil
		return false
	}
	r.look = make(chan struct{})
	return true
}
