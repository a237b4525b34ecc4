// Package mesh joins the processes of a deployment that were told of no more
// than a few seeds: they find each other, found the replicated log, spread the
// announcements of backend servers, and hand on the configuration in force.
//
// Duties: one for each peer that is greeted, one that follows the
// configuration where there is no log, one that seeks a proof that
// the configuration held is not an old one, one for the log's membership.
package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/backoff"
	"github.com/rosemarypass/rosemarypass/coord/modelplan"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
)

// Options describe this process and its deployment.
type Options struct {
	// Self is this process; Member, Cluster and Index are filled in.
	Self Process
	// Seeds are the addresses of processes to greet first.
	Seeds []string
	// Bootstrap is true at the deployment's first start only.
	Bootstrap bool
	// Folder holds the log; empty without a disk.
	Folder string
	// Losses is how many machines with a disk may be lost at once.
	Losses int
}

// Timings.
const (
	// syncInterval is the pause between greetings when there is no news: a
	// process that fell silent is noticed after a few of them.
	syncInterval = 400 * time.Millisecond
	// syncTimeout bounds one greeting; one way takes a few milliseconds. It grows to
	// longestSync while greetings fail.
	syncTimeout = 700 * time.Millisecond
	longestSync = 5 * time.Second
	// greetingServers bounds the servers that one greeting tells of in full: what has
	// arrived is not lost with the rest.
	greetingServers = 64
	// heardAge is how long after its last word a peer counts as reached.
	heardAge = 1500 * time.Millisecond
	// forgetAge is how much longer ago than others a process was heard by anyone
	// when it is forgotten.
	forgetAge = 2 * time.Minute
	// lostAge is how long a peer that does not answer counts as lost, if nothing
	// is heard of it: then it is tried again.
	lostAge = 10 * time.Second
	// listPause is, for each process that is known, the least pause between two full
	// lists to a peer that knows of others: what a list costs grows with them, what
	// lists cost in a second does not. What changes meanwhile is told at once.
	listPause = 25 * time.Millisecond
	// relistInterval is the pause between two full lists of the known processes
	// from a peer, which show who has fallen silent.
	relistInterval = 30 * time.Second
	// confirmTimeout bounds the wait for the others' confirmation of a leaving
	// server, which gives up on its announcement after a second.
	confirmTimeout = 600 * time.Millisecond
	// goneAge and silentAge are how long servers that ended, and servers that
	// fell silent, stay listed.
	goneAge   = 30 * time.Second
	silentAge = 15 * time.Second
)

// greetingTries follow greetings that failed. The longest pause is shorter than the
// time after which a process counts as out of reach: one that is there again must
// not stay so.
var greetingTries = backoff.Options{First: 300 * time.Millisecond, Most: 800 * time.Millisecond}

// Mesh is this process's part.
type Mesh struct {
	options   Options
	log       *zap.Logger
	documents *Documents
	host      *logHost
	// keeper is nil without a disk.
	keeper *keeper
	prover prover
	pauses pauses

	// taking holds the processes whose greetings are being taken, by address.
	taking sync.Map

	mu     sync.Mutex
	peers  map[string]*peer
	roster *roster.Roster
	// digest is the sum of the peers' digests, changes counts the changes of what is
	// known of them.
	digest  uint64
	changes uint64
	// relink is true when whom to greet must be decided anew; linkedAt is when
	// it was, linkedAs this process's own digest then.
	relink   bool
	linkedAt time.Time
	linkedAs uint64
	// relies is true when this process is no hub: those it greets must pass on to
	// it what they hear.
	relies bool
	// heardFrom says on which way a server was heard of last.
	heardFrom map[string]way
	// strikes are the requests that crashed servers; news of them go to peers.
	strikes *suspicion.Strikes
	// demand counts the requests for models that came in here.
	demand modelplan.Demand
	// unheard are the servers that are known from the disk alone.
	unheard map[string]bool
	// progress is closed and replaced when a peer confirms or news arrive.
	progress chan struct{}
	duties   sync.WaitGroup
	ctx      context.Context
}

// New returns a mesh; Run starts it.
func New(options Options, documents *Documents, log *zap.Logger) *Mesh {
	m := &Mesh{
		options: options, log: log, documents: documents,
		peers: make(map[string]*peer), roster: roster.New(), heardFrom: make(map[string]way), strikes: suspicion.NewStrikes(),
		progress: make(chan struct{}), unheard: make(map[string]bool),
	}
	m.prover.round = m.proveOnce
	m.prover.pause = func(trouble time.Duration) time.Duration {
		return proofTries.Pause(trouble, m.size(), rand.Float64())
	}
	m.pauses.clock = bootTime
	if options.Folder != "" {
		m.host = newLogHost(m)
		m.keeper = newKeeper(options.Folder, log)
		m.recall(time.Now())
	}
	return m
}

// Documents holds the configuration in force.
func (m *Mesh) Documents() *Documents { return m.documents }

// Self describes this process as it is now.
func (m *Mesh) Self() Process {
	self := m.options.Self
	self.Index = m.documents.Current().State.Index
	if m.host != nil {
		self.Member, self.Cluster, self.Leads = m.host.identity()
	}
	return self
}

// Handlers are the methods that other processes call.
func (m *Mesh) Handlers() map[string]rpc.Handler {
	handlers := map[string]rpc.Handler{
		methodSync: rpc.Typed(m.takeGreeting),
		methodPull: rpc.Typed(m.takePull),

		methodPermit: rpc.Typed(newPermits(m).take),
	}
	if m.host != nil {
		m.host.addHandlers(handlers)
	}
	return handlers
}

// Run works until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	for _, seed := range m.options.Seeds {
		m.meet(Process{Address: seed, Entry: true})
	}
	if m.host != nil {
		m.duties.Go(func() { m.host.run(ctx) })
		m.duties.Go(func() { m.keeper.run(ctx) })
		m.duties.Go(func() { m.keepServers(ctx) })
	} else {
		m.duties.Go(func() { m.follow(ctx) })
	}
	m.duties.Go(func() { m.keepConfirmed(ctx) })
	m.expire(ctx)
	m.duties.Wait()
	if !m.options.Self.Entry {
		m.closePeers()
	}
}

// closePeers closes the connections of a process that greets nobody.
func (m *Mesh) closePeers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, q := range m.peers {
		q.close()
	}
}

// SetSeeds greets further seeds.
func (m *Mesh) SetSeeds(seeds []string) {
	for _, seed := range seeds {
		m.meet(Process{Address: seed, Entry: true})
	}
}

// Stop hands the log's leadership over.
func (m *Mesh) Stop(ctx context.Context) {
	if m.host != nil {
		m.host.stop(ctx)
	}
}

// expire forgets what has fallen silent, and keeps whom this process greets up
// to date.
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
			m.roster.Expire(now.Add(-goneAge), now.Add(-silentAge))
			for id := range m.heardFrom {
				if _, known := m.roster.Get(id); !known {
					delete(m.heardFrom, id)
					delete(m.unheard, id)
				}
			}
			m.forgetSilent()
			m.chooseLinks(self, now)
			m.mu.Unlock()
		}
	}
}

// ErrParted means that this process reaches too few of the others to vouch
// that they have heard.
var ErrParted = errors.New("most other entries cannot be reached")

// Serving lists the backend servers that take work.
func (m *Mesh) Serving() []roster.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Serving()
}

// RosterChange is the number of the last change of what servers there are.
func (m *Mesh) RosterChange() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Material()
}

// Announced returns what a server last said of itself.
func (m *Mesh) Announced(id string) (roster.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Get(id)
}

// MayServe reports whether a server is not known to leave.
func (m *Mesh) MayServe(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.roster.Get(id)
	return ok && !e.Leaving && !e.Gone
}

// Listen opens the address at which other processes call.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrap(err, "listen for other processes")
}
