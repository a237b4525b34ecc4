package replica

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
)

// applyItem holds a snapshot to restore, or entries to apply and the callers
// waiting for them.
type applyItem struct {
	snapshot *replog.Snapshot
	entries  []replog.Entry
	replies  []indexedReply
}

// indexedReply is the channel for the result of the entry at index.
type indexedReply struct {
	index uint64
	reply chan<- proposeResult
}

// machineSnapshot is the state machine's state after applying the entry at index.
type machineSnapshot struct {
	index uint64
	data  []byte
}

// runApply is the goroutine that owns the state machine. It ends with the first
// failure.
func (r *Replica) runApply(ctx context.Context) {
	sinceSnapshot := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-r.applyQueue:
			if err := r.applyItem(item); err != nil {
				r.errs <- err
				return
			}
			sinceSnapshot += uint64(len(item.entries))
		}
		if sinceSnapshot < r.options.SnapshotEntries {
			continue
		}
		taken, err := r.takeSnapshot()
		if err != nil {
			r.errs <- err
			return
		}
		if taken {
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
			replies[0].reply <- proposeResult{index: e.Index, result: result}
			replies = replies[1:]
		}
	}
	return nil
}

// takeSnapshot passes a snapshot to the core, unless the core has not yet received
// the previous one. It reports whether it did.
func (r *Replica) takeSnapshot() (bool, error) {
	if len(r.snapshots) > 0 {
		return false, nil
	}
	data, err := r.machine.Snapshot()
	if err != nil {
		return false, errors.Wrap(err, "take a snapshot")
	}
	r.snapshots <- machineSnapshot{index: r.applied.load(), data: data}
	return true, nil
}

// appliedIndex is the index of the last applied entry. Callers can wait for it to
// reach a value.
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
