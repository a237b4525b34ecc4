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
)

// request is something that a caller wants of the core. Exactly one of serve
// and refuse is called.
type request interface {
	serve(*core)
	refuse(error)
}

// waiter is a caller that waits for its entry to be applied.
type waiter struct {
	term  uint64
	reply chan<- proposeAnswer
}

// core is the duty that owns the node.
type core struct {
	*Replica
	// toDisk and toApply wait for room in the rings.
	toDisk  []diskItem
	toApply []applyItem
	// unsynced waits until it is on disk that its entries are committed.
	unsynced []unsyncedApply
	// waiters are the callers by index; one that lost its leadership and won it
	// back may have several at an index, of different terms.
	waiters map[uint64][]waiter
	reads   map[uint64]chan<- readAnswer
	read    uint64
	leader  replog.ID
	role    replog.Role
}

// unsyncedApply is handed out once the Ready with its sequence is on disk.
type unsyncedApply struct {
	sequence uint64
	item     applyItem
}

func newCore(r *Replica) *core {
	return &core{Replica: r, waiters: make(map[uint64][]waiter), reads: make(map[uint64]chan<- readAnswer)}
}

func (c *core) run(ctx context.Context) {
	ticker := time.NewTicker(c.options.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.end(errStopped)
			return
		case err := <-c.failed:
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
			c.takeSynced(sequence)
		case s := <-c.taken:
			c.compact(s)
		case ringFor(c.disk, c.toDisk) <- first(c.toDisk):
			c.toDisk = c.toDisk[1:]
		case ringFor(c.apply, c.toApply) <- first(c.toApply):
			c.toApply = c.toApply[1:]
		}
		c.drain()
		c.process()
	}
}

// drain takes what else has arrived, so that it shares messages and a sync.
func (c *core) drain() {
	for range c.options.MaxGroup - 1 {
		select {
		case messages := <-c.inbox:
			c.step(messages)
		case r := <-c.requests:
			r.serve(c)
		case sequence := <-c.synced:
			c.takeSynced(sequence)
		default:
			return
		}
	}
}

// takeSynced lets go what had to be on disk first.
func (c *core) takeSynced(sequence uint64) {
	c.node.Synced(sequence)
	for len(c.unsynced) > 0 && c.unsynced[0].sequence <= sequence {
		c.toApply = append(c.toApply, c.unsynced[0].item)
		c.unsynced = c.unsynced[1:]
	}
}

// handOut gives a Ready's snapshot or entries to the state machine, at once or
// with the Ready's sync.
func (c *core) handOut(ready replog.Ready, item applyItem) {
	if c.options.PersistCommit && ready.NeedsSync() {
		c.unsynced = append(c.unsynced, unsyncedApply{sequence: ready.Sequence, item: item})
		return
	}
	c.toApply = append(c.toApply, item)
}

// ringFor is nil, which a select passes over, when nothing waits.
func ringFor[T any](ring chan<- T, waiting []T) chan<- T {
	if len(waiting) == 0 {
		return nil
	}
	return ring
}

// first is the zero value, which ringFor keeps from being sent, when nothing
// waits.
func first[T any](waiting []T) T {
	if len(waiting) == 0 {
		var zero T
		return zero
	}
	return waiting[0]
}

// backlogged is true when the disk or the state machine is far behind. Appends
// and proposals are then pushed back; heartbeats and votes are not.
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

// process hands out the node's work.
func (c *core) process() {
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
			c.handOut(ready, applyItem{snapshot: ready.Snapshot})
			c.endCovered(ready.Snapshot.Index)
		}
		if slices.ContainsFunc(ready.Committed, func(e replog.Entry) bool { return e.Config != nil }) {
			c.publish()
		}
		c.handOutCommitted(ready)
		c.answerReads(ready)
	}
	c.noteLeader()
}

// handOutCommitted gives entries to the state machine, with their waiters.
func (c *core) handOutCommitted(ready replog.Ready) {
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
				w.reply <- proposeAnswer{err: notCommitted(errors.New("another leader's entry took the place"))}
			}
		}
		delete(c.waiters, e.Index)
	}
	c.handOut(ready, item)
}

// endCovered answers the waiters whose entries a snapshot covers: whether they
// are in it is not known here.
func (c *core) endCovered(index uint64) {
	for at := range c.waiters {
		if at <= index {
			c.endWaiters(at, errors.New("a snapshot took the place of the entry"))
		}
	}
}

func (c *core) answerReads(ready replog.Ready) {
	for _, read := range ready.Reads {
		if reply := c.reads[read.ID]; reply != nil {
			reply <- readAnswer{index: read.Index}
			delete(c.reads, read.ID)
		}
	}
	for _, id := range ready.FailedReads {
		if reply := c.reads[id]; reply != nil {
			reply <- readAnswer{err: replog.ErrNotLeader}
			delete(c.reads, id)
		}
	}
}

// noteLeader publishes and logs changes of the leader and of the own role.
func (c *core) noteLeader() {
	role, leader := c.node.Role(), c.node.Leader()
	if role == c.role && leader == c.leader {
		return
	}
	c.publish()
	if leader != c.leader && leader != "" {
		leaderChanges.Add(1)
		c.log.Info("leader", zap.String("leader", string(leader)), zap.Uint64("term", c.Status().Term))
	}
	c.role, c.leader = role, leader
}

// await lets a caller wait for the entry at an index and term.
func (c *core) await(index, term uint64, reply chan<- proposeAnswer) {
	c.waiters[index] = append(c.waiters[index], waiter{term: term, reply: reply})
}

func (c *core) compact(s takenSnapshot) {
	snapshot := c.node.Compact(s.index, s.data)
	c.toDisk = append(c.toDisk, diskItem{compact: &snapshot})
}

// endWaiters tells the callers at an index that their fate is unknown.
func (c *core) endWaiters(index uint64, cause error) {
	for _, w := range c.waiters[index] {
		w.reply <- proposeAnswer{err: unknownFate(cause)}
	}
	delete(c.waiters, index)
}

// end answers everyone who waits.
func (c *core) end(cause error) {
	for index := range c.waiters {
		c.endWaiters(index, cause)
	}
	for id, reply := range c.reads {
		delete(c.reads, id)
		reply <- readAnswer{err: cause}
	}
}

// stepOut stops voting, acknowledging and leading after the disk or the state
// machine has failed: whatever this member said from now on could be a lie
// after a restart. The others notice by missing heartbeats.
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
	c.end(errSteppedOut)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.inbox:
		case <-c.taken:
		case <-c.synced:
		case r := <-c.requests:
			r.refuse(errSteppedOut)
		}
	}
}
