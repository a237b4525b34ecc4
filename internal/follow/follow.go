// Package follow keeps a daemon's copy of the configuration and the directory
// of backend servers up to date from the control instances, and knows how far
// the copy can be relied on.
package follow

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	pollCount       = telemetry.Counter("follow_polls")
	pollFailedCount = telemetry.Counter("follow_polls_failed")
	moveCount       = telemetry.Counter("follow_moves")
)

// Options configure a follower.
type Options struct {
	// Daemon names the follower to the control instances.
	Daemon string
	// Peers are the control instances' addresses.
	Peers []string
	// Server is set by an agent, which follows only its own server's wanted
	// state; empty follows everything.
	Server string
	// OnChange is called after changes were applied, before their index is
	// confirmed to control. It must not block.
	OnChange func(*Config)
	// PollWait is how long one poll may wait for news. It must stay well
	// below Lease, as each poll brings a new proof of freshness.
	PollWait time.Duration
	// RetryDelay is the pause after a failed poll.
	RetryDelay time.Duration
	// Lease is how old a proof of freshness may be.
	Lease time.Duration
	// RPC are the options of connections to the control instances.
	RPC []rpc.ClientOption
}

const (
	defaultPollWait   = time.Second
	defaultRetryDelay = 100 * time.Millisecond
	// maxRetryDelay bounds the pause while no control instance answers.
	maxRetryDelay = time.Second
	// pollSlack is how much longer than its wait a poll may take before its
	// control instance counts as cut off.
	pollSlack = time.Second
)

// Follower polls control instances, one at a time, and moves to another when a
// poll fails or when another one can prove more.
type Follower struct {
	options Options
	log     *zap.Logger
	config  *Config
	servers atomic.Pointer[[]membership.Announcement]
	// snapshot is how far a paged snapshot has been read.
	snapshot struct {
		index uint64
		page  int
	}
	view *membership.View

	mu      sync.Mutex
	tracker *freshness.Tracker
	// confirmed is a peer that a quorum stands behind, by the last probe.
	confirmed string
	kind      freshness.Kind
}

// New returns a follower that has not polled yet.
func New(options Options, log *zap.Logger) *Follower {
	if options.PollWait == 0 {
		options.PollWait = defaultPollWait
	}
	if options.RetryDelay == 0 {
		options.RetryDelay = defaultRetryDelay
	}
	if options.Lease == 0 {
		options.Lease = freshness.DefaultLease
	}
	options.Peers = spread(options.Daemon, options.Peers)
	f := &Follower{
		options: options,
		log:     log,
		config:  NewConfig(),
		view:    membership.NewView(),
		tracker: freshness.NewTracker(freshness.Options{Lease: options.Lease}),
	}
	f.servers.Store(&[]membership.Announcement{})
	return f
}

// Config is the followed configuration.
func (f *Follower) Config() *Config { return f.config }

// Servers is the last known directory; a server that operators want drained or
// stopped is leaving. The slice must not be changed. It outlives the loss of
// every control instance.
func (f *Follower) Servers() []membership.Announcement { return *f.servers.Load() }

// Freshness is what the follower can prove now. Requests may be admitted under
// the configuration only while it says so.
func (f *Follower) Freshness() freshness.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.State(time.Now())
}

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { f.runPolls(ctx) })
	duties.Go(func() { f.runProbes(ctx) })
	duties.Wait()
}

// spread orders the peers differently for each daemon (rendezvous hashing).
// Daemons that all moved to the same instance after a loss would overload it.
func spread(daemon string, peers []string) []string {
	weight := func(peer string) uint64 { return xxhash.Sum64String(daemon + "\x00" + peer) }
	return slices.SortedFunc(slices.Values(peers), func(a, b string) int { return cmp.Compare(weight(a), weight(b)) })
}

// runPolls follows one peer after the other.
func (f *Follower) runPolls(ctx context.Context) {
	delay := f.options.RetryDelay
	for next := 0; ctx.Err() == nil; next++ {
		peer := f.confirmedPeer()
		if peer == "" {
			peer = f.options.Peers[next%len(f.options.Peers)]
		}
		answered, err := f.followPeer(ctx, peer)
		if ctx.Err() != nil {
			return
		}
		delay = min(2*delay, maxRetryDelay)
		if answered {
			delay = f.options.RetryDelay
			f.log.Info("control instance lost", zap.String("peer", peer), zap.String("error", err.Error()))
		}
		moveCount.Add(1)
		f.forgetPeer(peer)
		_ = wait.For(ctx, delay)
	}
}

// errUnconfirmed means that another control instance can prove more.
var errUnconfirmed = errors.New("no quorum stands behind the control instance, and one stands behind another")

// followPeer polls one peer until that fails. It reports whether the peer had
// answered before.
func (f *Follower) followPeer(ctx context.Context, peer string) (answered bool, err error) {
	client := rpc.NewClient(peer, f.options.RPC...)
	defer client.Close()
	for {
		standing, err := f.poll(ctx, client)
		if err != nil {
			pollFailedCount.Add(1)
			return answered, err
		}
		answered = true
		if other := f.confirmedPeer(); !standing.Confirmed && other != "" && other != peer {
			return answered, errUnconfirmed
		}
	}
}

func (f *Follower) poll(ctx context.Context, client *rpc.Client) (freshness.Standing, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.PollWait+pollSlack)
	defer cancel()
	pollCount.Add(1)
	sent := time.Now()
	var reply wire.WatchReply
	if err := client.Call(ctx, wire.MethodWatch, f.question(), &reply); err != nil {
		return freshness.Standing{}, err
	}
	if err := f.apply(reply); err != nil {
		return freshness.Standing{}, err
	}
	f.answered(reply.Standing, sent)
	return reply.Standing, nil
}

func (f *Follower) question() wire.Watch {
	watch := wire.Watch{
		Daemon:           f.options.Daemon,
		Scope:            wire.ScopeAll,
		ConfigIndex:      f.config.Index(),
		SnapshotIndex:    f.snapshot.index,
		SnapshotPage:     f.snapshot.page,
		DirectoryEpoch:   f.view.Epoch(),
		DirectoryVersion: f.view.Version(),
		WaitMillis:       f.options.PollWait.Milliseconds(),
		Freshness:        f.Freshness(),
		Lease:            f.options.Lease,
	}
	if f.options.Server != "" {
		watch.Scope, watch.Server = wire.ScopeServer, f.options.Server
	}
	return watch
}

// apply takes a reply in.
func (f *Follower) apply(reply wire.WatchReply) error {
	before := f.config.Index()
	changes, err := reply.AllChanges()
	if err != nil {
		return err
	}
	f.config.Apply(changes, reply.ConfigIndex)
	if reply.Snapshot != nil {
		if err := f.applyPage(*reply.Snapshot); err != nil {
			return err
		}
	}
	moved := f.config.Index() != before
	if moved && f.options.OnChange != nil {
		f.options.OnChange(f.config)
	}
	return f.applyDirectory(reply.Directory, moved)
}

// applyPage merges one page of a snapshot. Only the last page moves the index:
// until then the copy lacks objects, and the tail must follow from the
// snapshot's own index.
func (f *Follower) applyPage(page wire.SnapshotPage) error {
	var changes []state.Change
	if err := wire.Unpack(page.Changes, &changes); err != nil {
		return err
	}
	expected := page.Index == f.snapshot.index && page.Page == f.snapshot.page
	if !expected && page.Page != 0 {
		return errors.Errorf("page %d of snapshot %d was not asked for", page.Page, page.Index)
	}
	f.config.Merge(changes)
	f.snapshot.index, f.snapshot.page = page.Index, page.Page+1
	if page.Last {
		f.config.Apply(nil, page.Index)
		f.snapshot.index, f.snapshot.page = 0, 0
	}
	return nil
}

func (f *Follower) applyDirectory(packed []byte, configMoved bool) error {
	changed := configMoved
	if packed != nil {
		var delta membership.Delta
		if err := wire.Unpack(packed, &delta); err != nil {
			return err
		}
		changed = f.view.Apply(delta, time.Now()) || changed
	}
	if !changed {
		return nil
	}
	servers := f.view.Servers()
	for i := range servers {
		if f.config.Wanted(servers[i].Server) != state.WantedServing {
			servers[i].Leaving = true
		}
	}
	f.servers.Store(&servers)
	return nil
}
