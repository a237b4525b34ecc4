package replica

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
)

// applyItem is a snapshot to restore or entries to apply.
type applyItem struct {
	snapshot *replog.Snapshot
	entries  []replog.Entry
	replies  []indexedReply
}

type indexedReply struct {
	index uint64
	reply chan<- proposeAnswer
}

// takenSnapshot is the state machine's state after an index.
type takenSnapshot struct {
	index uint64
	data  []byte
}

// runApply owns the state machine.
func (r *Replica) runApply(ctx context.Context) {
	sinceSnapshot := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-r.apply:
			if err := r.applyItem(item); err != nil {
				r.failed <- err
				return
			}
			sinceSnapshot += uint64(len(item.entries))
		}
		if sinceSnapshot >= r.options.SnapshotEntries && r.takeSnapshot() {
			sinceSnapshot = 0
		}
	}
}

func (r *Replica) applyItem(item applyItem) error {
	if item.snapshot != nil {
		return r.restoreMachine(*item.snapshot)
	}
	replies := item.replies
	for _, e := range item.entries {
		var result []byte
		if e.Data != nil {
			result = r.machine.Apply(e.Index, e.Data)
		}
		r.applied.set(e.Index)
		if len(replies) > 0 && replies[0].index == e.Index {
			replies[0].reply <- proposeAnswer{index: e.Index, result: result}
			replies = replies[1:]
		}
	}
	return nil
}

// takeSnapshot gives the core a snapshot, unless it still has one to take.
func (r *Replica) takeSnapshot() bool {
	if len(r.taken) > 0 {
		return false
	}
	data, err := r.machine.Snapshot()
	if err != nil {
		r.failed <- errors.Wrap(err, "take a snapshot")
		return false
	}
	r.taken <- takenSnapshot{index: r.applied.load(), data: data}
	return true
}

// appliedIndex lets callers wait for entries to be applied.
type appliedIndex struct {
	mu      sync.Mutex
	index   uint64
	changed chan struct{}
}

func newAppliedIndex() *appliedIndex { return &appliedIndex{changed: make(chan struct{})} }

func (a *appliedIndex) set(index uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index = index
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *appliedIndex) load() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.index
}

func (a *appliedIndex) wait(ctx context.Context, index uint64) error {
	for {
		a.mu.Lock()
		reached, changed := a.index >= index, a.changed
		a.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
