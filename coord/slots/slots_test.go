package slots

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

func ref(i int) catalogue.Ref { return catalogue.Ref{Adapter: fmt.Sprintf("a%d", i), Version: "1"} }

type engineOrder struct {
	order       OrderID
	ref         catalogue.Ref
	unload      bool
	incarnation int
}

// modelEngine is a minimal model of an engine, its running requests and its orders in
// flight. It fails the test if an action is unsafe.
type modelEngine struct {
	t           *rapid.T
	table       *Table
	now         time.Time
	slots       int
	incarnation int
	loaded      map[catalogue.Ref]bool
	running     map[RequestID]catalogue.Ref
	foreign     map[catalogue.Ref]bool
	requested   []OrderID
	orders      []engineOrder
	late        []engineOrder
	requests    map[RequestID]catalogue.Ref
	answers     map[RequestID]int
	lastID      RequestID
}

func newModelEngine(t *rapid.T, options Options) *modelEngine {
	return &modelEngine{
		t: t, table: NewTable(options), now: time.Unix(0, 0), slots: options.Slots,
		loaded: map[catalogue.Ref]bool{}, running: map[RequestID]catalogue.Ref{}, foreign: map[catalogue.Ref]bool{},
		requests: map[RequestID]catalogue.Ref{}, answers: map[RequestID]int{},
	}
}

func (e *modelEngine) perform(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Start:
			e.start(a.Request)
		case Refuse:
			e.answer(a.Request)
		case PermitRequest:
			if !slices.Contains(e.requested, a.Order) {
				e.requested = append(e.requested, a.Order)
			}
		case Return:
			e.requested = slices.DeleteFunc(e.requested, func(o OrderID) bool { return o == a.Order })
			if slices.ContainsFunc(e.orders, func(o engineOrder) bool { return o.order == a.Order && !o.unload }) {
				e.t.Fatalf("the permit of a load in progress was given back")
			}
		case Load:
			e.order(engineOrder{order: a.Order, ref: a.Ref})
		case Unload:
			e.order(engineOrder{order: a.Order, ref: a.Ref, unload: true})
		}
	}
}

func (e *modelEngine) answer(id RequestID) {
	e.answers[id]++
	if e.answers[id] > 1 {
		e.t.Fatalf("request %d got two answers", id)
	}
}

func (e *modelEngine) start(id RequestID) {
	e.answer(id)
	r := e.requests[id]
	if !e.loaded[r] {
		e.t.Fatalf("request %d started on %s, which is not loaded", id, r)
	}
	if slices.ContainsFunc(e.orders, func(o engineOrder) bool { return o.ref == r }) {
		e.t.Fatalf("request %d started on %s, which has an order in flight", id, r)
	}
	e.running[id] = r
}

func (e *modelEngine) order(o engineOrder) {
	o.incarnation = e.incarnation
	for _, other := range e.orders {
		if other.ref == o.ref {
			e.t.Fatalf("two orders for %s at once", o.ref)
		}
	}
	if o.unload {
		for id, r := range e.running {
			if r == o.ref {
				e.t.Fatalf("%s is unloaded while request %d runs on it", r, id)
			}
		}
		if e.foreign[o.ref] {
			e.t.Fatalf("%s is unloaded while an earlier agent's request runs on it", o.ref)
		}
	}
	e.orders = append(e.orders, o)
	taken := len(e.loaded)
	for _, other := range e.orders {
		if !other.unload && !e.loaded[other.ref] {
			taken++
		}
	}
	if taken > e.slots {
		e.t.Fatalf("%d adapters for %d slots", taken, e.slots)
	}
}

// finish ends the i-th order: carried out, refused by the engine, or without an
// answer although it may have been carried out.
func (e *modelEngine) finish(i int, outcome string) {
	o := e.orders[i]
	e.orders = slices.Delete(e.orders, i, i+1)
	e.late = append(e.late, o)
	carriedOut := outcome == "done" || outcome == "done-unanswered"
	if carriedOut && o.unload {
		delete(e.loaded, o.ref)
	}
	if carriedOut && !o.unload {
		e.loaded[o.ref] = true
	}
	e.report(o, outcome)
}

func (e *modelEngine) report(o engineOrder, outcome string) {
	switch {
	case o.unload && outcome == "done":
		e.perform(e.table.Unloaded(o.order, e.now))
	case o.unload:
		e.perform(e.table.UnloadFailed(o.order, e.now))
	case outcome == "done":
		e.perform(e.table.Loaded(o.order, e.now))
	default:
		e.perform(e.table.LoadFailed(o.order, outcome == "refused", e.now))
	}
}

func (e *modelEngine) restart() {
	e.incarnation++
	clear(e.loaded)
	clear(e.running)
	clear(e.foreign)
	e.late = append(e.late, e.orders...)
	e.orders = nil
	e.perform(e.table.EngineRestarted())
}

var outcomes = []string{"done", "refused", "done-unanswered", "lost"}

// TestTableAgainstModelEngine sends the table every kind of event in any order,
// including delayed and repeated ones. Users would see an unsafe action as a
// truncated answer or as a refusal by the engine.
func TestTableAgainstModelEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newModelEngine(t, Options{Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Queue: 6, StarvationTimeout: time.Second})
		if rapid.Bool().Draw(t, "adopt") {
			e.loaded[ref(0)], e.foreign[ref(0)] = true, true
			e.table.Adopt(ref(0), true)
		}
		pick := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) {
				e.lastID++
				e.requests[e.lastID] = ref(pick(6, "adapter"))
				e.perform(e.table.Request(Claim{Request: e.lastID, Ref: e.requests[e.lastID], Weight: 1, WaitForSlot: rapid.Bool().Draw(t, "patient")}, e.now))
			},
			"cancel": func(*rapid.T) {
				id := RequestID(pick(int(e.lastID)+1, "cancelled"))
				if _, runs := e.running[id]; runs || e.answers[id] > 0 || id == 0 {
					return
				}
				e.perform(e.table.Cancel(id, e.now))
				e.answer(id)
			},
			"release": func(*rapid.T) {
				id := RequestID(pick(int(e.lastID)+1, "released"))
				delete(e.running, id)
				if e.answers[id] > 0 {
					e.perform(e.table.Release(id, e.now))
				}
			},
			"grant": func(*rapid.T) {
				if len(e.requested) > 0 {
					e.perform(e.table.Granted(e.requested[pick(len(e.requested), "grant")], e.now))
				}
			},
			"finish": func(*rapid.T) {
				if len(e.orders) > 0 {
					e.finish(pick(len(e.orders), "order"), rapid.SampledFrom(outcomes).Draw(t, "how"))
				}
			},
			"grant again": func(*rapid.T) {
				order := OrderID(pick(int(e.table.lastOrder)+1, "granted again"))
				if order > 0 {
					e.perform(e.table.Granted(order, e.now))
				}
			},
			"late": func(*rapid.T) {
				if len(e.late) > 0 {
					e.report(e.late[pick(len(e.late), "late")], rapid.SampledFrom(outcomes).Draw(t, "how"))
				}
			},
			"restart": func(*rapid.T) { e.restart() },
			"idle": func(*rapid.T) {
				clear(e.foreign)
				e.perform(e.table.InUse(nil, e.now))
			},
			"tick": func(*rapid.T) {
				e.now = e.now.Add(time.Duration(pick(3000, "ms")) * time.Millisecond)
				e.perform(e.table.Tick(e.now))
			},
		})
		e.drain()
	})
}

// drain ends all orders and requests successfully and checks that no request is
// left waiting.
func (e *modelEngine) drain() {
	clear(e.foreign)
	e.perform(e.table.InUse(nil, e.now))
	for range 200 {
		for len(e.orders) > 0 {
			e.finish(0, "done")
		}
		for id := range e.lastID + 1 {
			delete(e.running, id)
			e.perform(e.table.Release(id, e.now))
		}
		for _, order := range slices.Clone(e.requested) {
			e.perform(e.table.Granted(order, e.now))
		}
		e.now = e.now.Add(time.Second)
		e.perform(e.table.Tick(e.now))
	}
	for id := range e.requests {
		if e.answers[id] == 0 {
			e.t.Fatalf("request %d on %s was never answered", id, e.requests[id])
		}
	}
}

func waitingClaim(id RequestID, r catalogue.Ref) Claim {
	return Claim{Request: id, Ref: r, Weight: 1, WaitForSlot: true}
}

func grantAll(table *Table, actions []Action, now time.Time) []Action {
	var after []Action
	for _, a := range actions {
		if request, ok := a.(PermitRequest); ok {
			after = append(after, table.Granted(request.Order, now)...)
		}
	}
	return after
}

// Popular adapters with requests always running hold every slot. A request for another
// adapter must start before its caller's timeout.
func TestPinnedSlotsDoNotStarveWaitingAdapter(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewTable(Options{Slots: 1, Queue: 8, StarvationTimeout: time.Second})
	load := grantAll(table, table.Request(waitingClaim(1, ref(1)), now), now)[0].(Load)
	table.Loaded(load.Order, now)
	table.Request(waitingClaim(2, ref(2)), now)
	now = now.Add(2 * time.Second)
	table.Tick(now)
	for _, a := range table.Request(waitingClaim(3, ref(1)), now) {
		if _, started := a.(Start); started {
			t.Fatal("a new request for the popular adapter overtook the starving one")
		}
	}
	unload := grantAll(table, table.Release(1, now), now)
	if len(unload) != 1 || unload[0].(Unload).Ref != ref(1) {
		t.Fatalf("the popular adapter's slot was not freed: %v", unload)
	}
}

// Every slot serves requests while another server has a free one. A request
// without WaitForSlot must be refused, so that it can be sent to the other server
// instead of waiting for unrelated requests to end.
func TestOnlyClaimsWithWaitForSlotWait(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewTable(Options{Slots: 1, Queue: 8})
	load := grantAll(table, table.Request(waitingClaim(1, ref(1)), now), now)[0].(Load)
	table.Loaded(load.Order, now)
	got := table.Request(Claim{Request: 2, Ref: ref(2), Weight: 1}, now)
	if len(got) != 1 || got[0] != (Refuse{Request: 2, Reason: ReasonNoSlot}) {
		t.Errorf("a request without WaitForSlot got %v, want a refusal with ReasonNoSlot", got)
	}
	if got := table.Request(Claim{Request: 3, Ref: ref(1), Weight: 1}, now); len(got) != 1 || got[0] != (Start{Request: 3}) {
		t.Errorf("a request for the loaded adapter got %v, want its start", got)
	}
	if got := table.Request(waitingClaim(4, ref(2)), now); len(got) != 0 || table.Report(now).Waiting != 1 {
		t.Errorf("a request with WaitForSlot got %v, want no action and one waiting request", got)
	}
}

// Every load of an adapter with broken files fails. Without backoff every retry by a
// caller would cost the weight store a load that others wait for.
func TestFailedLoadsBackOffAndRecover(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewTable(Options{Slots: 1, Queue: 8})
	for failures, pause := 0, time.Second; failures < 3; failures, pause = failures+1, 2*pause {
		load := grantAll(table, table.Request(waitingClaim(1, ref(1)), now), now)[0].(Load)
		table.LoadFailed(load.Order, true, now)
		early := table.Request(waitingClaim(2, ref(1)), now.Add(pause-time.Millisecond))
		if len(early) != 1 || early[0] != (Refuse{Request: 2, Reason: ReasonLoadFailed}) {
			t.Fatalf("after %d failures: %v, want a refusal with ReasonLoadFailed", failures+1, early)
		}
		now = now.Add(pause)
	}
}

// An engine restarts and loads an adapter again before its agent notices. It then
// refuses the next load, for which the table expects a free slot. The callers waiting
// for that load must keep waiting until a slot is freed, and be refused only after a
// second such refusal.
func TestLoadIntoFullEngineIsPlannedAgain(t *testing.T) {
	now := time.Unix(0, 0)
	for _, again := range []bool{false, true} {
		table := NewTable(Options{Slots: 1, Queue: 8})
		load := grantAll(table, table.Request(waitingClaim(1, ref(1)), now), now)[0].(Load)
		table.Adopt(ref(2), true)
		if got := table.LoadFull(load.Order, now); slices.ContainsFunc(got, isRefusal) {
			t.Fatalf("callers were refused after the first refusal: %v", got)
		}
		unload := grantAll(table, table.InUse(nil, now), now)[0].(Unload)
		if unload.Ref != ref(2) {
			t.Fatalf("unloads %v, want the adapter that the engine held", unload.Ref)
		}
		next := table.Unloaded(unload.Order, now)[0].(Load)
		if next.Ref != ref(1) {
			t.Fatalf("loads %v, want the adapter that callers wait for", next.Ref)
		}
		var got []Action
		if again {
			got = table.LoadFull(next.Order, now)
		} else {
			got = table.Loaded(next.Order, now)
		}
		if slices.ContainsFunc(got, isRefusal) != again {
			t.Errorf("load refused again = %v: got %v, want callers refused = the same", again, got)
		}
	}
}

func isRefusal(a Action) bool {
	_, refusal := a.(Refuse)
	return refusal
}

// The least valuable adapter is evicted: the one that is rarely used or quick to load.
func TestEvictionWeighsUseAndLoadTime(t *testing.T) {
	const quick, slow = 100 * time.Millisecond, time.Second
	cases := []struct {
		name     string
		eviction Eviction
		// uses[i] requests run on adapter i, which takes loads[i] to load.
		uses   [2]int
		loads  [2]time.Duration
		victim int
	}{
		{"rarely used", EvictLeastValuable, [2]int{3, 1}, [2]time.Duration{quick, quick}, 1},
		{"quick to load", EvictLeastValuable, [2]int{1, 3}, [2]time.Duration{slow, quick}, 1},
		{"least recent", EvictLeastRecent, [2]int{3, 1}, [2]time.Duration{quick, quick}, 0},
	}
	for _, c := range cases {
		now := time.Unix(0, 0)
		table := NewTable(Options{Slots: 2, Queue: 8, Eviction: c.eviction})
		id := RequestID(0)
		for adapter, uses := range c.uses {
			for range uses {
				id++
				actions := grantAll(table, table.Request(waitingClaim(id, ref(adapter)), now), now)
				if len(actions) > 0 {
					now = now.Add(c.loads[adapter])
					table.Loaded(actions[0].(Load).Order, now)
				}
				table.Release(id, now)
			}
		}
		actions := grantAll(table, table.Request(waitingClaim(id+1, ref(9)), now), now)
		if got := actions[0].(Unload).Ref; got != ref(c.victim) {
			t.Errorf("%s: evicted %s, want %s", c.name, got, ref(c.victim))
		}
	}
}

// BenchmarkRequest measures one request for a loaded adapter, including its release,
// in a table that has had requests for many adapters.
func BenchmarkRequest(b *testing.B) {
	for _, adapters := range []int{3_000, 130_000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			now := time.Unix(0, 0)
			table := NewTable(Options{Slots: 8, Queue: 256})
			id := RequestID(0)
			for i := range adapters {
				id++
				for _, a := range grantAll(table, table.Request(waitingClaim(id, ref(i)), now), now) {
					finishAll(table, a, now)
				}
				table.Release(id, now)
			}
			last := ref(adapters - 1)
			b.ReportMetric(float64(len(table.usage.entries)), "remembered")
			b.ReportAllocs()
			for b.Loop() {
				id++
				table.Request(waitingClaim(id, last), now)
				table.Release(id, now)
			}
		})
	}
}

// finishAll ends an order, and those that follow from it, successfully.
func finishAll(table *Table, action Action, now time.Time) {
	var next []Action
	switch a := action.(type) {
	case Load:
		next = table.Loaded(a.Order, now)
	case Unload:
		next = table.Unloaded(a.Order, now)
	}
	for _, a := range next {
		finishAll(table, a, now)
	}
}
