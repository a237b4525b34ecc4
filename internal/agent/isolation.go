package agent

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

var errIsolated = errors.New("a request runs alone here")

// isolation keeps the neighbours away from a request that may crash the engine.
// Neighbours are refused, not queued, so that their entries go elsewhere.
type isolation struct {
	mu     sync.Mutex
	shared int
	alone  bool
	// empty is closed when the last neighbour of a waiting request has left.
	empty chan struct{}
}

// enter admits a request and returns what ends its stay. One that runs alone
// waits until its neighbours have left or ctx ends.
func (i *isolation) enter(ctx context.Context, alone bool) (func(), error) {
	if !alone {
		return i.enterShared()
	}
	empty, err := i.claim()
	if err != nil {
		return nil, err
	}
	select {
	case <-empty:
		return i.leaveAlone, nil
	case <-ctx.Done():
		i.leaveAlone()
		return nil, errors.Wrap(ctx.Err(), "wait for the neighbours to leave")
	}
}

func (i *isolation) enterShared() (func(), error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.alone {
		return nil, errIsolated
	}
	i.shared++
	return i.leaveShared, nil
}

func (i *isolation) leaveShared() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.shared--
	if i.shared == 0 && i.alone {
		close(i.empty)
	}
}

func (i *isolation) claim() (<-chan struct{}, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.alone {
		return nil, errIsolated
	}
	i.alone, i.empty = true, make(chan struct{})
	if i.shared == 0 {
		close(i.empty)
	}
	return i.empty, nil
}

func (i *isolation) leaveAlone() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.alone = false
}
