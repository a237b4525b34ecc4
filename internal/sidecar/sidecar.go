package sidecar

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/backoff"
	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/residency"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
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
	// Permit asks which model an engine that holds none may load, empty when it
	// must ask again; onDisk are those of which it keeps a copy, since is when the
	// asking began. Without it none is asked for.
	Permit func(ctx context.Context, service string, onDisk []string, since time.Time) string
}

const (
	// busyPoll and idlePoll are the pauses between reports. The engine is on
	// the same machine: a report is fresh and costs it nothing.
	busyPoll = 50 * time.Millisecond
	idlePoll = 200 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 500 * time.Millisecond
	// orderTimeout bounds an order's answer, which comes at once: an engine that
	// has not answered by then may carry the order out seconds later.
	orderTimeout = 60 * time.Millisecond
	// callRing bounds the calls that wait for the duty.
	callRing = 1024
	// maxQueue bounds the requests that wait for a start, as a multiple of the
	// batch: more could not start before their callers give up.
	maxQueue = 8
	// loadsAtOnce is how many adapters are on their way to one engine. The store
	// gives all engines the same in sum beyond its knee, where one after the other
	// would bring the first ones sooner; below it two come in the time of one.
	loadsAtOnce = 2
	// guessedLoad stands for the time of a load until one was seen.
	guessedLoad = 280 * time.Millisecond
	// loadWeight is the weight of the newest load in their usual time.
	loadWeight = 0.4
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
	table    *residency.Table
	service  *route.Service
	index    uint64
	report   Report
	known    bool
	sequence int64
	token    int64
	waiters  map[string]chan<- wire.StartReply
	// tries are the tries that hold a start or wait for one, by request.
	tries  map[string]int
	orders []Order
	// unanswered is the order whose fate is unknown.
	unanswered *Order
	// silence is how long orders have had no answer.
	silence backoff.Trouble
	// Reports and orders are asked for beside the duty, one of each at a time:
	// an engine that does not answer must not hold up the starts of requests.
	reports  chan reported
	results  chan ordered
	ordering bool
	// ordered are the loads under way.
	ordered map[string]orderedLoad
	// loadTime is what loads from the store took lately, kept what the engine keeps
	// in its own memory.
	loadTime time.Duration
	kept     dispatch.Held
	// emptySince is since when the engine holds no model; asking is true while a
	// permit to load one is asked for, permitted is the model that it named.
	emptySince time.Time
	asking     bool
	permitted  string
	// askAgain is when a permit may be asked for again.
	askAgain time.Time
	// summed is when the engine was last summed up in the log.
	summed time.Time
}

// orderedLoad is a load that the engine has accepted.
type orderedLoad struct {
	at time.Time
	// near is true for one from the engine's own memory.
	near bool
}

// reported is the result of a report, ordered that of an order.
type reported struct {
	asked  time.Time
	report Report
	err    error
}

type ordered struct {
	order  Order
	result OrderResult
	err    error
}

// Run works until ctx ends.
func (s *Sidecar) Run(ctx context.Context) {
	d := &duty{
		Sidecar: s, token: time.Now().UnixMilli(), waiters: make(map[string]chan<- wire.StartReply), tries: make(map[string]int),
		table:   residency.New(residency.Options{Queue: 1}),
		reports: make(chan reported, 1), results: make(chan ordered, 1), ordered: make(map[string]orderedLoad), loadTime: guessedLoad,
	}
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
			go d.ask(ctx)
		case r := <-d.reports:
			d.take(ctx, r)
			timer.Reset(d.pause())
		case r := <-d.results:
			d.ordering = false
			d.finish(r)
		case <-turn.C:
			d.perform(d.table.Tick(time.Now()))
		}
		if next := d.table.Next(); !next.IsZero() {
			turn.Reset(max(time.Until(next), time.Millisecond))
		}
		d.giveOrder(ctx)
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
	if !current.Usable() || current.State.Index == d.index {
		return
	}
	d.index = current.State.Index
	d.setOptions(current.Table)
	for adapter, version := range current.State.Adapters {
		d.perform(d.table.Named(adapter, version, now))
	}
}

// setOptions tells the table what the engine is, and what the store bears.
func (d *duty) setOptions(table *route.Table) {
	service := table.Service(d.options.Service)
	if service != nil && service.Engine != nil {
		d.service = service
		d.table.SetOptions(residency.Options{
			Places: service.Engine.AdapterSlots, Batch: service.Engine.Batch, MemoryTokens: service.Engine.MemoryTokens,
			Loads: loadsAtOnce, Queue: maxQueue * service.Engine.Batch, Grace: d.options.VersionGrace,
		})
	}
}

// ask asks the engine for its report.
func (d *duty) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := time.Now()
	report, err := d.engine.Report(ctx)
	d.reports <- reported{asked: asked, report: report, err: err}
}

// take takes the engine's report.
func (d *duty) take(ctx context.Context, r reported) {
	report, now := r.report, time.Now()
	if r.err != nil {
		if d.known {
			d.log.Warn("the engine does not report", telemetry.Cause(r.err))
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
	d.report, d.known = report, true
	d.noteLoaded(now)
	d.kept.Take(slices.Collect(maps.Keys(report.Adapters)))
	d.forgetTries()
	if !d.ordering {
		d.sequence = report.Sequence
	}
	if report.Leaving {
		d.perform(d.table.Leave())
	}
	runs := make(map[string]bool, len(report.Runs))
	for _, id := range report.Runs {
		runs[id] = true
	}
	d.perform(d.table.Take(residency.Report{Held: report.Adapters, Coming: report.Coming, Runs: runs, Waiting: report.Waiting, Asked: r.asked}, now))
	d.provideModel(ctx, now)
}

// loadLatency is what loads of adapters took.
var loadLatency = telemetry.LatencyOf("sidecar_load_millis")

// noteLoaded logs how long the adapters that are there now took.
func (d *duty) noteLoaded(now time.Time) {
	for name, load := range d.ordered {
		if _, held := d.report.Adapters[name]; !held {
			continue
		}
		delete(d.ordered, name)
		took := now.Sub(load.at)
		if !load.near {
			d.loadTime += time.Duration(loadWeight * float64(took-d.loadTime))
		}
		loadLatency.Record(took)
		d.log.Info("adapter loaded", zap.String("adapter", name), zap.Duration("took", took), zap.Bool("near", load.near), zap.Int("coming", len(d.report.Coming)), zap.Int("waiting", d.table.Waiting()))
	}
}

// forgetTries drops the tries of requests whose end was never told.
func (d *duty) forgetTries() {
	for id := range d.tries {
		if d.waiters[id] == nil && !d.table.Started(id) {
			delete(d.tries, id)
		}
	}
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
	clear(d.ordered)
	d.kept = dispatch.Held{}
	d.perform(d.table.Restarted())
}

// perform carries out what the table decided.
func (d *duty) perform(actions []residency.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case residency.Start:
			d.answer(a.ID, wire.StartReply{Start: true, Version: a.Version})
		case residency.Refuse:
			delete(d.tries, a.ID)
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
