// Package mesh joins the processes of a deployment that were told of no more
// than a few seeds: they find each other, found the replicated log, spread the
// announcements of backend servers, and hand on the configuration in force.
//
// Duties: one for each peer that is greeted, one that follows the
// configuration where there is no log, one for the log's membership.
package mesh

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

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
	// syncTimeout bounds one greeting; one way takes a few milliseconds.
	syncTimeout = 700 * time.Millisecond
	// failurePause follows a greeting that failed.
	failurePause = 300 * time.Millisecond
	// heardAge is how long after its last word a peer counts as reached.
	heardAge = 1500 * time.Millisecond
	// forgetAge is how long a silent peer is still greeted.
	forgetAge = 2 * time.Minute
	// confirmTimeout bounds the wait for the others' confirmation of a leaving
	// server, which gives up on its announcement after a second.
	confirmTimeout = 600 * time.Millisecond
	// goneAge and silentAge are how long servers that ended, and servers that
	// fell silent, stay listed.
	goneAge   = 30 * time.Second
	silentAge = 15 * time.Second
)

// Mesh is this process's part.
type Mesh struct {
	options   Options
	log       *zap.Logger
	documents *Documents
	host      *logHost
	started   time.Time

	mu     sync.Mutex
	peers  map[string]*peer
	roster *roster.Roster
	// direct are the servers that announced themselves here last.
	direct map[string]bool
	// strikes are the requests that crashed servers; news of them go to peers.
	strikes *suspicion.Strikes
	// progress is closed and replaced when a peer confirms or news arrive.
	progress chan struct{}
	duties   sync.WaitGroup
	ctx      context.Context
}

// New returns a mesh; Run starts it.
func New(options Options, documents *Documents, log *zap.Logger) *Mesh {
	m := &Mesh{
		options: options, log: log, documents: documents, started: time.Now(),
		peers: make(map[string]*peer), roster: roster.New(), direct: make(map[string]bool), strikes: suspicion.NewStrikes(),
		progress: make(chan struct{}),
	}
	if options.Folder != "" {
		m.host = newLogHost(m)
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
	} else {
		m.duties.Go(func() { m.follow(ctx) })
	}
	m.expire(ctx)
	m.duties.Wait()
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

func (m *Mesh) expire(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.mu.Lock()
			m.roster.Expire(now.Add(-goneAge), now.Add(-silentAge))
			m.mu.Unlock()
		}
	}
}

// meet begins to greet a process that is not known yet.
func (m *Mesh) meet(p Process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meetLocked(p)
}

func (m *Mesh) meetLocked(p Process) {
	if p.Address == m.options.Self.Address || !p.Entry || m.ctx == nil || m.ctx.Err() != nil {
		return
	}
	if _, known := m.peers[p.Address]; known {
		return
	}
	q := &peer{mesh: m, process: p, met: time.Now(), kick: make(chan struct{}, 1), client: rpc.NewClient(p.Address)}
	m.peers[p.Address] = q
	ctx := m.ctx
	if m.options.Self.Entry {
		m.duties.Go(func() { q.run(ctx) })
	}
}

// learn takes what a process says of itself.
func (m *Mesh) learn(p Process, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meetLocked(p)
	if q := m.peers[p.Address]; q != nil {
		if q.process.Started != p.Started {
			q.confirmed = 0
		}
		q.process, q.heard = p, now
	}
	m.noteProgress()
}

// noteProgress wakes those who wait for peers or servers. The caller holds mu.
func (m *Mesh) noteProgress() {
	close(m.progress)
	m.progress = make(chan struct{})
}

// Known lists all processes that were heard of, this one included.
func (m *Mesh) Known() []Process {
	known := []Process{m.Self()}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, q := range m.peers {
		if q.process.Started != 0 {
			known = append(known, q.process)
		}
	}
	slices.SortFunc(known, func(a, b Process) int { return cmp.Compare(a.Address, b.Address) })
	return known
}

// digest is the same for equal lists, so that a list that is known need not be
// sent.
func digest(known []Process) uint64 {
	h := xxhash.New()
	for i := range known {
		p := &known[i]
		_, _ = fmt.Fprintf(h, "%s %d %s %s %t %d\n", p.Address, p.Started, p.Member, p.Cluster, p.Leads, p.Index)
	}
	return h.Sum64()
}

// reached counts the peers that were heard lately, and those that should be.
func (m *Mesh) reached(now time.Time) (reached, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, q := range m.peers {
		if q.process.Started == 0 || !q.process.Entry || now.Sub(q.heard) > silentAge {
			continue
		}
		known++
		if now.Sub(q.heard) < heardAge {
			reached++
		}
	}
	return reached, known
}

// ErrParted means that this process reaches too few of the others to vouch
// that they have heard.
var ErrParted = errors.New("most other entries cannot be reached")

// Connected reports whether this process reaches half of the entries it knows.
func (m *Mesh) Connected() bool {
	reached, known := m.reached(time.Now())
	return 2*reached >= known
}

// Serving lists the backend servers that take work.
func (m *Mesh) Serving() []roster.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Serving()
}

// RosterChange is the number of the directory's last change.
func (m *Mesh) RosterChange() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Change()
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
