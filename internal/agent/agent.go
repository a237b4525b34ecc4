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

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/slots"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
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
}

// Agent gates one engine.
type Agent struct {
	options Options
	log     *zap.Logger
	orders  *orderClient
	client  *http.Client
	events  chan event
	leaving atomic.Bool
	// closed is true while operators want the server drained or stopped.
	closed   atomic.Bool
	inFlight sync.WaitGroup
	started  uint64
	sequence atomic.Uint64
	status   atomic.Pointer[membership.Load]
	// sources maps adapters to their place in the weight store, as the
	// entry that sent the request knows it.
	sources sync.Map
}

// New returns an agent; Run starts its duties.
func New(options Options, client *http.Client, log *zap.Logger) *Agent {
	a := &Agent{
		options: options,
		log:     log,
		orders:  &orderClient{base: options.Engine, client: client, timeout: options.LoadTimeout},
		client:  client,
		events:  make(chan event, options.Queue+eventSlack),
		started: uint64(time.Now().UnixNano()),
	}
	a.status.Store(&membership.Load{})
	return a
}

// eventSlack is the room in the slot duty's ring beyond one event per queued request.
const eventSlack = 64

// Run starts the slot duty, the engine watch and the announcements, and
// returns when ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { a.runSlots(ctx) })
	duties.Go(func() { a.watchEngine(ctx) })
	duties.Go(func() { a.announceAll(ctx) })
	duties.Go(func() { a.followWanted(ctx) })
	duties.Wait()
}

// Leave refuses new work from now on.
func (a *Agent) Leave() { a.leaving.Store(true) }

// Wait returns when no request is in flight.
func (a *Agent) Wait() { a.inFlight.Wait() }

// watchEngine learns the engine's load and notices its restarts.
func (a *Agent) watchEngine(ctx context.Context) {
	var incarnation uint64
	for ctx.Err() == nil {
		report, err := a.orders.report(ctx)
		if err == nil {
			if report.Incarnation != incarnation {
				a.send(ctx, engineSeen{report: report, restarted: incarnation != 0})
				incarnation = report.Incarnation
			}
			a.send(ctx, loadSeen{running: report.Running, waiting: report.Waiting, capacity: report.Capacity})
		}
		sleep(ctx, a.options.AnnounceInterval)
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
	client := rpc.NewClient(address)
	defer client.Close()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, a.options.AnnounceInterval*2)
		var reply wire.AnnounceReply
		_ = client.Call(callCtx, wire.MethodAnnounce, wire.Announce{Announcement: a.announcement()}, &reply)
		cancel()
		sleep(ctx, a.options.AnnounceInterval)
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// event is an input of the slot duty.
type event interface {
	apply(*slotDuty) []slots.Action
}

type requested struct {
	id    slots.RequestID
	ref   catalogue.Ref
	reply chan<- verdict
}

type cancelled struct{ id slots.RequestID }
type released struct{ id slots.RequestID }
type loadDone struct {
	ref catalogue.Ref
	err error
}
type unloadDone struct{ ref catalogue.Ref }
type engineSeen struct {
	report    engineReport
	restarted bool
}
type loadSeen struct{ running, waiting, capacity int }

// verdict tells a waiting request whether it may run.
type verdict struct {
	start  bool
	reason slots.Reason
}

// slotDuty owns the slot table; no other goroutine touches it.
type slotDuty struct {
	agent    *Agent
	table    *slots.Table
	replies  map[slots.RequestID]chan<- verdict
	capacity int
}

func (a *Agent) runSlots(ctx context.Context) {
	duty := &slotDuty{
		agent:   a,
		table:   slots.NewTable(slots.Options{Slots: a.options.Slots, Queue: a.options.Queue}),
		replies: make(map[slots.RequestID]chan<- verdict),
	}
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-a.events:
			duty.perform(ctx, e.apply(duty))
			duty.publish()
		}
	}
}

func (a *Agent) send(ctx context.Context, e event) {
	select {
	case a.events <- e:
	case <-ctx.Done():
	}
}

func (d *slotDuty) publish() {
	d.agent.status.Store(&membership.Load{
		Running:  d.table.Running(),
		Waiting:  d.table.Waiting(),
		Capacity: d.capacity,
		Resident: d.table.Resident(),
	})
}

func (d *slotDuty) perform(ctx context.Context, actions []slots.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case slots.Start:
			d.answer(action.Request, verdict{start: true})
		case slots.Refuse:
			d.answer(action.Request, verdict{reason: action.Reason})
		case slots.Load:
			go d.agent.load(ctx, action.Ref)
		case slots.Unload:
			go d.agent.unload(ctx, action.Ref)
		}
	}
}

func (d *slotDuty) answer(id slots.RequestID, v verdict) {
	d.replies[id] <- v
	delete(d.replies, id)
}

func (a *Agent) load(ctx context.Context, ref catalogue.Ref) {
	source, _ := a.sources.Load(ref)
	text, _ := source.(string)
	err := a.orders.load(ctx, ref, text)
	if err != nil {
		a.log.Warn("adapter load failed", zap.Stringer("adapter", ref), zap.Error(err))
	}
	a.send(ctx, loadDone{ref: ref, err: err})
}

func (a *Agent) unload(ctx context.Context, ref catalogue.Ref) {
	if err := a.orders.unload(ctx, ref); err != nil {
		a.log.Warn("adapter unload failed", zap.Stringer("adapter", ref), zap.Error(err))
	}
	a.send(ctx, unloadDone{ref: ref})
}

func (e requested) apply(d *slotDuty) []slots.Action {
	d.replies[e.id] = e.reply
	return d.table.Request(e.id, e.ref)
}

func (e cancelled) apply(d *slotDuty) []slots.Action {
	delete(d.replies, e.id)
	return append(d.table.Cancel(e.id), d.table.Release(e.id)...)
}

func (e released) apply(d *slotDuty) []slots.Action { return d.table.Release(e.id) }

func (e loadDone) apply(d *slotDuty) []slots.Action {
	if e.err != nil {
		return d.table.LoadFailed(e.ref)
	}
	return d.table.Loaded(e.ref)
}

func (e unloadDone) apply(d *slotDuty) []slots.Action { return d.table.Unloaded(e.ref) }

func (e engineSeen) apply(d *slotDuty) []slots.Action {
	if e.restarted {
		d.agent.log.Info("engine restarted", zap.Uint64("incarnation", e.report.Incarnation))
		return d.table.EngineRestarted()
	}
	for _, name := range e.report.Adapters {
		if ref, err := catalogue.ParseRef(name); err == nil {
			d.table.Adopt(ref)
		}
	}
	return nil
}

func (e loadSeen) apply(d *slotDuty) []slots.Action {
	d.capacity = e.capacity
	return nil
}

var errNotRun = errors.New("the request was not run")
