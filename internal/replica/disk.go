package replica

import (
	"context"

	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wal"
)

var (
	syncCount      = telemetry.Counter("replica_syncs")
	syncedBatches  = telemetry.Counter("replica_batches_synced")
	snapshotsSaved = telemetry.Counter("replica_snapshots_saved")
	stepOuts       = telemetry.Counter("replica_step_outs")
)

// diskItem is a Ready to persist, or a snapshot with which to compact the log.
type diskItem struct {
	ready   replog.Ready
	config  replog.Config
	compact *replog.Snapshot
}

// runDisk persists items in groups, with one sync for each group, then sends the
// messages that had to wait for the sync. It ends with the first failure.
func (r *Replica) runDisk(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-r.diskQueue:
			if err := r.persist(ctx, r.receiveGroup(first)); err != nil {
				r.errs <- err
				return
			}
		}
	}
}

func (r *Replica) receiveGroup(first diskItem) []diskItem {
	items := []diskItem{first}
	for len(items) < r.options.MaxGroup {
		select {
		case next := <-r.diskQueue:
			items = append(items, next)
		default:
			return items
		}
	}
	return items
}

func (r *Replica) persist(ctx context.Context, items []diskItem) error {
	batches := make([]wal.Batch, 0, len(items))
	for _, item := range items {
		if item.ready.NeedsSync() {
			batches = append(batches, wal.Batch{HardState: item.ready.HardState, Snapshot: item.ready.Snapshot, Entries: item.ready.Entries})
		}
	}
	if len(batches) > 0 {
		if err := r.wal.Append(batches...); err != nil {
			return err
		}
		syncCount.Add(1)
		syncedBatches.Add(int64(len(batches)))
	}
	for _, item := range items {
		r.peers.send(item.config, item.ready.AfterSync)
	}
	if last := lastSequence(items); last > 0 {
		select {
		case r.synced <- last:
		case <-ctx.Done():
		}
	}
	return r.compactLog(items)
}

func lastSequence(items []diskItem) uint64 {
	var last uint64
	for _, item := range items {
		last = max(last, item.ready.Sequence)
	}
	return last
}

// compactLog runs after the appends of its group, so that the entries covered by a
// snapshot are on disk before any of them is deleted.
func (r *Replica) compactLog(items []diskItem) error {
	for _, item := range items {
		if item.compact == nil {
			continue
		}
		if err := r.wal.Compact(*item.compact); err != nil {
			return err
		}
		snapshotsSaved.Add(1)
	}
	return nil
}
