package agent

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

var errIsolated = errors.New("a request runs alone here")

// isolation ensures that a request that may crash the engine runs exclusively.
// Other requests are refused rather than queued, so that their entries send
// them to another server.
type isolation struct {
	mu        sync.Mutex
	shared    int
	exclusive bool
	// drained is closed when no shared request is left. An exclusive request
	// waits for it.
	drained chan struct{}
}

// enter admits a request and returns the function that ends its admission. An
// exclusive request waits until all shared requests have left or ctx ends.
func (i *isolation) enter(ctx context.Context, exclusive bool) (func(), error) {
	if !exclusive {
		return i.enterShared()
	}
	drained, err := i.enterExclusive()
	if err != nil {
		return nil, err
	}
	select {
	case <-drained:
		return i.leaveExclusive, nil
	case <-ctx.Done():
		i.leaveExclusive()
		return nil, errors.Wrap(ctx.Err(), "wait for the neighbours to leave")
	}
}

func (i *isolation) enterShared() (func(), error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.exclusive {
		return nil, errIsolated
	}
	i.shared++
	return i.leaveShared, nil
}

func (i *isolation) leaveShared() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.shared--
	if i.shared == 0 && i.exclusive {
		close(i.drained)
	}
}

func (i *isolation) enterExclusive() (<-chan struct{}, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.exclusive {
		return nil, errIsolated
	}
	i.exclusive, i.drained = true, make(chan struct{})
	if i.shared == 0 {
		close(i.drained)
	}
	return i.drained, nil
}

func (i *isolation) leaveExclusive() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.exclusive = false
}
