// Package control is the role on the few instances with a disk: it holds the
// durable state, the directory of backend servers and the operators' interface.
package control

import (
	"cmp"
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Options configure a control instance.
type Options struct {
	// Instance names this control instance.
	Instance string
	// Peers are the JSON-RPC addresses of all control instances.
	Peers []string
	// ServerLease is how long a server stays listed after its last announcement.
	ServerLease time.Duration
	// LoadInterval is the time between publications of load reports.
	LoadInterval time.Duration
	// DaemonLease is how long a daemon counts as living after its last call.
	DaemonLease time.Duration
	// MaxServers and MaxDaemons bound what strangers can make it remember.
	MaxServers int
	MaxDaemons int
	// AnnounceKeyHashes are hex SHA-256 digests of the keys by which plain
	// services announce themselves over HTTP.
	AnnounceKeyHashes []string
	// OperatorKeyHashes are hex SHA-256 digests of operators' keys.
	OperatorKeyHashes []string
	// TailLength is how many changes are kept for daemons that fall behind.
	TailLength int
	// MessageBytes bounds the changes in one message to a daemon.
	MessageBytes int
	// RPC are the options of connections to the control instances.
	RPC []rpc.ClientOption
}

const (
	defaultServerLease  = 2500 * time.Millisecond
	defaultLoadInterval = time.Second
	defaultDaemonLease  = 5 * time.Second
	defaultMaxServers   = 4096
	defaultMaxDaemons   = 8192
	defaultTailLength   = 4096
	defaultMessageBytes = 64 << 10
	expiryInterval      = 250 * time.Millisecond
	maxPollWait         = 30 * time.Second
)

func (o *Options) setDefaults() {
	o.ServerLease = cmp.Or(o.ServerLease, defaultServerLease)
	o.LoadInterval = cmp.Or(o.LoadInterval, defaultLoadInterval)
	o.DaemonLease = cmp.Or(o.DaemonLease, defaultDaemonLease)
	o.MaxServers = cmp.Or(o.MaxServers, defaultMaxServers)
	o.MaxDaemons = cmp.Or(o.MaxDaemons, defaultMaxDaemons)
	o.TailLength = cmp.Or(o.TailLength, defaultTailLength)
	o.MessageBytes = cmp.Or(o.MessageBytes, defaultMessageBytes)
}

// Control is one control instance.
type Control struct {
	options Options
	log     *zap.Logger
	durable Log
	clock   clockGuard
	builder pageBuilder
	members Membership
	advice  *adviceDuty
	quotas  *Quotas

	mu        sync.Mutex
	machine   *state.Machine
	tail      tail
	pages     *pages
	showing   showing
	directory *directoryFeed
	daemons   *daemonTable
	// confirmed is when a quorum last confirmed that every change accepted
	// until then is in the machine, and confirmedIndex its index after that.
	confirmed      time.Time
	confirmedIndex uint64
	// configChanged and directoryChanged are closed to wake waiting polls.
	configChanged    chan struct{}
	directoryChanged chan struct{}
}

// New returns a control instance with empty state.
func New(options Options, log *zap.Logger) *Control {
	options.setDefaults()
	now := time.Now()
	c := &Control{
		options:          options,
		log:              log,
		machine:          state.NewMachine(),
		tail:             tail{limit: options.TailLength},
		directory:        newDirectoryFeed(options, now),
		daemons:          newDaemonTable(options.DaemonLease, options.MaxDaemons),
		configChanged:    make(chan struct{}),
		directoryChanged: make(chan struct{}),
	}
	c.durable = &localLog{control: c}
	c.advice = newAdviceDuty(c.Servers)
	return c
}

// Handlers returns the JSON-RPC methods that daemons and other control
// instances call.
func (c *Control) Handlers() map[string]rpc.Handler {
	return map[string]rpc.Handler{
		wire.MethodAnnounce: rpc.Typed(c.announce),
		wire.MethodWatch:    rpc.Typed(c.watch),
		wire.MethodClaim:    rpc.Typed(c.claim),
		wire.MethodSuspect:  rpc.Typed(c.suspect),
		wire.MethodFence:    rpc.Typed(c.fence),
		wire.MethodStanding: rpc.Typed(c.answerStanding),
		wire.MethodDaemons:  rpc.Typed(c.answerDaemons),
	}
}

// Run expires servers, publishes loads and seeks confirmations until ctx ends.
func (c *Control) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { c.runDirectory(ctx) })
	duties.Go(func() { c.runConfirmations(ctx) })
	duties.Go(func() { c.runClockChecks(ctx) })
	duties.Go(func() { c.advice.run(ctx) })
	duties.Wait()
}

// Contract reads a contract.
func (c *Control) Contract(id string) (contract.Contract, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Contract(id)
}

// read calls f with the state, which f must neither keep nor change.
func (c *Control) read(f func(*state.Machine)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.machine)
}

// Servers reads the directory.
func (c *Control) Servers() []membership.Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory.Live()
}

// wake wakes the polls that wait on a channel and returns its successor. The
// caller holds mu.
func wake(waiting chan struct{}) chan struct{} {
	close(waiting)
	return make(chan struct{})
}
