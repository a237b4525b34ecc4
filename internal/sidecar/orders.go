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

// ensureModel loads a base model into an engine that holds none because it was just added or
// has restarted.
func (l *loop) ensureModel(ctx context.Context, now time.Time) {
	if len(l.report.Models) > 0 || l.report.Busy || l.report.Leaving || len(l.orders) > 0 || l.orderPending {
		l.emptySince = time.Time{}
		return
	}
	if l.emptySince.IsZero() {
		l.emptySince = now
	}
	if l.permitPending || now.Before(l.nextPermitAt) {
		return
	}
	if model := l.modelToLoad(); model != "" {
		l.permittedModel = ""
		l.orders = append(l.orders, Order{Load: true, Model: model})
		return
	}
	if l.service != nil && len(l.service.Engine.Models) > 0 {
		l.requestPermit(ctx)
	}
}

// modelToLoad returns the model that can be loaded without a further permit: the permitted one,
// or, if there is only one and the engine keeps a copy of it on disk, that one. The latter does
// not wait for the configuration, which arrives later after a power loss.
func (l *loop) modelToLoad() string {
	switch {
	case l.permittedModel != "":
		return l.permittedModel
	case l.service == nil:
		if len(l.report.OnDisk) == 1 {
			return l.report.OnDisk[0]
		}
		return ""
	case len(l.service.Engine.Models) == 1 || l.options.Permit == nil && len(l.service.Engine.Models) > 0:
		only := l.service.Engine.Models[0].Name
		if l.options.Permit == nil || slices.Contains(l.report.OnDisk, only) {
			return only
		}
	}
	return ""
}

// permitBackoff is the backoff of permit requests that are not granted. Engines that have lost
// their models at the same time all ask the same leader, and the store serves them one after
// the other.
var permitBackoff = backoff.Options{Initial: idlePoll / 2, Max: 2 * time.Second}

// orderBackoff is the backoff of an order that is not answered, measured from the start of one
// attempt to the start of the next.
var orderBackoff = backoff.Options{Initial: orderTimeout, Max: 500 * time.Millisecond}

// requestPermit requests a permit outside the event loop; the reply arrives through the queue
// of calls. It waits for room there: no other permit is requested before it has arrived.
func (l *loop) requestPermit(ctx context.Context) {
	l.permitPending = true
	since, onDisk := l.emptySince, slices.Clone(l.report.OnDisk)
	l.nextPermitAt = time.Now().Add(permitBackoff.Pause(time.Since(since), 0, rand.Float64()))
	go func() {
		model := l.options.Permit(ctx, l.options.Service, onDisk, since)
		select {
		case l.calls <- func(l *loop) { l.permitPending, l.permittedModel = false, model }:
		case <-ctx.Done():
		}
	}()
}

// sendNextOrder sends the next order. Only one order is pending at a time, because each names
// the order count that the previous one leaves.
func (l *loop) sendNextOrder(ctx context.Context) {
	if l.orderPending || !l.known {
		return
	}
	order, ok := l.nextOrder()
	if !ok {
		return
	}
	order.Sequence, order.Holder, order.Token, order.Engine = l.sequence, l.options.Name, l.token, l.currentEngine()
	l.unanswered, l.orderPending = nil, true
	sentAt := time.Now()
	retryAt := sentAt.Add(orderBackoff.Pause(l.orderFailures.Failed(sentAt), 0, 0))
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		result, err := l.engine.Order(callCtx, order)
		if result == OrderUnknown {
			// No report may be processed between this order and its repetition: both must name
			// the same order count, so that only one of them takes effect.
			_ = wait.For(ctx, time.Until(retryAt))
		}
		l.orderReplies <- orderReply{order: order, result: result, err: err}
	}()
}

// currentEngine returns the ID of the engine's current incarnation; empty while it is not known.
func (l *loop) currentEngine() string {
	if l.engineBorn != l.report.Born {
		return ""
	}
	return l.engineID
}

// learnEngine records the ID of an incarnation of the engine.
func (l *loop) learnEngine(id string, born int64) {
	if id != "" && born != 0 && born >= l.engineBorn {
		l.engineID, l.engineBorn = id, born
	}
}

// nextOrder returns the next order that the table still expects. One that waited while the engine
// did not report may have been forgotten, and its place given to another adapter.
func (l *loop) nextOrder() (Order, bool) {
	// Until a newer order is accepted, the unanswered one may still be carried out. Sending
	// the same order again settles both.
	if order := l.unanswered; order != nil && l.expects(order) {
		return *order, true
	}
	for len(l.orders) > 0 {
		order := l.orders[0]
		l.orders = l.orders[1:]
		if l.expects(&order) {
			return order, true
		}
	}
	return Order{}, false
}

// expects reports whether the table counts on an order about an adapter; those about the model
// itself are not in the table.
func (l *loop) expects(o *Order) bool {
	switch {
	case o.Adapter == "":
		return true
	case o.Load:
		return l.table.Loading(o.Model + "/" + o.Adapter)
	default:
		return l.table.Unloading(o.Model + "/" + o.Adapter)
	}
}

// handleOrderReply processes the result of an order.
func (l *loop) handleOrderReply(r orderReply) {
	order, now := r.order, time.Now()
	l.log.Info("order", zap.Bool("load", order.Load), zap.String("model", order.Model), zap.String("adapter", order.Adapter), zap.Int64("version", order.Version),
		zap.Int64("sequence", order.Sequence), zap.Int64("token", order.Token), zap.String("engine", order.Engine), zap.Int64("born", l.report.Born),
		zap.Int64("reported", l.report.Sequence), zap.Uint8("result", uint8(r.result)), telemetry.Cause(r.err))
	name := order.Model + "/" + order.Adapter
	if r.result != OrderUnknown {
		l.orderFailures.Succeeded()
		l.answeredAt = now
	}
	switch r.result {
	case OrderAccepted, OrderDone:
		if r.result == OrderAccepted || !order.Load {
			l.sequence++
		}
		if order.Load && r.result == OrderAccepted && order.Adapter != "" {
			l.loads[name] = pendingLoad{at: now, cached: l.cached.Recent(name)}
		}
		if !order.Load && r.result == OrderDone {
			l.perform(l.table.Unloaded(name, now))
		}
		return
	case OrderUnknown:
		if order.Sequence >= l.sequence {
			l.unanswered = &order
		}
		return
	case OrderFenced:
		l.token += fenceStep
	}
	l.perform(l.table.OrderAnswered(name, false, now))
}

// fenceStep raises the fencing number past one that an earlier run of this agent used under a
// clock that was ahead.
const fenceStep = 1 << 32
