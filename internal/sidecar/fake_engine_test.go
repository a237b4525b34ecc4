package sidecar

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	testSlots = 2
	loadTime  = 250 * time.Millisecond
)

// fakeEngine carries out orders like an engine, and fails the test when it is ordered to hold
// more than it can.
type fakeEngine struct {
	t  *testing.T
	mu sync.Mutex
	// lostReplies is the number of orders that get no answer; each of them is carried out after
	// lostDelay.
	lostReplies int
	lostDelay   time.Duration
	born        int64
	sequence    int64
	models      []string
	onDisk      []string
	adapters    map[string]int64
	loading     map[string]int64
	orders      []Order
	silent      bool
	// down makes the engine refuse connections.
	down bool
	// resetOrders makes all orders fail at once with an unknown outcome; orderCalls counts
	// the orders.
	resetOrders bool
	orderCalls  int
	// staleCall is the number of the order that receives the late copy of an earlier order's
	// answer and is itself lost.
	staleCall int
	// loseReply, if set, decides whether an order gets no answer, and after which delay it is
	// carried out.
	loseReply func() (bool, time.Duration)
	// token is the highest fencing number seen, id the ID that orders must name if they name one.
	token int64
	id    string
	// rejected counts the orders with an outdated fencing number or another ID.
	rejected int
	// events, if set, returns the running requests and the events that they have made.
	events func(at time.Time) map[string]int
}

// errRefused is the error of a call to an engine that is down.
var errRefused = errors.New("the connection was refused")

// restart ends the engine for a time, after which it is back without adapters.
func (e *fakeEngine) restart(downtime time.Duration) {
	e.mu.Lock()
	e.down = true
	e.mu.Unlock()
	time.Sleep(downtime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down, e.sequence, e.token = false, 0, 0
	clear(e.adapters)
	clear(e.loading)
}

func newFakeEngine(t *testing.T) *fakeEngine {
	return &fakeEngine{t: t, born: 1, models: []string{"m"}, adapters: make(map[string]int64), loading: make(map[string]int64)}
}

func (e *fakeEngine) Report(ctx context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return Report{}, errRefused
	}
	if e.silent {
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return Report{}, ctx.Err()
	}
	report := Report{Born: e.born, Sequence: e.sequence, Models: e.models, OnDisk: e.onDisk, Adapters: maps.Clone(e.adapters), Loading: maps.Clone(e.loading)}
	if e.events != nil {
		report.Events = e.events(time.Now())
		report.RunningIDs = slices.Collect(maps.Keys(report.Events))
	}
	return report, nil
}

func (e *fakeEngine) Order(ctx context.Context, o Order) (OrderResult, error) {
	e.mu.Lock()
	e.orderCalls++
	if e.down {
		defer e.mu.Unlock()
		return OrderConflict, errRefused
	}
	if e.resetOrders {
		defer e.mu.Unlock()
		return OrderUnknown, errors.New("the connection was reset")
	}
	if e.staleCall > 0 && e.orderCalls == e.staleCall {
		defer e.mu.Unlock()
		return OrderAccepted, nil
	}
	lost, delay := e.lostReplies > 0, e.lostDelay
	if e.loseReply != nil {
		lost, delay = e.loseReply()
	}
	if lost {
		e.lostReplies--
		e.mu.Unlock()
		time.AfterFunc(delay, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.execute(o)
		})
		<-ctx.Done()
		return OrderUnknown, ctx.Err()
	}
	defer e.mu.Unlock()
	return e.execute(o), nil
}

// execute carries out an order. The caller holds mu.
func (e *fakeEngine) execute(o Order) OrderResult {
	if e.id != "" && o.Engine != "" && o.Engine != e.id {
		e.rejected++
		return OrderRefused
	}
	if o.Token < e.token {
		e.rejected++
		return OrderFenced
	}
	e.token = o.Token
	if o.Sequence != e.sequence {
		return OrderConflict
	}
	e.sequence++
	e.orders = append(e.orders, o)
	if o.Adapter == "" {
		e.models = append(e.models, o.Model)
		return OrderAccepted
	}
	name := o.Model + "/" + o.Adapter
	if !o.Load {
		delete(e.adapters, name)
		return OrderDone
	}
	e.loading[name] = o.Version
	if len(e.adapters)+len(e.loading) > testSlots {
		e.t.Errorf("the engine was ordered to hold %v and %v in %d slots", e.adapters, e.loading, testSlots)
	}
	born := e.born
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born {
			delete(e.loading, name)
			e.adapters[name] = o.Version
		}
	})
	return OrderAccepted
}

func (e *fakeEngine) accepted() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}
