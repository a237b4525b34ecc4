// Package follow keeps a daemon's copy of the configuration and of the directory of backend
// servers up to date from the control instances, and tracks whether the copy is proven fresh.
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
	peerChangeCount = telemetry.Counter("follow_moves")
)

// Options configures a follower.
type Options struct {
	// Daemon is the follower's name for the control instances.
	Daemon string
	// Peers are the addresses of the control instances.
	Peers []string
	// Server is set by an agent, which follows only the wanted state of its own server. Empty
	// means that everything is followed.
	Server string
	// OnChange is called after changes were applied and before their index is confirmed to
	// control. It must not block.
	OnChange func(*Config)
	// PollWait is the maximum time that one poll waits for changes. It must be well below
	// Lease, because each poll delivers a new proof of freshness.
	PollWait time.Duration
	// RetryDelay is the pause after a failed poll.
	RetryDelay time.Duration
	// Lease is the maximum age of a proof of freshness.
	Lease time.Duration
	// RPC are the options of connections to the control instances.
	RPC []rpc.ClientOption
}

const (
	defaultPollWait   = time.Second
	defaultRetryDelay = 100 * time.Millisecond
	// maxRetryDelay limits the pause while no control instance answers.
	maxRetryDelay = time.Second
	// pollGrace is the time that a poll may take beyond its wait before its control instance
	// counts as disconnected.
	pollGrace = time.Second
)

// Follower polls control instances, one at a time, and switches to another when a poll fails or
// when only another one is confirmed by a quorum.
type Follower struct {
	options Options
	log     *zap.Logger
	config  *Config
	servers atomic.Pointer[[]membership.Announcement]
	// snapshot is the read position in a paged snapshot.
	snapshot struct {
		index uint64
		page  int
	}
	view *membership.View

	mu      sync.Mutex
	tracker *freshness.Tracker
	// confirmed is a peer that a quorum confirmed according to the last probe; loggedKind is
	// the kind of freshness that was last logged.
	confirmed  string
	loggedKind freshness.Kind
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
	options.Peers = rendezvousOrder(options.Daemon, options.Peers)
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

// Config returns the followed configuration.
func (f *Follower) Config() *Config { return f.config }

// Servers returns the last known directory, in which servers that operators want drained or
// stopped are marked as leaving. The slice must not be modified. It is kept when all control
// instances are lost.
func (f *Follower) Servers() []membership.Announcement { return *f.servers.Load() }

// Freshness returns how fresh the copy is proven to be. Requests may be admitted under the
// configuration only while that state allows it.
func (f *Follower) Freshness() freshness.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.State(time.Now())
}

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.runPolls(ctx) })
	wg.Go(func() { f.runProbes(ctx) })
	wg.Wait()
}

// rendezvousOrder orders the peers differently for each daemon (rendezvous hashing). If all
// daemons switched to the same instance after a loss, they would overload it.
func rendezvousOrder(daemon string, peers []string) []string {
	weight := func(peer string) uint64 { return xxhash.Sum64String(daemon + "\x00" + peer) }
	return slices.SortedFunc(slices.Values(peers), func(a, b string) int { return cmp.Compare(weight(a), weight(b)) })
}

// runPolls follows one peer after another.
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
		peerChangeCount.Add(1)
		f.forgetPeer(peer)
		_ = wait.For(ctx, delay)
	}
}

// errUnconfirmed is returned when the control instance is not confirmed by a quorum and another
// one is.
var errUnconfirmed = errors.New("the control instance has no quorum behind it, another one has")

// followPeer polls one peer until a poll fails. It reports whether the peer had answered
// before.
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
	ctx, cancel := context.WithTimeout(ctx, f.options.PollWait+pollGrace)
	defer cancel()
	pollCount.Add(1)
	sent := time.Now()
	var reply wire.WatchReply
	if err := client.Call(ctx, wire.MethodWatch, f.watchRequest(), &reply); err != nil {
		return freshness.Standing{}, err
	}
	if err := f.apply(reply); err != nil {
		return freshness.Standing{}, err
	}
	f.recordStanding(reply.Standing, sent)
	return reply.Standing, nil
}

func (f *Follower) watchRequest() wire.Watch {
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

// apply applies the changes and the directory of a reply.
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
	changed := f.config.Index() != before
	if changed && f.options.OnChange != nil {
		f.options.OnChange(f.config)
	}
	return f.applyDirectory(reply.Directory, changed)
}

// applyPage merges one page of a snapshot. Only the last page advances the index: until then
// the copy lacks objects, and later changes must follow from the snapshot's own index.
func (f *Follower) applyPage(page wire.SnapshotPage) error {
	var changes []state.Change
	if err := wire.Unpack(page.Changes, &changes); err != nil {
		return err
	}
	expected := page.Index == f.snapshot.index && page.Page == f.snapshot.page
	if !expected && page.Page != 0 {
		return errors.Errorf("unexpected page %d of snapshot %d", page.Page, page.Index)
	}
	f.config.Merge(changes)
	f.snapshot.index, f.snapshot.page = page.Index, page.Page+1
	if page.Last {
		f.config.Apply(nil, page.Index)
		f.snapshot.index, f.snapshot.page = 0, 0
	}
	return nil
}

func (f *Follower) applyDirectory(packed []byte, configChanged bool) error {
	changed := configChanged
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
