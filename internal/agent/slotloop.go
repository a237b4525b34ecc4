package agent

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/slots"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

var (
	loadCount          = telemetry.Counter("agent_loads")
	loadFailedCount    = telemetry.Counter("agent_loads_failed")
	unloadCount        = telemetry.Counter("agent_unloads")
	unloadFailedCount  = telemetry.Counter("agent_unloads_failed")
	stalledCount       = telemetry.Counter("agent_requests_stalled")
	stallMillis        = telemetry.Counter("agent_stall_millis")
	engineRestartCount = telemetry.Counter("agent_engine_restarts")
	adoptedCount       = telemetry.Counter("agent_adapters_adopted")
)

const (
	tickInterval = 100 * time.Millisecond
	// settleTime is how long after adopting adapters an agent ignores the
	// engine's reports that an adapter is idle. Reports lag behind, and may be
	// older than the last requests of the previous agent.
	settleTime = 2 * time.Second
	// loadTimeGain is the weight of a new measurement in the moving average of
	// the load time.
	loadTimeGain = 0.2
)

// event is an input to the slot loop.
type event interface {
	apply(l *slotLoop, now time.Time) []slots.Action
}

type requested struct {
	id  slots.RequestID
	ref catalogue.Ref
	// source is the adapter's location in the weight store, as known to the
	// entry.
	source string
	weight float64
	// waitForSlot makes the request wait for a slot. Otherwise it is declined if
	// no slot is obtainable.
	waitForSlot bool
	reply       chan<- verdict
}

type (
	cancelled      struct{ id slots.RequestID }
	released       struct{ id slots.RequestID }
	adapterLost    struct{ ref catalogue.Ref }
	engineReported struct{ report engineReport }
	// engineFull is the report after an engine refused a load because it had no
	// free slot.
	engineFull struct{ report engineReport }
	permitted  struct{ order slots.OrderID }
	loadDone   struct {
		action slots.Load
		err    error
	}
	unloadDone struct {
		action slots.Unload
		err    error
	}
)

// verdict tells a waiting request whether it may run.
type verdict struct {
	start  bool
	reason slots.Reason
}

// pendingReply is the reply channel of a waiting request.
type pendingReply struct {
	reply chan<- verdict
	ref   catalogue.Ref
	since time.Time
}

// slotLoop is the state of the goroutine that owns the slot table. No other
// goroutine accesses the table. The loop never blocks except to wait for events.
type slotLoop struct {
	// stalls averages the load stalls of recent requests, for operators.
	stalls      stallMeter
	agent       *Agent
	table       *slots.Table
	replies     map[slots.RequestID]pendingReply
	sources     map[catalogue.Ref]string
	requestedAt map[slots.OrderID]time.Time
	loadTime    time.Duration
	capacity    int
	incarnation uint64
	adoptedAt   time.Time
}

func (a *Agent) runSlots(ctx context.Context) {
	defer close(a.stopped)
	loop := &slotLoop{
		agent:       a,
		table:       slots.NewTable(slots.Options{Slots: a.options.Slots, Queue: a.options.Queue}),
		replies:     make(map[slots.RequestID]pendingReply),
		sources:     make(map[catalogue.Ref]string),
		requestedAt: make(map[slots.OrderID]time.Time),
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if e, ok := loop.next(ctx, ticker.C); ok {
			now := time.Now()
			loop.perform(ctx, e.apply(loop, now), now)
			loop.publish(now)
		}
	}
}

// next returns the next event, priority events first.
func (l *slotLoop) next(ctx context.Context, tick <-chan time.Time) (event, bool) {
	select {
	case e := <-l.agent.priorityEvents:
		return e, true
	default:
	}
	select {
	case e := <-l.agent.priorityEvents:
		return e, true
	case e := <-l.agent.requests:
		return e, true
	case <-tick:
		return ticked{}, true
	case <-ctx.Done():
		return nil, false
	}
}

// sendPriority sends an event to the slot loop. It blocks only while the queue
// is full, and the loop drains the queue without blocking.
func (a *Agent) sendPriority(e event) {
	select {
	case a.priorityEvents <- e:
	case <-a.stopped:
	}
}

// sendCancel sends a cancellation through the same queue as the request. If it
// overtook the request, the adapter would stay pinned forever.
func (a *Agent) sendCancel(e cancelled) {
	select {
	case a.requests <- e:
	case <-a.stopped:
	}
}

func (l *slotLoop) publish(now time.Time) {
	report := l.table.Report(now)
	l.agent.status.Store(&membership.Load{
		Running:    report.Running,
		Waiting:    report.Waiting,
		Capacity:   l.capacity,
		Resident:   report.Resident,
		Loading:    report.Loading,
		Obtainable: report.Obtainable,
		VictimUse:  report.VictimUse,
		LoadMillis: int(l.loadTime.Milliseconds()),

		StallPercent: l.stalls.percent(),
		StallMillis:  l.stalls.millis(),
	})
}

func (l *slotLoop) perform(ctx context.Context, actions []slots.Action, now time.Time) {
	for _, action := range actions {
		switch action := action.(type) {
		case slots.Start:
			l.answer(action.Request, verdict{start: true}, now)
		case slots.Refuse:
			l.answer(action.Request, verdict{reason: action.Reason}, now)
		case slots.PermitRequest:
			if _, known := l.requestedAt[action.Order]; !known {
				l.requestedAt[action.Order] = now
			}
			l.agent.permits.request(action)
		case slots.Return:
			delete(l.requestedAt, action.Order)
			l.agent.permits.release(action.Order)
		case slots.Load:
			loadCount.Add(1)
			l.agent.permits.loadStarted(action.Order)
			go l.agent.load(ctx, action, l.sources[action.Ref])
		case slots.Unload:
			unloadCount.Add(1)
			go l.agent.unload(ctx, action)
		}
	}
}

// answer sends the verdict on a request, at most once. It does not block,
// because the channel is buffered.
func (l *slotLoop) answer(id slots.RequestID, v verdict, now time.Time) {
	pending, ok := l.replies[id]
	if !ok {
		return
	}
	delete(l.replies, id)
	l.stalls.observe(now.Sub(pending.since))
	if waited := now.Sub(pending.since); waited > 0 {
		stalledCount.Add(1)
		stallMillis.Add(waited.Milliseconds())
	}
	pending.reply <- v
}

func (a *Agent) load(ctx context.Context, action slots.Load, source string) {
	err := a.orders.load(ctx, action.Ref, source)
	if err != nil {
		loadFailedCount.Add(1)
		a.log.Warn("adapter load failed", zap.Stringer("adapter", action.Ref), zap.Error(err))
	}
	if refusalStatus(err) == http.StatusConflict {
		// The adapters that the engine holds must be known before the load is
		// planned again.
		a.reconcile(ctx)
	}
	a.sendPriority(loadDone{action: action, err: err})
}

// reconcile finds adapters that the engine holds but the table does not know,
// such as after an order that timed out and was carried out after its undo.
// Without it, the engine would refuse every load because it has no free slot.
func (a *Agent) reconcile(ctx context.Context) {
	if report, err := a.orders.report(ctx); err == nil {
		a.sendPriority(engineFull{report: report})
	}
}

func (a *Agent) unload(ctx context.Context, action slots.Unload) {
	err := a.orders.unload(ctx, action.Ref)
	if refusalStatus(err) == http.StatusNotFound {
		err = nil
	}
	if err != nil {
		unloadFailedCount.Add(1)
		a.log.Warn("adapter unload failed", zap.Stringer("adapter", action.Ref), zap.Error(err))
	}
	a.sendPriority(unloadDone{action: action, err: err})
}

type ticked struct{}

func (ticked) apply(l *slotLoop, now time.Time) []slots.Action { return l.table.Tick(now) }

func (e requested) apply(l *slotLoop, now time.Time) []slots.Action {
	l.replies[e.id] = pendingReply{reply: e.reply, ref: e.ref, since: now}
	l.sources[e.ref] = e.source
	l.pruneSources()
	return l.table.Request(slots.Claim{Request: e.id, Ref: e.ref, Weight: e.weight, WaitForSlot: e.waitForSlot}, now)
}

// pruneSources drops the sources of all adapters that no request waits for,
// once the map is large. Otherwise the map could grow to the size of the
// catalogue.
func (l *slotLoop) pruneSources() {
	if len(l.sources) <= 2*(l.agent.options.Queue+l.agent.options.Slots) {
		return
	}
	kept := make(map[catalogue.Ref]string, len(l.replies))
	for _, pending := range l.replies {
		kept[pending.ref] = l.sources[pending.ref]
	}
	l.sources = kept
}

func (e cancelled) apply(l *slotLoop, now time.Time) []slots.Action {
	delete(l.replies, e.id)
	return append(l.table.Cancel(e.id, now), l.table.Release(e.id, now)...)
}

func (e released) apply(l *slotLoop, now time.Time) []slots.Action { return l.table.Release(e.id, now) }

func (e adapterLost) apply(l *slotLoop, now time.Time) []slots.Action {
	return l.table.AdapterMissing(e.ref, now)
}

func (e permitted) apply(l *slotLoop, now time.Time) []slots.Action {
	return l.table.Granted(e.order, now)
}

func (e loadDone) apply(l *slotLoop, now time.Time) []slots.Action {
	requestedAt, known := l.requestedAt[e.action.Order]
	switch status := refusalStatus(e.err); {
	case status == http.StatusConflict:
		return l.table.LoadFull(e.action.Order, now)
	case e.err != nil:
		return l.table.LoadFailed(e.action.Order, status != 0, now)
	}
	if known {
		l.loadTime += time.Duration(loadTimeGain * float64(now.Sub(requestedAt)-l.loadTime))
	}
	l.agent.permits.loadFinished(e.action.Order)
	return l.table.Loaded(e.action.Order, now)
}

func (e unloadDone) apply(l *slotLoop, now time.Time) []slots.Action {
	if e.err != nil {
		return l.table.UnloadFailed(e.action.Order, now)
	}
	return l.table.Unloaded(e.action.Order, now)
}

// apply processes an engine's report. The first report shows which adapters an
// earlier agent left loaded. A changed incarnation means that the engine has
// restarted and is empty.
func (e engineReported) apply(l *slotLoop, now time.Time) []slots.Action {
	l.capacity = e.report.Capacity
	switch {
	case l.incarnation == 0:
		l.incarnation = e.report.Incarnation
		l.adopt(e.report, now)
		return nil
	case l.incarnation != e.report.Incarnation:
		l.incarnation = e.report.Incarnation
		engineRestartCount.Add(1)
		l.agent.log.Info("engine restarted", zap.Uint64("incarnation", e.report.Incarnation))
		actions := l.table.EngineRestarted()
		// Before the restart was detected, requests may have loaded adapters
		// and may be running on them. The engine's report lists these adapters.
		l.adopt(e.report, now)
		return actions
	case now.Sub(l.adoptedAt) < settleTime:
		return nil
	default:
		return l.table.InUse(l.inUse(e.report), now)
	}
}

// adopt adds the adapters that the engine holds to the table. They stay pinned
// until the engine reports reliably that they serve no requests.
func (l *slotLoop) adopt(report engineReport, now time.Time) {
	l.adoptedAt = now
	for _, name := range report.Adapters {
		ref, err := catalogue.ParseRef(name)
		if err != nil {
			continue
		}
		adoptedCount.Add(1)
		l.table.Adopt(ref, true)
	}
}

func (e engineFull) apply(l *slotLoop, now time.Time) []slots.Action {
	if e.report.Incarnation == l.incarnation {
		l.adopt(e.report, now)
	}
	return nil
}

// inUse returns the adapters that serve requests. If the engine reports only a
// total number of running requests, and it exceeds this agent's own requests,
// any adopted adapter may be in use.
func (l *slotLoop) inUse(report engineReport) []catalogue.Ref {
	if report.InUse == nil && report.Running > l.table.Report(l.adoptedAt).Running {
		return l.table.Report(l.adoptedAt).Resident
	}
	refs := make([]catalogue.Ref, 0, len(report.InUse))
	for _, name := range report.InUse {
		if ref, err := catalogue.ParseRef(name); err == nil {
			refs = append(refs, ref)
		}
	}
	return slices.Clip(refs)
}
