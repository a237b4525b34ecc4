package sidecar

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/residency"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Options describe the agent.
type Options struct {
	// Name is the holder of all orders.
	Name string
	// Service is the engine's.
	Service string
	// VersionGrace is how long an outdated adapter may still be started; a part
	// of the time in which a named version must be in force.
	VersionGrace time.Duration
}

const (
	// busyPoll and idlePoll are the pauses between reports. The engine is on
	// the same machine: a report is fresh and costs it nothing.
	busyPoll = 50 * time.Millisecond
	idlePoll = 200 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 500 * time.Millisecond
	// orderTimeout bounds an order's answer, which comes at once.
	orderTimeout = 400 * time.Millisecond
	// callRing bounds the calls that wait for the duty.
	callRing = 1024
	// maxQueue bounds the requests that wait for a start, as a multiple of the
	// batch: more could not start before their callers give up.
	maxQueue = 8
	// loadsAtOnce is how many adapters are on their way to one engine: two keep
	// the store's knee from being passed when several engines load.
	loadsAtOnce = 2
)

// Sidecar is the agent.
type Sidecar struct {
	options   Options
	engine    Engine
	documents *mesh.Documents
	log       *zap.Logger
	calls     chan func(*duty)
	state     stateCell
}

// New returns an agent; Run starts it.
func New(options Options, engine Engine, documents *mesh.Documents, log *zap.Logger) *Sidecar {
	return &Sidecar{options: options, engine: engine, documents: documents, log: log, calls: make(chan func(*duty), callRing), state: newStateCell()}
}

// duty owns the state.
type duty struct {
	*Sidecar
	table   *residency.Table
	service *route.Service
	index   uint64
	report  Report
	known   bool
	// asked is when the report was asked for.
	asked    time.Time
	sequence int64
	token    int64
	waiters  map[string]chan<- wire.StartReply
	orders   []Order
	// unanswered is the order whose fate is unknown.
	unanswered *Order
}

// Run works until ctx ends.
func (s *Sidecar) Run(ctx context.Context) {
	d := &duty{Sidecar: s, token: time.Now().UnixMilli(), waiters: make(map[string]chan<- wire.StartReply)}
	d.table = residency.New(residency.Options{Queue: 1})
	timer := time.NewTimer(0)
	defer timer.Stop()
	turn := time.NewTimer(idlePoll)
	defer turn.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-s.calls:
			call(d)
		case <-s.documents.Changed():
			d.configure(time.Now())
		case <-timer.C:
			d.poll(ctx)
			timer.Reset(d.pause())
		case <-turn.C:
			d.perform(d.table.Tick(time.Now()))
		}
		if next := d.table.Next(); !next.IsZero() {
			turn.Reset(max(time.Until(next), time.Millisecond))
		}
		d.giveOrders(ctx)
		d.publish()
	}
}

func (d *duty) pause() time.Duration {
	if d.table.Waiting() > 0 || d.table.Running() > 0 {
		return busyPoll
	}
	return idlePoll
}

// configure takes what the configuration says of the engine and its adapters.
func (d *duty) configure(now time.Time) {
	current := d.documents.Current()
	if current.Table == nil || current.State.Index == d.index {
		return
	}
	d.index = current.State.Index
	service := current.Table.Service(d.options.Service)
	if service != nil && service.Engine != nil {
		d.service = service
		d.table.SetOptions(residency.Options{
			Places: service.Engine.AdapterSlots, Batch: service.Engine.Batch, MemoryTokens: service.Engine.MemoryTokens,
			Loads: loadsAtOnce, Queue: maxQueue * service.Engine.Batch, Grace: d.options.VersionGrace,
		})
	}
	for adapter, version := range current.State.Adapters {
		d.perform(d.table.Named(adapter, version, now))
	}
}

// poll takes the engine's report.
func (d *duty) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := time.Now()
	report, err := d.engine.Report(ctx)
	now := time.Now()
	if err != nil {
		if d.known {
			d.log.Warn("the engine does not report", zap.Error(err))
			d.known = false
		}
		d.perform(d.table.Tick(now))
		return
	}
	d.configure(now)
	d.noteRestart(report)
	if !d.known {
		d.log.Info("the engine reports", zap.Int64("born", report.Born), zap.Strings("models", report.Models), zap.Int64("sequence", report.Sequence))
	}
	d.report, d.known, d.asked = report, true, asked
	d.sequence = max(d.sequence, report.Sequence)
	if report.Leaving {
		d.perform(d.table.Leave())
	}
	runs := make(map[string]bool, len(report.Runs))
	for _, id := range report.Runs {
		runs[id] = true
	}
	d.perform(d.table.Take(residency.Report{Held: report.Adapters, Coming: report.Coming, Runs: runs, Waiting: report.Waiting, Asked: asked}, now))
	d.provideModel()
}

// noteRestart forgets the state of an earlier incarnation.
func (d *duty) noteRestart(report Report) {
	if !d.known && d.report.Born == 0 {
		return
	}
	if report.Born == d.report.Born && report.Sequence >= d.report.Sequence {
		return
	}
	d.log.Warn("the engine has restarted", zap.Int64("born", report.Born), zap.Int64("sequence", report.Sequence), zap.Int64("before", d.report.Sequence))
	d.sequence = report.Sequence
	d.orders, d.unanswered = nil, nil
	d.perform(d.table.Restarted())
}

// provideModel loads the base model into an engine that holds none: one that
// was added, or that restarted.
func (d *duty) provideModel() {
	if d.service == nil || len(d.report.Models) > 0 || d.report.Busy || d.report.Leaving || len(d.service.Engine.Models) == 0 || len(d.orders) > 0 {
		return
	}
	d.orders = append(d.orders, Order{Load: true, Model: d.modelToLoad()})
}

// modelToLoad prefers one of which the engine keeps a copy: it is there sooner
// and costs the weight store nothing.
func (d *duty) modelToLoad() string {
	for _, m := range d.service.Engine.Models {
		if slices.Contains(d.report.OnDisk, m.Name) {
			return m.Name
		}
	}
	return d.service.Engine.Models[0].Name
}

// perform carries out what the table decided.
func (d *duty) perform(actions []residency.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case residency.Start:
			d.answer(a.ID, wire.StartReply{Start: true, Version: a.Version})
		case residency.Refuse:
			d.log.Info("start refused", zap.String("request", a.ID), zap.String("reason", string(a.Reason)))
			d.answer(a.ID, wire.StartReply{Reason: string(a.Reason)})
		case residency.Load:
			model, adapter, _ := strings.Cut(a.Adapter, "/")
			d.orders = append(d.orders, Order{Load: true, Model: model, Adapter: adapter, Version: a.Version})
		case residency.Unload:
			model, adapter, _ := strings.Cut(a.Adapter, "/")
			d.orders = append(d.orders, Order{Model: model, Adapter: adapter})
		}
	}
}

func (d *duty) answer(id string, reply wire.StartReply) {
	if waiter := d.waiters[id]; waiter != nil {
		delete(d.waiters, id)
		waiter <- reply
	}
}

// giveOrders gives the orders that wait, one after the other: each names the
// count that the one before leaves.
func (d *duty) giveOrders(ctx context.Context) {
	for len(d.orders) > 0 && d.known {
		order := d.orders[0]
		if d.unanswered != nil {
			// Until a newer order is accepted the unanswered one may still be
			// carried out; the same order again settles both.
			order = *d.unanswered
		} else {
			d.orders = d.orders[1:]
		}
		if !d.give(ctx, order) {
			return
		}
	}
}

// give reports whether further orders may follow at once.
func (d *duty) give(ctx context.Context, order Order) bool {
	order.Sequence, order.Holder, order.Token = d.sequence, d.options.Name, d.token
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result, err := d.engine.Order(ctx, order)
	d.log.Debug("order", zap.Bool("load", order.Load), zap.String("model", order.Model), zap.String("adapter", order.Adapter), zap.Int64("version", order.Version),
		zap.Int64("sequence", order.Sequence), zap.Uint8("result", uint8(result)), zap.Error(err))
	name := order.Model + "/" + order.Adapter
	now := time.Now()
	d.unanswered = nil
	switch result {
	case OrderAccepted, OrderDone:
		if result == OrderAccepted || !order.Load {
			d.sequence++
		}
		if !order.Load && result == OrderDone {
			d.perform(d.table.Unloaded(name, now))
		}
		return true
	case OrderUnknown:
		d.unanswered = &order
		d.log.Warn("an order got no answer", zap.String("adapter", name), zap.Bool("load", order.Load), zap.Error(err))
		return false
	case OrderFenced:
		d.token += fenceStep
	}
	d.log.Info("an order was refused", zap.String("adapter", name), zap.Bool("load", order.Load), zap.Uint8("result", uint8(result)), zap.Int64("sequence", order.Sequence))
	if result == OrderConflict {
		// The count moved on without this agent knowing: the next report tells.
		d.resync(ctx)
	}
	d.perform(d.table.Ordered(name, false, now))
	return false
}

// fenceStep raises the fencing number past one that an earlier start of this
// agent used under a clock that ran ahead.
const fenceStep = 1 << 32

// resync takes the count from the engine.
func (d *duty) resync(ctx context.Context) {
	report, err := d.engine.Report(ctx)
	if err == nil {
		d.sequence = report.Sequence
	}
}
