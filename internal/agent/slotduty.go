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
	// settleTime is how long after its start an agent distrusts the engine's
	// word that an adapter is idle: the report lags, and may be older than
	// the last requests of the agent before.
	settleTime = 2 * time.Second
	// loadTimeGain is the weight of a new measurement of the load time.
	loadTimeGain = 0.2
)

// event is an input of the slot duty.
type event interface {
	apply(d *slotDuty, now time.Time) []slots.Action
}

type requested struct {
	id  slots.RequestID
	ref catalogue.Ref
	// source is the adapter's place in the weight store, as the entry knows it.
	source string
	weight float64
	// patient requests wait for a slot; others are declined when none is to be had.
	patient bool
	reply   chan<- verdict
}

type (
	cancelled   struct{ id slots.RequestID }
	released    struct{ id slots.RequestID }
	adapterLost struct{ ref catalogue.Ref }
	engineSeen  struct{ report engineReport }
	// engineFull is the report after an engine refused a load for want of a slot.
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

// pendingReply is where a waiting request's verdict goes.
type pendingReply struct {
	reply chan<- verdict
	ref   catalogue.Ref
	since time.Time
}

// slotDuty owns the slot table; no other goroutine touches it. It never waits
// for anything but its rings.
type slotDuty struct {
	// stalls are those of recent requests, for operators.
	stalls      stallMeter
	agent       *Agent
	table       *slots.Table
	replies     map[slots.RequestID]pendingReply
	sources     map[catalogue.Ref]string
	asked       map[slots.OrderID]time.Time
	loadTime    time.Duration
	capacity    int
	incarnation uint64
	adopted     time.Time
}

func (a *Agent) runSlots(ctx context.Context) {
	defer close(a.stopped)
	duty := &slotDuty{
		agent:   a,
		table:   slots.NewTable(slots.Options{Slots: a.options.Slots, Queue: a.options.Queue}),
		replies: make(map[slots.RequestID]pendingReply),
		sources: make(map[catalogue.Ref]string),
		asked:   make(map[slots.OrderID]time.Time),
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if e, ok := duty.next(ctx, ticker.C); ok {
			now := time.Now()
			duty.perform(ctx, e.apply(duty, now), now)
			duty.publish(now)
		}
	}
}

// next takes the next event, ends before requests.
func (d *slotDuty) next(ctx context.Context, tick <-chan time.Time) (event, bool) {
	select {
	case e := <-d.agent.ends:
		return e, true
	default:
	}
	select {
	case e := <-d.agent.ends:
		return e, true
	case e := <-d.agent.requests:
		return e, true
	case <-tick:
		return ticked{}, true
	case <-ctx.Done():
		return nil, false
	}
}

// sendEnd hands an event to the slot duty. It waits only while the ring is
// full, which the duty empties without ever waiting itself.
func (a *Agent) sendEnd(e event) {
	select {
	case a.ends <- e:
	case <-a.stopped:
	}
}

// sendCancel follows the request through the same ring: were it to overtake
// the request, the adapter would stay pinned for ever.
func (a *Agent) sendCancel(e cancelled) {
	select {
	case a.requests <- e:
	case <-a.stopped:
	}
}

func (d *slotDuty) publish(now time.Time) {
	report := d.table.Report(now)
	d.agent.status.Store(&membership.Load{
		Running:    report.Running,
		Waiting:    report.Waiting,
		Capacity:   d.capacity,
		Resident:   report.Resident,
		Loading:    report.Loading,
		Obtainable: report.Obtainable,
		VictimUse:  report.VictimUse,
		LoadMillis: int(d.loadTime.Milliseconds()),

		StallPercent: d.stalls.percent(),
		StallMillis:  d.stalls.millis(),
	})
}

func (d *slotDuty) perform(ctx context.Context, actions []slots.Action, now time.Time) {
	for _, action := range actions {
		switch action := action.(type) {
		case slots.Start:
			d.answer(action.Request, verdict{start: true}, now)
		case slots.Refuse:
			d.answer(action.Request, verdict{reason: action.Reason}, now)
		case slots.Ask:
			if _, again := d.asked[action.Order]; !again {
				d.asked[action.Order] = now
			}
			d.agent.permits.ask(action)
		case slots.Return:
			delete(d.asked, action.Order)
			d.agent.permits.giveBack(action.Order)
		case slots.Load:
			loadCount.Add(1)
			d.agent.permits.holding(action.Order)
			go d.agent.load(ctx, action, d.sources[action.Ref])
		case slots.Unload:
			unloadCount.Add(1)
			go d.agent.unload(ctx, action)
		}
	}
}

// answer gives a request its verdict, once; the channel has room for it.
func (d *slotDuty) answer(id slots.RequestID, v verdict, now time.Time) {
	pending, ok := d.replies[id]
	if !ok {
		return
	}
	delete(d.replies, id)
	d.stalls.note(now.Sub(pending.since))
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
	if refusedBy(err) == http.StatusConflict {
		// What the engine holds must be known before the load is planned anew.
		a.reconcile(ctx)
	}
	a.sendEnd(loadDone{action: action, err: err})
}

// reconcile finds the adapters that the engine holds and the table does not
// know: an order that hung may have been carried out after it was undone. The
// engine would refuse every load for want of a slot.
func (a *Agent) reconcile(ctx context.Context) {
	if report, err := a.orders.report(ctx); err == nil {
		a.sendEnd(engineFull{report: report})
	}
}

func (a *Agent) unload(ctx context.Context, action slots.Unload) {
	err := a.orders.unload(ctx, action.Ref)
	if refusedBy(err) == http.StatusNotFound {
		err = nil
	}
	if err != nil {
		unloadFailedCount.Add(1)
		a.log.Warn("adapter unload failed", zap.Stringer("adapter", action.Ref), zap.Error(err))
	}
	a.sendEnd(unloadDone{action: action, err: err})
}

type ticked struct{}

func (ticked) apply(d *slotDuty, now time.Time) []slots.Action { return d.table.Tick(now) }

func (e requested) apply(d *slotDuty, now time.Time) []slots.Action {
	d.replies[e.id] = pendingReply{reply: e.reply, ref: e.ref, since: now}
	d.sources[e.ref] = e.source
	d.forgetSources()
	return d.table.Request(slots.Claim{Request: e.id, Ref: e.ref, Weight: e.weight, Patient: e.patient}, now)
}

// forgetSources keeps only the sources of adapters that requests wait for,
// once there are many: an agent may see every adapter of the catalogue.
func (d *slotDuty) forgetSources() {
	if len(d.sources) <= 2*(d.agent.options.Queue+d.agent.options.Slots) {
		return
	}
	kept := make(map[catalogue.Ref]string, len(d.replies))
	for _, pending := range d.replies {
		kept[pending.ref] = d.sources[pending.ref]
	}
	d.sources = kept
}

func (e cancelled) apply(d *slotDuty, now time.Time) []slots.Action {
	delete(d.replies, e.id)
	return append(d.table.Cancel(e.id, now), d.table.Release(e.id, now)...)
}

func (e released) apply(d *slotDuty, now time.Time) []slots.Action { return d.table.Release(e.id, now) }

func (e adapterLost) apply(d *slotDuty, now time.Time) []slots.Action {
	return d.table.AdapterMissing(e.ref, now)
}

func (e permitted) apply(d *slotDuty, now time.Time) []slots.Action {
	return d.table.Granted(e.order, now)
}

func (e loadDone) apply(d *slotDuty, now time.Time) []slots.Action {
	asked, known := d.asked[e.action.Order]
	switch refused := refusedBy(e.err); {
	case refused == http.StatusConflict:
		return d.table.LoadFull(e.action.Order, now)
	case e.err != nil:
		return d.table.LoadFailed(e.action.Order, refused != 0, now)
	}
	if known {
		d.loadTime += time.Duration(loadTimeGain * float64(now.Sub(asked)-d.loadTime))
	}
	d.agent.permits.finished(e.action.Order)
	return d.table.Loaded(e.action.Order, now)
}

func (e unloadDone) apply(d *slotDuty, now time.Time) []slots.Action {
	if e.err != nil {
		return d.table.UnloadFailed(e.action.Order, now)
	}
	return d.table.Unloaded(e.action.Order, now)
}

// apply takes an engine's report. The first shows what an earlier agent left
// behind; another incarnation means that the engine is empty.
func (e engineSeen) apply(d *slotDuty, now time.Time) []slots.Action {
	d.capacity = e.report.Capacity
	switch {
	case d.incarnation == 0:
		d.incarnation = e.report.Incarnation
		d.adopt(e.report, now)
		return nil
	case d.incarnation != e.report.Incarnation:
		d.incarnation = e.report.Incarnation
		engineRestartCount.Add(1)
		d.agent.log.Info("engine restarted", zap.Uint64("incarnation", e.report.Incarnation))
		actions := d.table.EngineRestarted()
		// Until the restart was noticed, requests may have loaded adapters
		// again and run on them; the engine's list says which.
		d.adopt(e.report, now)
		return actions
	case now.Sub(d.adopted) < settleTime:
		return nil
	default:
		return d.table.InUse(d.inUse(e.report), now)
	}
}

// adopt takes over what the engine holds, pinned until the engine has said for
// certain that it serves nothing on it.
func (d *slotDuty) adopt(report engineReport, now time.Time) {
	d.adopted = now
	for _, name := range report.Adapters {
		ref, err := catalogue.ParseRef(name)
		if err != nil {
			continue
		}
		adoptedCount.Add(1)
		d.table.Adopt(ref, true)
	}
}

func (e engineFull) apply(d *slotDuty, now time.Time) []slots.Action {
	if e.report.Incarnation == d.incarnation {
		d.adopt(e.report, now)
	}
	return nil
}

// inUse reads which adapters serve requests. An engine that does not tell by
// adapter is taken at its total: beyond this agent's own requests, any adopted
// adapter may be in use.
func (d *slotDuty) inUse(report engineReport) []catalogue.Ref {
	if report.InUse == nil && report.Running > d.table.Report(d.adopted).Running {
		return d.table.Report(d.adopted).Resident
	}
	refs := make([]catalogue.Ref, 0, len(report.InUse))
	for _, name := range report.InUse {
		if ref, err := catalogue.ParseRef(name); err == nil {
			refs = append(refs, ref)
		}
	}
	return slices.Clip(refs)
}
