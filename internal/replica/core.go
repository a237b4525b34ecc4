package replica

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

var (
	droppedMessages = telemetry.Counter("replica_messages_dropped")
	leaderChanges   = telemetry.Counter("replica_leader_changes")
	committedCount  = telemetry.Counter("replica_entries_committed")
	leaderKnown     = telemetry.ProcessStart().Step("leaderKnown", telemetry.Counter("start_leader_known_millis"))
)

// request is a caller's request to the core. Exactly one of serve and refuse is
// called.
type request interface {
	serve(*core)
	refuse(error)
}

// waiter is a caller waiting for its entry to be applied.
type waiter struct {
	term  uint64
	reply chan<- proposeResult
}

// core is the state of the goroutine that owns the node.
type core struct {
	*Replica
	// toDisk and toApply hold the items that wait for room in the channels.
	toDisk  []diskItem
	toApply []applyItem
	// unsynced holds the items that wait until the commit of their entries is
	// recorded on disk.
	unsynced []unsyncedApply
	// waiters holds the waiting callers by index. A leader that lost its leadership
	// and regained it can have several at one index, with different terms.
	waiters  map[uint64][]waiter
	reads    map[uint64]chan<- readResult
	lastRead uint64
	leader   replog.ID
	role     replog.Role
}

// unsyncedApply is passed to the state machine once the Ready with its sequence is
// on disk.
type unsyncedApply struct {
	sequence uint64
	item     applyItem
}

func newCore(r *Replica) *core {
	return &core{Replica: r, waiters: make(map[uint64][]waiter), reads: make(map[uint64]chan<- readResult)}
}

func (c *core) run(ctx context.Context) {
	ticker := time.NewTicker(c.options.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.failAll(errStopped)
			return
		case err := <-c.errs:
			c.stepOut(ctx, err)
			return
		case <-ticker.C:
			c.node.Tick()
			c.publish()
		case messages := <-c.inbox:
			c.step(messages)
		case r := <-c.requests:
			r.serve(c)
		case sequence := <-c.synced:
			c.handleSynced(sequence)
		case s := <-c.snapshots:
			c.compact(s)
		case sendChan(c.diskQueue, c.toDisk) <- head(c.toDisk):
			c.toDisk = c.toDisk[1:]
		case sendChan(c.applyQueue, c.toApply) <- head(c.toApply):
			c.toApply = c.toApply[1:]
		}
		c.receivePending()
		c.processReady()
	}
}

// receivePending handles everything else that has already arrived, so that it
// shares messages and a sync.
func (c *core) receivePending() {
	for range c.options.MaxGroup - 1 {
		select {
		case messages := <-c.inbox:
			c.step(messages)
		case r := <-c.requests:
			r.serve(c)
		case sequence := <-c.synced:
			c.handleSynced(sequence)
		default:
			return
		}
	}
}

// handleSynced releases the items that waited for the sync of the given sequence.
func (c *core) handleSynced(sequence uint64) {
	c.node.Synced(sequence)
	for len(c.unsynced) > 0 && c.unsynced[0].sequence <= sequence {
		c.toApply = append(c.toApply, c.unsynced[0].item)
		c.unsynced = c.unsynced[1:]
	}
}

// enqueueApply passes a Ready's snapshot or entries to the state machine,
// immediately or, with PersistCommit, after the Ready is synced.
func (c *core) enqueueApply(ready replog.Ready, item applyItem) {
	if c.options.PersistCommit && ready.NeedsSync() {
		c.unsynced = append(c.unsynced, unsyncedApply{sequence: ready.Sequence, item: item})
		return
	}
	c.toApply = append(c.toApply, item)
}

// sendChan returns ch, or nil if nothing is pending. A select ignores a send on a
// nil channel.
func sendChan[T any](ch chan<- T, pending []T) chan<- T {
	if len(pending) == 0 {
		return nil
	}
	return ch
}

// head returns the first pending item. If nothing is pending it returns the zero
// value, which is never sent because sendChan then returns nil.
func head[T any](pending []T) T {
	if len(pending) == 0 {
		var zero T
		return zero
	}
	return pending[0]
}

// backlogged reports whether the disk or the state machine is far behind. Appends
// and proposals are then rejected; heartbeats and votes are not.
func (c *core) backlogged() bool {
	return len(c.toDisk) >= maxBacklog || len(c.toApply)+len(c.unsynced) >= maxBacklog
}

func (c *core) step(messages []replog.Message) {
	for _, m := range messages {
		bulk := m.Kind == replog.KindAppend || m.Kind == replog.KindSnapshot
		if bulk && c.backlogged() {
			droppedMessages.Add(1)
			continue
		}
		c.node.Step(m)
	}
}

// processReady distributes the node's pending work to the peers, the disk and the
// state machine.
func (c *core) processReady() {
	for ready, ok := c.node.Ready(); ok; ready, ok = c.node.Ready() {
		if ready.NeedsSync() {
			c.publishEnd()
		}
		config := c.node.Config()
		c.peers.send(config, ready.Messages)
		if ready.NeedsSync() || len(ready.AfterSync) > 0 {
			c.toDisk = append(c.toDisk, diskItem{ready: ready, config: config})
		}
		if ready.Snapshot != nil {
			c.enqueueApply(ready, applyItem{snapshot: ready.Snapshot})
			c.failCovered(ready.Snapshot.Index)
		}
		if slices.ContainsFunc(ready.Committed, func(e replog.Entry) bool { return e.Config != nil }) {
			c.publish()
		}
		c.enqueueCommitted(ready)
		c.answerReads(ready)
	}
	c.publishLeader()
}

// enqueueCommitted passes a Ready's committed entries to the state machine,
// together with their waiters.
func (c *core) enqueueCommitted(ready replog.Ready) {
	entries := ready.Committed
	if len(entries) == 0 {
		return
	}
	committedCount.Add(int64(len(entries)))
	item := applyItem{entries: entries}
	for _, e := range entries {
		for _, w := range c.waiters[e.Index] {
			if w.term == e.Term {
				item.replies = append(item.replies, indexedReply{index: e.Index, reply: w.reply})
			} else {
				w.reply <- proposeResult{err: notCommitted(errors.New("another leader's entry took the place"))}
			}
		}
		delete(c.waiters, e.Index)
	}
	c.refuseSuperseded(entries[len(entries)-1])
	c.enqueueApply(ready, item)
}

// refuseSuperseded refuses the waiters behind a committed entry of a later term. Terms do not decrease along a log,
// so their entries can never be committed, and no entry of the new leader may reach their indexes for a long time.
func (c *core) refuseSuperseded(committed replog.Entry) {
	for index, waiters := range c.waiters {
		if index <= committed.Index {
			continue
		}
		c.waiters[index] = slices.DeleteFunc(waiters, func(w waiter) bool {
			if w.term >= committed.Term {
				return false
			}
			w.reply <- proposeResult{err: notCommitted(errors.New("a later leader's log ends before the entry"))}
			return true
		})
		if len(c.waiters[index]) == 0 {
			delete(c.waiters, index)
		}
	}
}

// failCovered fails the waiters at the indexes that a snapshot covers: it is not
// known whether the snapshot contains their entries or those of another leader.
func (c *core) failCovered(index uint64) {
	for entryIndex := range c.waiters {
		if entryIndex <= index {
			c.failWaiters(entryIndex, errors.New("a snapshot took the place of the entry"))
		}
	}
}

func (c *core) answerReads(ready replog.Ready) {
	for _, read := range ready.Reads {
		if reply := c.reads[read.ID]; reply != nil {
			reply <- readResult{index: read.Index}
			delete(c.reads, read.ID)
		}
	}
	for _, id := range ready.FailedReads {
		if reply := c.reads[id]; reply != nil {
			reply <- readResult{err: replog.ErrNotLeader}
			delete(c.reads, id)
		}
	}
}

// publishLeader publishes the status if the leader or the instance's own role has
// changed, and logs a new leader.
func (c *core) publishLeader() {
	role, leader := c.node.Role(), c.node.Leader()
	if role == c.role && leader == c.leader {
		return
	}
	c.publish()
	if leader != c.leader && leader != "" {
		leaderChanges.Add(1)
		leaderKnown.Reach()
		c.log.Info("leader", zap.String("leader", string(leader)), zap.Uint64("term", c.Status().Term))
	}
	c.role, c.leader = role, leader
}

// addWaiter registers a caller that waits for the entry at an index and term.
func (c *core) addWaiter(index, term uint64, reply chan<- proposeResult) {
	c.waiters[index] = append(c.waiters[index], waiter{term: term, reply: reply})
}

func (c *core) compact(s machineSnapshot) {
	compacted := c.node.Compact(s.index, s.data)
	c.toDisk = append(c.toDisk, diskItem{compact: &compacted})
}

// failWaiters answers the callers at an index with ErrUnknown and a cause.
func (c *core) failWaiters(index uint64, cause error) {
	for _, w := range c.waiters[index] {
		w.reply <- proposeResult{err: unknownOutcome(cause)}
	}
	delete(c.waiters, index)
}

// failAll fails all waiting proposals and reads.
func (c *core) failAll(cause error) {
	for index := range c.waiters {
		c.failWaiters(index, cause)
	}
	for id, reply := range c.reads {
		delete(c.reads, id)
		reply <- readResult{err: cause}
	}
}

// stepOut stops voting, acknowledging and leading after the disk or the state
// machine has failed: a vote or acknowledgement given from then on might not
// hold after a restart. The other members detect the failure by the missing
// heartbeats.
func (c *core) stepOut(ctx context.Context, cause error) {
	reason := cause.Error()
	c.failure.Store(&reason)
	c.log.Error("stepped out of the replicated log; restart the instance after the repair", zap.String("cause", reason))
	stepOuts.Add(1)
	status := c.Status()
	status.Role, status.Leader, status.LeaseTicks, status.Members = replog.Follower, "", 0, nil
	status.Survivable = 0
	c.status.Store(&status)
	survivableGauge.Set(-1)
	c.failAll(errSteppedOut)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.inbox:
		case <-c.snapshots:
		case <-c.synced:
		case r := <-c.requests:
			r.refuse(errSteppedOut)
		}
	}
}
