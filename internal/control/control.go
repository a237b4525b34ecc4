// Package control implements the control instances, the few instances with a disk.
// They hold the durable state and the directory of backend servers, and serve the
// operators' interface.
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
	"github.com/rosemarypass/rosemarypass/internal/intake"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Options configure a control instance.
type Options struct {
	// Instance is the name of this control instance.
	Instance string
	// Peers are the JSON-RPC addresses of all control instances.
	Peers []string
	// ServerLease is how long a server stays listed after its last announcement.
	ServerLease time.Duration
	// LoadInterval is the time between publications of load reports.
	LoadInterval time.Duration
	// DaemonLease is how long a daemon is considered alive after its last call.
	DaemonLease time.Duration
	// MaxServers and MaxDaemons bound the memory that unknown clients can occupy.
	MaxServers int
	MaxDaemons int
	// AnnounceKeyHashes are hex SHA-256 digests of the keys with which plain
	// services announce themselves over HTTP.
	AnnounceKeyHashes []string
	// OperatorKeyHashes are hex SHA-256 digests of operators' keys.
	OperatorKeyHashes []string
	// TailLength is the number of recent changes kept for daemons that fall behind.
	TailLength int
	// MessageBytes bounds the size of the changes in one message to a daemon.
	MessageBytes int
	// RPC are the options of connections to the control instances.
	RPC []rpc.ClientOption
	// Intake bounds what the bodies of operators and plain services hold together; nil for no bound.
	Intake *intake.Budget
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
	options    Options
	log        *zap.Logger
	commandLog Log
	clock      clockGuard
	builder    pageBuilder
	members    Membership
	advice     *adviceMonitor
	quotas     *Quotas

	mu          sync.Mutex
	machine     *state.Machine
	tail        tail
	pages       *pages
	publication publication
	directory   *directoryFeed
	daemons     *daemonTable
	// confirmed is the last time as of which a quorum confirmed that every change
	// accepted by then is in the state machine, and confirmedIndex the machine's
	// config index after that confirmation.
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
	c.commandLog = &localLog{control: c}
	c.advice = newAdviceMonitor(c.Servers)
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

// Run expires servers, publishes load reports, requests quorum confirmations,
// compares clocks and observes demand until ctx ends.
func (c *Control) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.runDirectory(ctx) })
	wg.Go(func() { c.runConfirmations(ctx) })
	wg.Go(func() { c.runClockChecks(ctx) })
	wg.Go(func() { c.advice.run(ctx) })
	wg.Wait()
}

// Contract returns the contract with the given id.
func (c *Control) Contract(id string) (contract.Contract, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Contract(id)
}

// read calls f with the state. f must not modify or retain the state.
func (c *Control) read(f func(*state.Machine)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.machine)
}

// Servers returns the announcements of the servers listed in the directory.
func (c *Control) Servers() []membership.Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory.Live()
}

// wake closes a channel to wake the polls waiting on it and returns a new one. The
// caller holds mu.
func wake(waiting chan struct{}) chan struct{} {
	close(waiting)
	return make(chan struct{})
}
