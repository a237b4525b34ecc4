// Package mesh connects the processes of a deployment, each of which is configured with
// only a few seed addresses: they discover each other, found the replicated log, spread
// the announcements of backend servers, and distribute the configuration in force.
//
// Background tasks: one per greeted peer, one that follows the configuration where there
// is no log, one that seeks a proof that the held configuration is not stale, and one
// that manages the log's membership.
package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/backoff"
	"github.com/rosemarypass/rosemarypass/coord/modelplan"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/serverrate"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/socket"
)

// Options describes this process and its deployment.
type Options struct {
	// Self describes this process; Mesh fills in Member, Cluster and Index.
	Self Process
	// Seeds are the addresses of the processes to greet first.
	Seeds []string
	// Bootstrap is true only at the first start of the deployment.
	Bootstrap bool
	// Folder is the directory of the log; empty without a disk.
	Folder string
	// ToleratedLosses is the number of machines with a disk that may be lost at the same
	// time.
	ToleratedLosses int
}

// Intervals, timeouts and limits.
const (
	// syncInterval is the interval between greetings when there are no updates to send. A
	// process that falls silent is noticed after a few intervals.
	syncInterval = 400 * time.Millisecond
	// syncTimeout bounds one greeting; one network direction takes a few milliseconds. It
	// grows up to maxSyncTimeout while greetings fail.
	syncTimeout    = 700 * time.Millisecond
	maxSyncTimeout = 5 * time.Second
	// maxGreetingServers bounds the servers that one greeting carries in full, so that a
	// failed greeting does not lose the updates that earlier ones delivered.
	maxGreetingServers = 64
	// reachableTimeout is how long after its last message a peer counts as reachable.
	reachableTimeout = 1500 * time.Millisecond
	// forgetTimeout is how far behind the most recently heard process a process may fall
	// before it is forgotten.
	forgetTimeout = 2 * time.Minute
	// lostTimeout is how long after a failure a peer that is not heard counts as lost. It
	// is retried afterwards.
	lostTimeout = 10 * time.Second
	// fullListInterval is the minimum interval, per known process, between two full
	// process lists sent to a peer that knows different processes. A list grows with the
	// number of processes, so scaling the interval keeps the cost per second constant.
	// Changes in between are sent immediately.
	fullListInterval = 25 * time.Millisecond
	// relistInterval is the interval between two requests to a peer for its full list of
	// known processes, which shows which ones have fallen silent.
	relistInterval = 30 * time.Second
	// confirmTimeout bounds the wait for the other entries to acknowledge that a server
	// leaves. The server gives up on its announcement after one second.
	confirmTimeout = 600 * time.Millisecond
	// goneRetention and silentRetention are how long servers that ended, and servers that
	// fell silent, stay listed.
	goneRetention   = 30 * time.Second
	silentRetention = 15 * time.Second
)

// greetingBackoff paces retries of failed greetings. The longest pause is shorter than
// reachableTimeout, so that a process that is back does not keep counting as unreachable.
var greetingBackoff = backoff.Options{Initial: 300 * time.Millisecond, Max: 800 * time.Millisecond}

// Mesh is the local end of the mesh.
type Mesh struct {
	options   Options
	log       *zap.Logger
	documents *Documents
	host      *logHost
	// configWriter, serversFile and strikesFile are nil without a disk.
	configWriter *configWriter
	serversFile  *diskCopy[[]roster.Server]
	strikesFile  *diskCopy[refusals]
	packer       bodyPacker
	prover       prover
	// versionProver asks for the software versions that serve.
	versionProver prover
	pauses        pauseDetector
	// forwardTimeout bounds one attempt at one member of the log.
	forwardTimeout time.Duration
	// quorumWait bounds how long an acknowledgement waits for a majority.
	quorumWait time.Duration

	// informed is set once no strike from before the start of this process can be missing;
	// mustInform is when it is set at the latest.
	informed   atomic.Bool
	mustInform time.Time

	// syncing holds the addresses of the processes whose greetings are being handled.
	syncing sync.Map

	mu     sync.Mutex
	peers  map[string]*peer
	roster *roster.Roster
	// digest is the sum of the peers' digests; changes counts the changes to the
	// descriptions of the peers.
	digest  uint64
	changes uint64
	// relink is true when the set of peers to greet must be recomputed; linkedAt is when
	// it was last computed, and linkedDigest is the digest of this process at that time.
	relink       bool
	linkedAt     time.Time
	linkedDigest uint64
	// spoke is true when this process is not a hub: the hubs that it greets must forward
	// to it the updates that they receive.
	spoke bool
	// heardVia records how each server was last heard of.
	heardVia map[string]via
	// strikes records the requests that crashed servers; updates are sent to peers.
	strikes *suspicion.Strikes
	// streams knows at which software version streams began.
	streams *streams
	// rates knows which servers name a rate.
	rates *serverrate.Table
	// ratesInForce is what the table says, for those that do not hold mu.
	ratesInForce atomic.Pointer[ServerRates]
	// demand counts the requests for models that this process received.
	demand modelplan.Demand
	// diskOnly holds the servers that are known only from the disk.
	diskOnly map[string]bool
	// proposing is the number of bytes of the changes that are being proposed.
	proposing int
	// progress is closed and replaced when a peer acknowledges a change or updates
	// arrive.
	progress chan struct{}
	tasks    sync.WaitGroup
	ctx      context.Context
}

// New returns a Mesh that is not running; Run starts it.
func New(options Options, documents *Documents, log *zap.Logger) *Mesh {
	m := &Mesh{
		options: options, log: log, documents: documents,
		peers: make(map[string]*peer), roster: roster.New(), heardVia: make(map[string]via), strikes: suspicion.NewStrikes(), rates: serverrate.NewTable(),
		progress: make(chan struct{}), diskOnly: make(map[string]bool), forwardTimeout: forwardTimeout, quorumWait: quorumWait,
	}
	m.publishRates()
	if options.informedAtStart() {
		m.informed.Store(true)
		strikesKnown.Reach()
	}
	m.streams = newStreams(m)
	m.prover.round = m.proveOnce
	m.prover.interval = func(failingFor time.Duration) time.Duration {
		return proofBackoff.Pause(failingFor, m.size(), rand.Float64())
	}
	m.versionProver = newVersionProver(m)
	m.pauses.clock = bootTime
	if options.Folder != "" {
		m.host = newLogHost(m)
		m.configWriter = newConfigWriter(options.Folder, log)
		m.serversFile, m.strikesFile = newServersFile(m), newStrikesFile(m)
		m.loadServers(time.Now())
		m.loadStrikes(time.Now())
		m.streams.file = newStreamsFile(m.streams, options.Folder)
		m.streams.file.load(time.Now())
	}
	return m
}

// Documents returns the holder of the configuration in force.
func (m *Mesh) Documents() *Documents { return m.documents }

// Self describes the current state of this process.
func (m *Mesh) Self() Process {
	self := m.options.Self
	self.Index = m.documents.Current().State.Index
	if m.host != nil {
		self.Member, self.Cluster, self.Leads = m.host.identity()
	}
	self.Unpacks, self.OnlyVersions = true, m.streams.onlyVersions()
	return self
}

// Handlers returns the methods that other processes call.
func (m *Mesh) Handlers() map[string]rpc.Handler {
	handlers := map[string]rpc.Handler{
		methodSync: rpc.Typed(m.handleSync),
		methodPull: rpc.Typed(m.handlePull),

		methodTellStreams: rpc.Typed(m.handleTellStreams),
		methodAskStream:   rpc.Typed(m.handleAskStream),

		methodPermit: rpc.Typed(newPermits(m).handle),

		methodPersistDeparture: rpc.Typed(m.handlePersistDeparture),
		methodPersistVersion:   rpc.Typed(m.handlePersistVersion),
	}
	if m.host != nil {
		m.host.addHandlers(handlers)
	}
	return handlers
}

// Run runs the background tasks until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.mustInform = time.Now().Add(informTimeout)
	m.mu.Unlock()
	for _, seed := range m.options.Seeds {
		m.addPeer(Process{Address: seed, Entry: true})
	}
	if m.host != nil {
		m.tasks.Go(func() { m.host.run(ctx) })
		m.tasks.Go(func() { m.configWriter.run(ctx) })
		m.tasks.Go(func() { m.serversFile.run(ctx) })
		m.tasks.Go(func() { m.strikesFile.run(ctx) })
		m.tasks.Go(func() { m.streams.file.run(ctx) })
	} else {
		m.tasks.Go(func() { m.follow(ctx) })
	}
	m.tasks.Go(func() { m.streams.run(ctx) })
	m.tasks.Go(func() { m.watchPauses(ctx) })
	m.expire(ctx)
	m.tasks.Wait()
	if !m.options.Self.Entry {
		m.closePeers()
	}
}

// closePeers closes the connections to all peers in a process that greets none. In other
// processes the greeting task of each peer closes them.
func (m *Mesh) closePeers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, q := range m.peers {
		q.close()
	}
}

// AddSeeds adds seeds and greets them.
func (m *Mesh) AddSeeds(seeds []string) {
	for _, seed := range seeds {
		m.addPeer(Process{Address: seed, Entry: true})
	}
}

// Stop hands over the leadership of the log.
func (m *Mesh) Stop(ctx context.Context) {
	if m.host != nil {
		m.host.stop(ctx)
	}
}

// expire periodically removes silent servers and peers, and updates the set of peers that
// this process greets.
func (m *Mesh) expire(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			self := m.Self()
			m.mu.Lock()
			m.roster.Expire(now.Add(-goneRetention), now.Add(-silentRetention))
			for id := range m.heardVia {
				if _, known := m.roster.Get(id); !known {
					delete(m.heardVia, id)
					delete(m.diskOnly, id)
				}
			}
			if now.After(m.mustInform) {
				m.setInformed("no other entry has told it in time")
			}
			m.streams.expireOnlyVersions(now)
			m.forgetRates()
			m.forgetSilent()
			m.chooseLinks(self, now)
			m.mu.Unlock()
		}
	}
}

// ErrPartitioned means that this process reaches too few of the other entries to
// guarantee that they know of a change.
var ErrPartitioned = errors.New("most other entries cannot be reached")

// Serving lists the backend servers that accept work.
func (m *Mesh) Serving() []roster.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Serving()
}

// RosterChange returns the sequence number of the last material change to the roster.
func (m *Mesh) RosterChange() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Material()
}

// Announced returns the latest announcement of a server.
func (m *Mesh) Announced(id string) (roster.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Get(id)
}

// MayServe reports whether a server is known and is neither leaving nor gone.
func (m *Mesh) MayServe(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.roster.Get(id)
	return ok && !e.Leaving && !e.Gone
}

// Listen opens the listener for calls from other processes.
func Listen(address string) (net.Listener, error) {
	listener, err := socket.Listen(address, socket.PeerUnread)
	return listener, errors.Wrap(err, "listen for other processes")
}
