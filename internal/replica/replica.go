// Package replica runs a control instance's member of the replicated log. It uses
// one goroutine for the consensus core, one for the disk, one for the state
// machine, and two for each peer, so that heartbeats never wait behind bulk
// appends.
package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wal"
)

// StateMachine executes the committed commands. It must be deterministic: the
// same commands must result in the same state on every instance. It is called
// from a single goroutine.
type StateMachine interface {
	// Apply executes the command committed at index and returns its result.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state.
	Restore(data []byte) error
}

// Options configures a Replica.
type Options struct {
	// Instance names the control instance.
	Instance string
	// Address is the address at which the other control instances reach this one.
	Address string
	// Peers are the addresses of all control instances.
	Peers []string
	// Bootstrap allows this instance to found the log once every peer has answered
	// that it belongs to none.
	Bootstrap bool
	// ChooseFounders, if set, replaces Peers and Bootstrap in deployments without a
	// configured list of all control instances. An instance that belongs to no log
	// calls it once. It returns when the founding is decided and reports whether
	// this instance founds a log, and with which members.
	ChooseFounders func(ctx context.Context, self replog.Member) (members []replog.Member, found bool)
	// Folder is the data folder. FS defaults to the operating system's file system.
	Folder string
	FS     wal.FS
	// TickInterval is the duration of one tick, the unit of ElectionTicks and
	// HeartbeatTicks.
	TickInterval time.Duration
	// ElectionTicks and HeartbeatTicks are passed to replog.Options.
	ElectionTicks  int
	HeartbeatTicks int
	// PersistCommit delays applying an entry until its commit is recorded on disk: a
	// restarted instance then resumes with every entry that it had applied, without
	// waiting for a leader. It adds the latency of one sync to each change.
	PersistCommit bool
	// SnapshotEntries is the number of entries applied between two snapshots.
	SnapshotEntries uint64
	// SegmentBytes is the size at which the log starts a new file.
	SegmentBytes int
	// MaxGroup limits the number of proposals, and of batches, that share a sync.
	MaxGroup int
	// PartBytes is the size of the parts in which a snapshot is sent; a complete
	// snapshot can exceed the maximum frame size.
	PartBytes int
	// RPC holds the options of the connections to other control instances.
	RPC []rpc.ClientOption
}

const (
	defaultTickInterval    = 50 * time.Millisecond
	defaultElectionTicks   = 12
	defaultHeartbeatTicks  = 2
	defaultSnapshotEntries = 10_000
	defaultMaxGroup        = 256
	defaultPartBytes       = 1 << 20
)

// Capacities of the channels between the goroutines.
const (
	// inboxSize: when full, messages are dropped; the sender's core retransmits them.
	inboxSize = 1024
	// requestQueueSize: when full, calls fail with ErrBusy.
	requestQueueSize = 4096
	// diskQueueSize and applyQueueSize: when full, work stays in the core, which
	// accepts no further appends and proposals above maxBacklog.
	diskQueueSize  = 256
	applyQueueSize = 64
	// errSenders is the number of errors that can be reported: one each by the founding of
	// the log, the disk and the state machine. None of them may wait, as the core receives
	// one at the most.
	errSenders = 3
	// maxBacklog limits the items that wait in the core for the disk, and those
	// that wait for the state machine.
	maxBacklog = 1024
)

func (o *Options) setDefaults() {
	if o.TickInterval == 0 {
		o.TickInterval = defaultTickInterval
	}
	if o.ElectionTicks == 0 {
		o.ElectionTicks = defaultElectionTicks
	}
	if o.HeartbeatTicks == 0 {
		o.HeartbeatTicks = defaultHeartbeatTicks
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.PartBytes == 0 {
		o.PartBytes = defaultPartBytes
	}
	if o.MaxGroup == 0 {
		o.MaxGroup = defaultMaxGroup
	}
}

// Replica is one control instance's member of the replicated log.
type Replica struct {
	options Options
	log     *zap.Logger
	machine StateMachine
	wal     *wal.Log
	self    replog.Member
	node    *replog.Node

	inbox      chan []replog.Message
	requests   chan request
	diskQueue  chan diskItem
	synced     chan uint64
	errs       chan error
	applyQueue chan applyItem
	snapshots  chan machineSnapshot
	peers      *peers
	waiting    *waitingTable
	pool       *clientPool
	assembler  snapshotAssembler
	handlers   map[string]rpc.Handler

	status  atomic.Pointer[replog.Status]
	failure atomic.Pointer[string]
	applied *appliedIndex
	end     atomic.Pointer[End]
}

// End describes the end of a log.
type End struct {
	Term uint64
	// Last is the index of the last entry, committed or not.
	Last uint64
	// Config is the latest membership in the log, committed or not.
	Config replog.Config
}

// Open opens the data folder and restores the state machine. The folder stays
// locked until Run returns.
func Open(options Options, machine StateMachine, log *zap.Logger) (*Replica, error) {
	options.setDefaults()
	folder, err := wal.Open(wal.Options{Folder: options.Folder, FS: options.FS, SegmentBytes: options.SegmentBytes}, options.Instance)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		options:    options,
		log:        log,
		machine:    machine,
		wal:        folder,
		self:       replog.Member{ID: folder.Identity().ID(), Address: options.Address},
		inbox:      make(chan []replog.Message, inboxSize),
		requests:   make(chan request, requestQueueSize),
		diskQueue:  make(chan diskItem, diskQueueSize),
		synced:     make(chan uint64, diskQueueSize),
		errs:       make(chan error, errSenders),
		applyQueue: make(chan applyItem, applyQueueSize),
		snapshots:  make(chan machineSnapshot, 1),
		waiting:    newWaitingTable(),
		pool:       newClientPool(options.RPC),
		applied:    newAppliedIndex(),
	}
	r.peers = newPeers(options)
	r.handlers = r.Handlers()
	if err := r.restore(folder.Restored()); err != nil {
		_ = folder.Close()
		return nil, err
	}
	return r, nil
}

// restore initializes the node and the state machine from the persisted state.
func (r *Replica) restore(restored replog.Restored) error {
	if s := restored.Snapshot; s != nil {
		if err := r.restoreMachine(*s); err != nil {
			return err
		}
	}
	r.node = replog.New(replog.Options{
		ID:              r.self.ID,
		ElectionTicks:   r.options.ElectionTicks,
		HeartbeatTicks:  r.options.HeartbeatTicks,
		PersistCommit:   r.options.PersistCommit,
		BroadcastCommit: r.options.PersistCommit,
		Random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, restored)
	if ready, ok := r.node.Ready(); ok {
		if err := r.applyItem(applyItem{entries: ready.Committed}); err != nil {
			return err
		}
	}
	r.publish()
	return nil
}

func (r *Replica) restoreMachine(s replog.Snapshot) error {
	if len(s.Data) > 0 {
		if err := r.machine.Restore(s.Data); err != nil {
			return errors.Wrapf(err, "restore the snapshot at %d", s.Index)
		}
	}
	r.applied.set(s.Index)
	return nil
}

// Run runs the replica until ctx is done, then closes the data folder.
func (r *Replica) Run(ctx context.Context) {
	defer r.wal.Close()
	r.bootstrap(ctx)
	if ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { r.runDisk(ctx) })
	wg.Go(func() { r.runApply(ctx) })
	wg.Go(func() { r.runHello(ctx) })
	newCore(r).run(ctx)
	cancel()
	wg.Wait()
	r.peers.close()
	r.pool.close()
}

// ID returns the member's ID.
func (r *Replica) ID() replog.ID { return r.self.ID }

// Status returns the core's state as of its last tick or role change. It does not
// block.
func (r *Replica) Status() replog.Status { return *r.status.Load() }

// Applied returns the index of the last entry that the state machine has executed.
func (r *Replica) Applied() uint64 { return r.applied.load() }

// Failure returns why the instance has stepped out of the log, or an empty string
// if it has not.
func (r *Replica) Failure() string {
	if reason := r.failure.Load(); reason != nil {
		return *reason
	}
	return ""
}

// End returns the end of this instance's log. It never lags behind what the
// instance has acknowledged.
func (r *Replica) End() End { return *r.end.Load() }

// Standing returns the state of this instance's log for freshness proofs. The
// owner of the state machine adds the position of the state that its followers
// replicate, and must read it after calling Standing: it must not lag behind
// Applied.
func (r *Replica) Standing() freshness.Standing {
	applied := r.Applied()
	end, status := r.End(), r.Status()
	standing := freshness.Standing{
		Term:      end.Term,
		LastIndex: end.Last,
		Applied:   applied,
		Leader:    string(status.Leader),
		Voter:     end.Config.Voter(status.ID) && r.Failure() == "",
	}
	for _, voter := range end.Config.Voters {
		standing.Voters = append(standing.Voters, voter.Address)
	}
	return standing
}

// publishEnd makes the end of the log visible to End. Only the goroutine that owns
// the node may call it.
func (r *Replica) publishEnd() {
	r.end.Store(&End{Term: r.node.Term(), Last: r.node.LastIndex(), Config: r.node.Config()})
}

// Gauges that alerts are based on.
var (
	// survivableGauge is the number of further member losses that can be tolerated,
	// or -1 on an instance that is not the leader.
	survivableGauge = telemetry.Counter("replica_survivable")
	appliedGauge    = telemetry.Counter("replica_applied")
)

func survivable(status replog.Status) int {
	if status.Role != replog.Leader {
		return -1
	}
	return status.Survivable
}

// publish makes the node's status visible to Status. Only the goroutine that owns
// the node may call it.
func (r *Replica) publish() {
	status := r.node.Status()
	r.status.Store(&status)
	survivableGauge.Set(int64(survivable(status)))
	appliedGauge.Set(int64(status.Applied))
	r.publishEnd()
}

// Stop transfers the leadership to another voter, so that a planned stop does not
// cost the other members an election timeout. It returns when another leader is
// known or ctx is done.
func (r *Replica) Stop(ctx context.Context) {
	status := r.Status()
	if status.Role != replog.Leader {
		return
	}
	target := transferTarget(status)
	if target == "" || r.transfer(ctx, target) != nil {
		return
	}
	ticker := time.NewTicker(r.options.TickInterval)
	defer ticker.Stop()
	for s := r.Status(); s.Role == replog.Leader || s.Leader == ""; s = r.Status() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// transferTarget returns the voter with the smallest lag, or an empty ID if no
// voter has caught up.
func transferTarget(status replog.Status) replog.ID {
	var target replog.ID
	var match uint64
	for _, m := range status.Members {
		if m.Voter && m.CaughtUp && m.ID != status.ID && m.Match >= match {
			target, match = m.ID, m.Match
		}
	}
	return target
}
