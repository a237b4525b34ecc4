package sidecar

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/backoff"
	"github.com/rosemarypass/rosemarypass/coord/capacity"
	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/residency"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Options configures the agent.
type Options struct {
	// Name is the holder named in all orders.
	Name string
	// Service is the service of the engine.
	Service string
	// VersionGrace is how long requests may still start on an outdated adapter. It is part of
	// the time within which a newly named version must be in force.
	VersionGrace time.Duration
	// Permit asks which model an engine that holds none may load; empty means that it must ask
	// again. onDisk are the models of which it keeps a copy, since is the time at which it
	// began to ask. If Permit is nil, no permit is needed.
	Permit func(ctx context.Context, service string, onDisk []string, since time.Time) string
}

const (
	// busyPoll and idlePoll are the intervals between reports. The engine runs on the same
	// machine, so a report is up to date and costs the engine nothing.
	busyPoll = 50 * time.Millisecond
	idlePoll = 200 * time.Millisecond
	// reportTimeout limits the time for a report.
	reportTimeout = 500 * time.Millisecond
	// orderTimeout limits the time for the answer to an order, which the engine sends
	// immediately. An engine that has not answered by then may carry out the order seconds
	// later.
	orderTimeout = 60 * time.Millisecond
	// callQueueSize limits the number of calls that wait for the event loop.
	callQueueSize = 1024
	// queuePerBatch limits the number of requests that wait for a start, as a multiple of the
	// batch size; more requests could not start before their callers give up.
	queuePerBatch = 8
	// maxConcurrentLoads is the number of adapters that one engine loads at the same time.
	// Beyond the saturation point of the store, its total throughput is constant and loading
	// one after the other would bring the first adapters sooner; below that point two loads
	// take the time of one.
	maxConcurrentLoads = 2
	// initialLoadTime is the assumed load time until a load has been measured.
	initialLoadTime = 280 * time.Millisecond
	// loadTimeWeight is the weight of the latest load in the moving average of the load time.
	loadTimeWeight = 0.4
)

// Sidecar is the agent.
type Sidecar struct {
	options   Options
	engine    Engine
	documents *mesh.Documents
	log       *zap.Logger
	calls     chan func(*loop)
	state     stateCell
}

// New returns an agent; Run starts it.
func New(options Options, engine Engine, documents *mesh.Documents, log *zap.Logger) *Sidecar {
	return &Sidecar{options: options, engine: engine, documents: documents, log: log, calls: make(chan func(*loop), callQueueSize), state: newStateCell()}
}

// loop owns the state of the agent.
type loop struct {
	*Sidecar
	table       *residency.Table
	service     *route.Service
	configIndex uint64
	report      Report
	// known is set while the engine reports, reported once it has.
	known    bool
	reported bool
	sequence int64
	// token is the fencing number of orders. Each incarnation of the engine gets a higher one.
	token int64
	// engineID names the engine's incarnation that was born at engineBorn, as told by the entries that
	// request starts on it; empty until one has.
	engineID   string
	engineBorn int64
	// answeredAt is when the last order was answered.
	answeredAt time.Time
	waiters    map[string]chan<- wire.StartReply
	// replies are sent once the state that they leave is published.
	replies []pendingReply
	// attempts holds the attempt number of each request that has a start or waits for one, by
	// request ID.
	attempts map[string]int
	orders   []Order
	// unanswered is the order with an unknown outcome.
	unanswered *Order
	// orderFailures tracks how long orders have gone unanswered.
	orderFailures backoff.Outage
	// Reports and orders are sent outside the event loop, one of each at a time: an engine that
	// does not answer must not delay the starts of requests.
	reports      chan reportResult
	orderReplies chan orderReply
	orderPending bool
	// loads are the loads in progress.
	loads map[string]pendingLoad
	// loadTime is the moving average of recent loads from the store. cached records the
	// adapters that the engine keeps in its own memory.
	loadTime time.Duration
	cached   dispatch.Held
	// emptySince is the time since which the engine has held no model. permitPending is set
	// while a permit to load one is requested; permittedModel is the model that the permit
	// named.
	emptySince     time.Time
	permitPending  bool
	permittedModel string
	// nextPermitAt is the earliest time for the next permit request.
	nextPermitAt time.Time
	// lastSummary is the time of the last summary in the log.
	lastSummary time.Time
	// held, heldToEnd and doubts are the table's totals of held prompts and of doubts of
	// the told speed that the counters already include.
	held, heldToEnd, doubts int
	// doubtLogged is set once a doubt was logged for this incarnation of the engine.
	doubtLogged bool
}

// pendingLoad is a load that the engine has accepted.
type pendingLoad struct {
	at time.Time
	// cached is set for a load from the engine's own memory.
	cached bool
}

// reportResult is the result of a report, orderReply that of an order.
type reportResult struct {
	sentAt time.Time
	report Report
	err    error
}

type orderReply struct {
	order  Order
	result OrderResult
	err    error
}

// Run runs the agent until ctx ends.
func (s *Sidecar) Run(ctx context.Context) {
	l := &loop{
		Sidecar: s, token: time.Now().UnixMilli(), waiters: make(map[string]chan<- wire.StartReply), attempts: make(map[string]int),
		table:   residency.New(residency.Options{Queue: 1}),
		reports: make(chan reportResult, 1), orderReplies: make(chan orderReply, 1), loads: make(map[string]pendingLoad), loadTime: initialLoadTime,
	}
	// Before the first report: an engine without a model gets one by the configuration, if that is
	// in force.
	l.configure(time.Now())
	timer := time.NewTimer(0)
	defer timer.Stop()
	tick := time.NewTimer(idlePoll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-s.calls:
			call(l)
		case <-s.documents.Changed():
			l.configure(time.Now())
		case <-timer.C:
			go l.requestReport(ctx)
		case r := <-l.reports:
			l.handleReport(ctx, r)
			timer.Reset(l.pollInterval())
		case r := <-l.orderReplies:
			l.orderPending = false
			l.handleOrderReply(r)
		case <-tick.C:
			l.perform(l.table.Tick(time.Now()))
		}
		if next := l.table.Next(); !next.IsZero() {
			tick.Reset(max(time.Until(next), time.Millisecond))
		}
		l.sendNextOrder(ctx)
		l.publish()
	}
}

func (l *loop) pollInterval() time.Duration {
	if l.table.Waiting() > 0 || l.table.Running() > 0 {
		return busyPoll
	}
	return idlePoll
}

// configure applies the configuration of the engine and its adapters.
func (l *loop) configure(now time.Time) {
	current := l.documents.Current()
	if !current.Usable() || current.State.Index == l.configIndex {
		return
	}
	l.configIndex = current.State.Index
	l.setOptions(current.Table)
	for adapter, version := range current.State.Adapters {
		l.perform(l.table.VersionAnnounced(adapter, version, now.Add(-current.VersionAge(adapter, now)), now))
	}
}

// setOptions passes the limits of the engine and of loads from the store to the table.
func (l *loop) setOptions(table *route.Table) {
	service := table.Service(l.options.Service)
	if service != nil && service.Engine != nil {
		l.service = service
		l.table.SetOptions(residency.Options{
			MaxAdapters: service.Engine.AdapterSlots, Batch: service.Engine.Batch, MemoryTokens: service.Engine.MemoryTokens,
			Loads: maxConcurrentLoads, Queue: queuePerBatch * service.Engine.Batch, Grace: l.options.VersionGrace,
			Speed: capacity.Options{OnlyIfTold: true}, Shares: table.HasTeams(),
		})
	}
}

// requestReport requests the engine's report.
func (l *loop) requestReport(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sentAt := time.Now()
	report, err := l.engine.Report(ctx)
	l.reports <- reportResult{sentAt: sentAt, report: report, err: err}
}

// handleReport processes the engine's report.
func (l *loop) handleReport(ctx context.Context, r reportResult) {
	report, now := r.report, time.Now()
	if r.err != nil {
		if l.known {
			l.log.Warn("engine report failed", telemetry.Cause(r.err))
			l.known = false
		}
		l.perform(l.table.Tick(now))
		return
	}
	l.configure(now)
	l.detectRestart(report)
	if !l.known {
		l.log.Info("the engine reports", zap.Int64("born", report.Born), zap.Strings("models", report.Models), zap.Int64("sequence", report.Sequence))
	}
	l.report, l.known, l.reported = report, true, true
	l.recordLoads(now)
	l.cached.Update(slices.Collect(maps.Keys(report.Adapters)))
	l.dropEndedAttempts()
	l.takeCount(report, r.sentAt)
	if report.Leaving {
		l.perform(l.table.Leave())
	}
	running := make(map[string]bool, len(report.RunningIDs))
	for _, id := range report.RunningIDs {
		running[id] = true
	}
	l.perform(l.table.Apply(residency.Report{Held: report.Adapters, Loading: report.Loading, Running: running, Events: report.Events, Waiting: report.Waiting, RequestedAt: r.sentAt}, now))
	l.countSpeed(now)
	l.ensureModel(ctx, now)
}

// takeCount takes over the engine's order count, unless the report may lack the effect of an order that was
// sent or answered since it was requested.
func (l *loop) takeCount(report Report, requestedAt time.Time) {
	if !l.orderPending && requestedAt.After(l.answeredAt) {
		l.sequence = report.Sequence
	}
}

// loadLatency is the latency of adapter loads.
var loadLatency = telemetry.LatencyOf("sidecar_load_millis")

// recordLoads records and logs the duration of the loads that have completed.
func (l *loop) recordLoads(now time.Time) {
	for name, load := range l.loads {
		if _, held := l.report.Adapters[name]; !held {
			continue
		}
		delete(l.loads, name)
		took := now.Sub(load.at)
		if !load.cached {
			l.loadTime += time.Duration(loadTimeWeight * float64(took-l.loadTime))
		}
		loadLatency.Record(took)
		l.log.Info("adapter loaded", zap.String("adapter", name), zap.Duration("took", took), zap.Bool("near", load.cached), zap.Int("coming", len(l.report.Loading)), zap.Int("waiting", l.table.Waiting()))
	}
}

// dropEndedAttempts removes the attempts of requests that have ended without the agent being
// notified.
func (l *loop) dropEndedAttempts() {
	for id := range l.attempts {
		if l.waiters[id] == nil && !l.table.Started(id) {
			delete(l.attempts, id)
		}
	}
}

// detectRestart discards the state of an earlier incarnation when the engine has restarted.
func (l *loop) detectRestart(report Report) {
	if !l.reported {
		return
	}
	if report.Born == l.report.Born && report.Sequence >= l.report.Sequence {
		return
	}
	// An order that got no answer from the earlier incarnation may still reach this one, when its order
	// count is the expected one again. The higher fencing number makes the engine reject it.
	l.token++
	l.log.Warn("the engine has restarted", zap.Int64("born", report.Born), zap.Int64("sequence", report.Sequence), zap.Int64("before", l.report.Sequence),
		zap.Int64("bornBefore", l.report.Born), zap.Int64("token", l.token))
	l.sequence, l.answeredAt = report.Sequence, time.Time{}
	l.orders, l.unanswered = nil, nil
	clear(l.loads)
	l.cached = dispatch.Held{}
	l.doubtLogged = false
	l.perform(l.table.Restarted())
}

// perform carries out the actions that the table decided on.
func (l *loop) perform(actions []residency.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case residency.Start:
			l.answer(a.ID, wire.StartReply{Start: true, Version: a.Version})
		case residency.Refuse:
			delete(l.attempts, a.ID)
			if a.Reason.Declined() {
				declinedCount.Add(1)
				l.answer(a.ID, wire.StartReply{Reason: string(a.Reason), Declined: true})
				continue
			}
			l.recordRefusal(a)
			l.answer(a.ID, wire.StartReply{Reason: string(a.Reason)})
		case residency.Load:
			model, adapter, _ := strings.Cut(a.Adapter, "/")
			l.orders = append(l.orders, Order{Load: true, Model: model, Adapter: adapter, Version: a.Version})
		case residency.Unload:
			model, adapter, _ := strings.Cut(a.Adapter, "/")
			l.orders = append(l.orders, Order{Model: model, Adapter: adapter})
		}
	}
}

// declinedCount counts the starts that were declined because their conditions were
// not met. They are not logged one by one: under load there are several a request.
var declinedCount = telemetry.Counter("sidecar_starts_declined")

// pendingReply is a reply that waits for the state to be published.
type pendingReply struct {
	to    chan<- wire.StartReply
	reply wire.StartReply
}

func (l *loop) answer(id string, reply wire.StartReply) {
	if waiter := l.waiters[id]; waiter != nil {
		delete(l.waiters, id)
		l.replies = append(l.replies, pendingReply{to: waiter, reply: reply})
	}
}

func (l *loop) sendReplies() {
	for _, r := range l.replies {
		r.to <- r.reply
	}
	clear(l.replies)
	l.replies = l.replies[:0]
}
