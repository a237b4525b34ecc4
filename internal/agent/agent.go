// Package agent implements the process that runs beside a backend server and is
// the only access to it. It manages the engine's adapter slots, queues requests
// for them, sends load and unload orders to the engine and announces the server
// to control.
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
	"github.com/rosemarypass/rosemarypass/internal/intake"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Options configures an agent.
type Options struct {
	Server     string
	Pool       string
	DataCentre string
	BaseModel  string
	// Address is the address at which entries reach this agent.
	Address string
	// Engine is the engine's base URL.
	Engine string
	// Slots is the number of adapter slots and Queue the maximum number of
	// waiting requests.
	Slots int
	Queue int
	// LoadTimeout is the timeout of one order to the engine.
	LoadTimeout time.Duration
	// AnnounceInterval is the time between two announcements.
	AnnounceInterval time.Duration
	// ControlPeers are the addresses of the control instances to announce to.
	ControlPeers []string
	// RPC are the options of the connections to the control instances.
	RPC []rpc.ClientOption
	// Suspicions receives crash reports. If nil, crashes are not reported.
	Suspicions Suspicions
	// Fencer issues fencing numbers. If nil, orders carry the number 0.
	Fencer Fencer
	// Intake bounds what the bodies of requests hold together; nil for no bound.
	Intake *intake.Budget
}

// Agent controls the access to one engine.
type Agent struct {
	options Options
	log     *zap.Logger
	orders  *orderClient
	client  *http.Client
	// requests is the queue of new and cancelled requests. A request that finds
	// it full is refused as not run.
	requests chan event
	// priorityEvents is the queue of releases and of the results of orders. The
	// slot loop drains it first and never blocks, so that a flood of requests
	// cannot delay a release.
	priorityEvents chan event
	// stopped is closed when the slot loop has ended and no longer reads the
	// queues.
	stopped chan struct{}
	permits *permitClient
	gate    *drain.Gate
	runs    *runs
	seats   *seats
	crashes crashes
	// incarnation is the engine's last reported incarnation.
	incarnation atomic.Uint64
	// firstReport is closed after the engine's first report.
	firstReport chan struct{}
	isolation   isolation
	// operatorClosed is true while operators want the server drained or
	// stopped.
	operatorClosed atomic.Bool
	started        uint64
	sequence       atomic.Uint64
	status         atomic.Pointer[membership.Load]
}

// New returns an agent. Run starts its goroutines.
func New(options Options, client *http.Client, log *zap.Logger) *Agent {
	a := &Agent{
		options:        options,
		log:            log,
		orders:         &orderClient{base: options.Engine, client: client, timeout: options.LoadTimeout, fencing: newFencingNumber(options.Fencer)},
		client:         client,
		requests:       make(chan event, options.Queue+eventSlack),
		priorityEvents: make(chan event, options.Queue+eventSlack),
		stopped:        make(chan struct{}),
		firstReport:    make(chan struct{}),
		started:        uint64(time.Now().UnixNano()),
		gate:           drain.NewGate(),
		runs:           newRuns(),
	}
	a.orders.onSuperseded = a.supersede
	a.status.Store(&membership.Load{})
	a.seats = newSeats(options.Queue, func() int { return a.status.Load().Capacity })
	a.permits = newPermitClient(options, a.started)
	return a
}

// eventSlack is the capacity of the slot loop's event queues beyond one event
// per queued request.
const eventSlack = 64

// Run runs the slot and seat loops, the permit client, the polling of the engine
// and of the wanted state, and the announcements. It returns when ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { a.runSlots(ctx) })
	wg.Go(func() { a.acquireFencing(ctx) })
	wg.Go(func() { a.seats.run(ctx) })
	wg.Go(func() { a.watchEngine(ctx) })
	wg.Go(func() { a.permits.run(ctx, a.sendPriority) })
	wg.Go(func() { a.announceAll(ctx) })
	wg.Go(func() { a.followWanted(ctx) })
	wg.Wait()
}

// watchEngine polls the engine's load and detects its restarts.
func (a *Agent) watchEngine(ctx context.Context) {
	markReported := sync.OnceFunc(func() { close(a.firstReport) })
	for ctx.Err() == nil {
		if report, err := a.orders.report(ctx); err == nil {
			a.incarnation.Store(report.Incarnation)
			a.sendPriority(engineReported{report: report})
			markReported()
		}
		_ = wait.For(ctx, a.options.AnnounceInterval)
	}
}

// errEngineNotReported means that the engine has not reported since this agent
// started.
var errEngineNotReported = errors.New("the engine has not been seen yet")

// awaitEngine waits for the engine's first report. A request started before
// that report would belong to no known incarnation: a crash caused by it would
// be taken for an ordinary failure, and its retry would crash the next engine.
func (a *Agent) awaitEngine(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.options.LoadTimeout)
	defer cancel()
	select {
	case <-a.firstReport:
		return nil
	case <-ctx.Done():
		return errEngineNotReported
	}
}

func (a *Agent) announceAll(ctx context.Context) {
	var peers sync.WaitGroup
	for _, address := range a.options.ControlPeers {
		peers.Go(func() { a.announceTo(ctx, address) })
	}
	peers.Wait()
}

// announceTo announces to one control instance, independently of the others.
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
