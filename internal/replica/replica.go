// Package replica runs a control instance's part of the replicated log: one
// duty for the core, one for the disk, one for applying, and two for each peer
// that messages go to, so that heartbeats never wait behind bulk appends.
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

// StateMachine is what committed commands are applied to. It must be
// deterministic: the same commands give the same state on every instance. One
// goroutine calls it.
type StateMachine interface {
	// Apply executes the command that was committed at an index.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Options configure a replica.
type Options struct {
	// Instance names the control instance.
	Instance string
	// Address is where the other control instances reach this one.
	Address string
	// Peers are the addresses of all control instances.
	Peers []string
	// Bootstrap lets this instance found the log, once every peer has answered
	// that it has none.
	Bootstrap bool
	// Founders, when set, replaces Peers and Bootstrap where nobody was told of
	// all control instances. It is asked once by an instance that belongs to no
	// log, returns when the matter is settled, and reports whether to found a
	// log, and with whom.
	Founders func(ctx context.Context, self replog.Member) (members []replog.Member, found bool)
	// Folder is the data folder; FS is the file system, the system's by default.
	Folder string
	FS     wal.FS
	// TickInterval is the unit of the timings below.
	TickInterval time.Duration
	// ElectionTicks and HeartbeatTicks are those of the core.
	ElectionTicks  int
	HeartbeatTicks int
	// PersistCommit applies an entry only once it is on disk that it is committed: a
	// restarted instance then begins with all that it had applied, and waits for
	// no leader. It costs each change the time of another sync.
	PersistCommit bool
	// SnapshotEntries is how many entries are applied between snapshots.
	SnapshotEntries uint64
	// SegmentBytes is the size at which a new file of the log begins.
	SegmentBytes int
	// MaxGroup bounds how many proposals, and how many batches, share a sync.
	MaxGroup int
	// PartBytes is the size of a part of a snapshot under way; a whole one may
	// exceed what a process accepts as one frame.
	PartBytes int
	// RPC are options of the connections to other control instances.
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

// Sizes of the rings between the duties.
const (
	// inboxSize: when full, messages are dropped; the core sends them again.
	inboxSize = 1024
	// requestSize: when full, callers are refused with ErrBusy.
	requestSize = 4096
	// diskSize and applySize: when full, work is kept in the core, which takes
	// on no more appends and proposals above maxBacklog.
	diskSize  = 256
	applySize = 64
	// maxBacklog bounds what waits in the core for the disk or for applying.
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

// Replica is one control instance's part of the log.
type Replica struct {
	options Options
	log     *zap.Logger
	machine StateMachine
	wal     *wal.Log
	self    replog.Member
	node    *replog.Node

	inbox    chan []replog.Message
	requests chan request
	disk     chan diskItem
	synced   chan uint64
	failed   chan error
	apply    chan applyItem
	taken    chan takenSnapshot
	peers    *peers
	waiting  *waitingTable
	pool     *clientPool
	assembly assembly
	handlers map[string]rpc.Handler

	status  atomic.Pointer[replog.Status]
	failure atomic.Pointer[string]
	applied *appliedIndex
	end     atomic.Pointer[End]
}

// End is where a log ends.
type End struct {
	Term uint64
	// Last is the last entry, committed or not.
	Last uint64
	// Config is the last membership in the log, committed or not.
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
		options:  options,
		log:      log,
		machine:  machine,
		wal:      folder,
		self:     replog.Member{ID: folder.Identity().ID(), Address: options.Address},
		inbox:    make(chan []replog.Message, inboxSize),
		requests: make(chan request, requestSize),
		disk:     make(chan diskItem, diskSize),
		synced:   make(chan uint64, diskSize),
		failed:   make(chan error, 2),
		apply:    make(chan applyItem, applySize),
		taken:    make(chan takenSnapshot, 1),
		waiting:  newWaitingTable(),
		pool:     newClientPool(options.RPC),
		applied:  newAppliedIndex(),
	}
	r.peers = newPeers(options)
	r.handlers = r.Handlers()
	if err := r.restore(folder.Restored()); err != nil {
		_ = folder.Close()
		return nil, err
	}
	return r, nil
}

// restore makes the node and the state machine what the folder says.
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

// Run works until ctx ends and closes the data folder.
func (r *Replica) Run(ctx context.Context) {
	defer r.wal.Close()
	r.enter(ctx)
	if ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var duties sync.WaitGroup
	duties.Go(func() { r.runDisk(ctx) })
	duties.Go(func() { r.runApply(ctx) })
	duties.Go(func() { r.runHello(ctx) })
	newCore(r).run(ctx)
	cancel()
	duties.Wait()
	r.peers.close()
	r.pool.close()
}

// ID is the member's identity.
func (r *Replica) ID() replog.ID { return r.self.ID }

// Status is the core's state as of its last tick or change of role. It does not
// block.
func (r *Replica) Status() replog.Status { return *r.status.Load() }

// Applied is the index of the last entry that the state machine has executed.
func (r *Replica) Applied() uint64 { return r.applied.load() }

// Failure is why the instance has stepped out of the log, empty while it has not.
func (r *Replica) Failure() string {
	if reason := r.failure.Load(); reason != nil {
		return *reason
	}
	return ""
}

// End is where this instance's log ends. It is never behind what the instance
// has acknowledged.
func (r *Replica) End() End { return *r.end.Load() }

// Standing is what this instance says of its log to those who ask for a proof.
// The owner of the state fills in what its followers follow, and reads that
// afterwards: it may not lie behind Applied.
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

// publishEnd makes the end of the log visible. Only the node's owner calls it.
func (r *Replica) publishEnd() {
	r.end.Store(&End{Term: r.node.Term(), Last: r.node.LastIndex(), Config: r.node.Config()})
}

// Gauges for alarms.
var (
	// survivableGauge is how many further losses are survivable, -1 on an
	// instance that does not lead.
	survivableGauge = telemetry.Counter("replica_survivable")
	appliedGauge    = telemetry.Counter("replica_applied")
)

func survivable(status replog.Status) int {
	if status.Role != replog.Leader {
		return -1
	}
	return status.Survivable
}

// publish makes the node's status visible. Only the node's owner calls it.
func (r *Replica) publish() {
	status := r.node.Status()
	r.status.Store(&status)
	survivableGauge.Set(int64(survivable(status)))
	appliedGauge.Set(int64(status.Applied))
	r.publishEnd()
}

// Stop hands the leadership over, so that a planned stop does not cost the
// others an election timeout. It returns when another leader is known or ctx
// ends.
func (r *Replica) Stop(ctx context.Context) {
	status := r.Status()
	if status.Role != replog.Leader {
		return
	}
	target := handoverTarget(status)
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

// handoverTarget is the voter that lags least, empty when none has caught up.
func handoverTarget(status replog.Status) replog.ID {
	var target replog.ID
	var match uint64
	for _, m := range status.Members {
		if m.Voter && m.CaughtUp && m.ID != status.ID && m.Match >= match {
			target, match = m.ID, m.Match
		}
	}
	return target
}
