package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/backoff"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

// provideModel loads a base model into an engine that holds none: one that was
// added, or that restarted.
func (d *duty) provideModel(ctx context.Context, now time.Time) {
	if len(d.report.Models) > 0 || d.report.Busy || d.report.Leaving || len(d.orders) > 0 || d.ordering {
		d.emptySince = time.Time{}
		return
	}
	if d.emptySince.IsZero() {
		d.emptySince = now
	}
	if d.asking || now.Before(d.askAgain) {
		return
	}
	if model := d.modelAtOnce(); model != "" {
		d.permitted = ""
		d.orders = append(d.orders, Order{Load: true, Model: model})
		return
	}
	if d.service != nil && len(d.service.Engine.Models) > 0 {
		d.askPermit(ctx)
	}
}

// modelAtOnce is the model that can be loaded without asking: the one that was
// permitted, and the only one there is when the engine keeps a copy of it. That
// does not wait for the configuration: after a loss of power it comes later.
func (d *duty) modelAtOnce() string {
	switch {
	case d.permitted != "":
		return d.permitted
	case d.service == nil:
		if len(d.report.OnDisk) == 1 {
			return d.report.OnDisk[0]
		}
		return ""
	case len(d.service.Engine.Models) == 1 || d.options.Permit == nil && len(d.service.Engine.Models) > 0:
		only := d.service.Engine.Models[0].Name
		if d.options.Permit == nil || slices.Contains(d.report.OnDisk, only) {
			return only
		}
	}
	return ""
}

// permitTries are the questions for a permit while it is not given: engines that
// have lost their models together all ask the same leader, and the store gives them
// one after the other.
var permitTries = backoff.Options{First: idlePoll / 2, Most: 2 * time.Second}

// orderTries are the tries at an order that gets no answer, from the beginning of one
// to that of the next.
var orderTries = backoff.Options{First: orderTimeout, Most: 500 * time.Millisecond}

// askPermit asks beside the duty; the answer comes through the ring of calls.
func (d *duty) askPermit(ctx context.Context) {
	d.asking = true
	since, onDisk := d.emptySince, slices.Clone(d.report.OnDisk)
	d.askAgain = time.Now().Add(permitTries.Pause(time.Since(since), 0, rand.Float64()))
	go func() {
		model := d.options.Permit(ctx, d.options.Service, onDisk, since)
		_ = d.submit(func(d *duty) { d.asking, d.permitted = false, model })
	}()
}

// giveOrder gives the next order, one at a time: each names the count that the
// one before leaves.
func (d *duty) giveOrder(ctx context.Context) {
	if d.ordering || !d.known {
		return
	}
	var order Order
	switch {
	case d.unanswered != nil:
		// Until a newer order is accepted the unanswered one may still be carried
		// out; the same order again settles both.
		order = *d.unanswered
	case len(d.orders) > 0:
		order = d.orders[0]
		d.orders = d.orders[1:]
	default:
		return
	}
	order.Sequence, order.Holder, order.Token = d.sequence, d.options.Name, d.token
	d.unanswered, d.ordering = nil, true
	began := time.Now()
	again := began.Add(orderTries.Pause(d.silence.Failed(began), 0, 0))
	go func() {
		limited, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		result, err := d.engine.Order(limited, order)
		if result == OrderUnknown {
			// No report may come between this order and its repetition: that must name the
			// same count, so that only one of the two holds.
			_ = wait.For(ctx, time.Until(again))
		}
		d.results <- ordered{order: order, result: result, err: err}
	}()
}

// finish takes the result of an order.
func (d *duty) finish(r ordered) {
	order, now := r.order, time.Now()
	d.log.Info("order", zap.Bool("load", order.Load), zap.String("model", order.Model), zap.String("adapter", order.Adapter), zap.Int64("version", order.Version),
		zap.Int64("sequence", order.Sequence), zap.Uint8("result", uint8(r.result)), telemetry.Cause(r.err))
	name := order.Model + "/" + order.Adapter
	if r.result != OrderUnknown {
		d.silence.Over()
	}
	switch r.result {
	case OrderAccepted, OrderDone:
		if r.result == OrderAccepted || !order.Load {
			d.sequence++
		}
		if order.Load && r.result == OrderAccepted && order.Adapter != "" {
			d.ordered[name] = orderedLoad{at: now, near: d.kept.Near(name)}
		}
		if !order.Load && r.result == OrderDone {
			d.perform(d.table.Unloaded(name, now))
		}
		return
	case OrderUnknown:
		if order.Sequence >= d.sequence {
			d.unanswered = &order
		}
		return
	case OrderFenced:
		d.token += fenceStep
	}
	d.perform(d.table.Ordered(name, false, now))
}

// fenceStep raises the fencing number past one that an earlier start of this
// agent used under a clock that ran ahead.
const fenceStep = 1 << 32
