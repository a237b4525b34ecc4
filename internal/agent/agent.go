// Package agent is the process beside a backend server and the only gate to
// it: it owns the engine's adapter slots, queues requests for them, gives the
// engine its orders and announces the server.
package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/internal/drain"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Options configure an agent.
type Options struct {
	Server     string
	Pool       string
	DataCentre string
	BaseModel  string
	// Address is where entries reach this agent.
	Address string
	// Engine is the engine's base URL.
	Engine string
	// Slots and Queue bound the slot table.
	Slots int
	Queue int
	// LoadTimeout bounds one order to the engine.
	LoadTimeout time.Duration
	// AnnounceInterval is the time between announcements.
	AnnounceInterval time.Duration
	// ControlPeers are the control instances to announce to.
	ControlPeers []string
	// RPC are the options of connections to the control instances.
	RPC []rpc.ClientOption
	// Suspicions takes reports of crashes; without it none are reported.
	Suspicions Suspicions
	// Fencer issues fencing numbers; without it orders carry the number 0.
	Fencer Fencer
}

// Agent gates one engine.
type Agent struct {
	options Options
	log     *zap.Logger
	orders  *orderClient
	client  *http.Client
	// requests is the ring of new and cancelled requests. A request that
	// finds it full is refused as not run.
	requests chan event
	// ends is the ring of releases and of the results of orders. The slot
	// duty empties it first and never waits, so that bulk work in requests
	// cannot hold a release up.
	ends chan event
	// stopped is closed when the slot duty has ended and reads no ring.
	stopped chan struct{}
	permits *permitClient
	gate    *drain.Gate
	runs    *runs
	seats   *seats
	crashes crashes
	// incarnation is the engine's, as last seen.
	incarnation atomic.Uint64
	// seen is closed once the engine has reported for the first time.
	seen      chan struct{}
	isolation isolation
	// closed is true while operators want the server drained or stopped.
	closed   atomic.Bool
	started  uint64
	sequence atomic.Uint64
	status   atomic.Pointer[membership.Load]
}

// New returns an agent; Run starts its duties.
func New(options Options, client *http.Client, log *zap.Logger) *Agent {
	a := &Agent{
		options:  options,
		log:      log,
		orders:   &orderClient{base: options.Engine, client: client, timeout: options.LoadTimeout, fencing: newFencingNumber(options.Fencer)},
		client:   client,
		requests: make(chan event, options.Queue+eventSlack),
		ends:     make(chan event, options.Queue+eventSlack),
		stopped:  make(chan struct{}),
		seen:     make(chan struct{}),
		started:  uint64(time.Now().UnixNano()),
		gate:     drain.NewGate(),
		runs:     newRuns(),
	}
	a.orders.superseded = a.supersede
	a.status.Store(&membership.Load{})
	a.seats = newSeats(options.Queue, func() int { return a.status.Load().Capacity })
	a.permits = newPermitClient(options, a.started)
	return a
}

// eventSlack is the room in the slot duty's rings beyond one event per queued request.
const eventSlack = 64

// Run starts the slot duty, the engine watch, the permit duty and the
// announcements, and returns when ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { a.runSlots(ctx) })
	duties.Go(func() { a.acquireFencing(ctx) })
	duties.Go(func() { a.seats.run(ctx) })
	duties.Go(func() { a.watchEngine(ctx) })
	duties.Go(func() { a.permits.run(ctx, a.sendEnd) })
	duties.Go(func() { a.announceAll(ctx) })
	duties.Go(func() { a.followWanted(ctx) })
	duties.Wait()
}

// watchEngine learns the engine's load and notices its restarts.
func (a *Agent) watchEngine(ctx context.Context) {
	first := sync.OnceFunc(func() { close(a.seen) })
	for ctx.Err() == nil {
		if report, err := a.orders.report(ctx); err == nil {
			a.incarnation.Store(report.Incarnation)
			a.sendEnd(engineSeen{report: report})
			first()
		}
		_ = wait.For(ctx, a.options.AnnounceInterval)
	}
}

// errEngineUnseen means that the engine has not reported since this agent began.
var errEngineUnseen = errors.New("the engine has not been seen yet")

// awaitEngine waits for the engine's first report. A request that began before
// it would belong to no known incarnation: a crash that it caused would pass
// for an ordinary failure, and its resend would crash the next engine.
func (a *Agent) awaitEngine(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.options.LoadTimeout)
	defer cancel()
	select {
	case <-a.seen:
		return nil
	case <-ctx.Done():
		return errEngineUnseen
	}
}

func (a *Agent) announceAll(ctx context.Context) {
	var peers sync.WaitGroup
	for _, address := range a.options.ControlPeers {
		peers.Go(func() { a.announceTo(ctx, address) })
	}
	peers.Wait()
}

// announceTo announces to one control instance, whatever happens to the others.
func (a *Agent) announceTo(ctx context.Context, address string) {
	client := rpc.NewClient(address, a.options.RPC...)
	defer client.Close()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, a.options.AnnounceInterval*2)
		var reply wire.AnnounceReply
		_ = client.Call(callCtx, wire.MethodAnnounce, wire.Announce{Announcement: a.announcement()}, &reply)
		cancel()
		_ = wait.For(ctx, a.options.AnnounceInterval)
	}
}

func (a *Agent) announcement() membership.Announcement {
	return membership.Announcement{
		Server:      a.options.Server,
		Kind:        membership.KindEngine,
		Pool:        a.options.Pool,
		DataCentre:  a.options.DataCentre,
		Address:     a.options.Address,
		Agent:       true,
		BaseModel:   a.options.BaseModel,
		Slots:       a.options.Slots,
		Incarnation: a.started,
		Sequence:    a.sequence.Add(1),
		Leaving:     a.refusesWork(),
		Load:        *a.status.Load(),
	}
}

var (
	errNotRun = errors.New("the request was not run")
	errNoSlot = errors.New("the request was not run: no adapter slot is free here")
)
