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

// naiveEngine is the plainest picture of an engine, its running requests and
// the orders on their way. It fails the test whenever an action is unsafe.
type naiveEngine struct {
	t           *rapid.T
	table       *Table
	now         time.Time
	slots       int
	incarnation int
	loaded      map[catalogue.Ref]bool
	running     map[RequestID]catalogue.Ref
	foreign     map[catalogue.Ref]bool
	asked       []OrderID
	orders      []engineOrder
	late        []engineOrder
	requests    map[RequestID]catalogue.Ref
	verdicts    map[RequestID]int
	last        RequestID
}

func newNaiveEngine(t *rapid.T, options Options) *naiveEngine {
	return &naiveEngine{
		t: t, table: NewTable(options), now: time.Unix(0, 0), slots: options.Slots,
		loaded: map[catalogue.Ref]bool{}, running: map[RequestID]catalogue.Ref{}, foreign: map[catalogue.Ref]bool{},
		requests: map[RequestID]catalogue.Ref{}, verdicts: map[RequestID]int{},
	}
}

func (e *naiveEngine) perform(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Start:
			e.start(a.Request)
		case Refuse:
			e.verdict(a.Request)
		case Ask:
			if !slices.Contains(e.asked, a.Order) {
				e.asked = append(e.asked, a.Order)
			}
		case Return:
			e.asked = slices.DeleteFunc(e.asked, func(o OrderID) bool { return o == a.Order })
			if slices.ContainsFunc(e.orders, func(o engineOrder) bool { return o.order == a.Order && !o.unload }) {
				e.t.Fatalf("the permit of a load under way was given back")
			}
		case Load:
			e.order(engineOrder{order: a.Order, ref: a.Ref})
		case Unload:
			e.order(engineOrder{order: a.Order, ref: a.Ref, unload: true})
		}
	}
}

func (e *naiveEngine) verdict(id RequestID) {
	e.verdicts[id]++
	if e.verdicts[id] > 1 {
		e.t.Fatalf("request %d got two verdicts", id)
	}
}

func (e *naiveEngine) start(id RequestID) {
	e.verdict(id)
	r := e.requests[id]
	if !e.loaded[r] {
		e.t.Fatalf("request %d started on %s, which is not loaded", id, r)
	}
	if slices.ContainsFunc(e.orders, func(o engineOrder) bool { return o.ref == r }) {
		e.t.Fatalf("request %d started on %s, which an order concerns", id, r)
	}
	e.running[id] = r
}

func (e *naiveEngine) order(o engineOrder) {
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

// finish ends the i-th order: fully, refused by the engine, or with no answer
// though it may have been carried out.
func (e *naiveEngine) finish(i int, how string) {
	o := e.orders[i]
	e.orders = slices.Delete(e.orders, i, i+1)
	e.late = append(e.late, o)
	carriedOut := how == "done" || how == "done-unanswered"
	if carriedOut && o.unload {
		delete(e.loaded, o.ref)
	}
	if carriedOut && !o.unload {
		e.loaded[o.ref] = true
	}
	e.tell(o, how)
}

func (e *naiveEngine) tell(o engineOrder, how string) {
	switch {
	case o.unload && how == "done":
		e.perform(e.table.Unloaded(o.order, e.now))
	case o.unload:
		e.perform(e.table.UnloadFailed(o.order, e.now))
	case how == "done":
		e.perform(e.table.Loaded(o.order, e.now))
	default:
		e.perform(e.table.LoadFailed(o.order, how == "refused", e.now))
	}
}

func (e *naiveEngine) restart() {
	e.incarnation++
	clear(e.loaded)
	clear(e.running)
	clear(e.foreign)
	e.late = append(e.late, e.orders...)
	e.orders = nil
	e.perform(e.table.EngineRestarted())
}

var outcomes = []string{"done", "refused", "done-unanswered", "lost"}

// TestTableAgainstNaiveEngine drives the table with every kind of event in any
// order, late and repeated ones included. An unsafe step would show to users
// as an answer from a request cut off in the middle, or an engine that refuses.
func TestTableAgainstNaiveEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newNaiveEngine(t, Options{Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Queue: 6, Patience: time.Second})
		if rapid.Bool().Draw(t, "adopt") {
			e.loaded[ref(0)], e.foreign[ref(0)] = true, true
			e.table.Adopt(ref(0), true)
		}
		pick := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) {
				e.last++
				e.requests[e.last] = ref(pick(6, "adapter"))
				e.perform(e.table.Request(Claim{Request: e.last, Ref: e.requests[e.last], Weight: 1, Patient: rapid.Bool().Draw(t, "patient")}, e.now))
			},
			"cancel": func(*rapid.T) {
				id := RequestID(pick(int(e.last)+1, "cancelled"))
				if _, runs := e.running[id]; runs || e.verdicts[id] > 0 || id == 0 {
					return
				}
				e.perform(e.table.Cancel(id, e.now))
				e.verdict(id)
			},
			"release": func(*rapid.T) {
				id := RequestID(pick(int(e.last)+1, "released"))
				delete(e.running, id)
				if e.verdicts[id] > 0 {
					e.perform(e.table.Release(id, e.now))
				}
			},
			"grant": func(*rapid.T) {
				if len(e.asked) > 0 {
					e.perform(e.table.Granted(e.asked[pick(len(e.asked), "grant")], e.now))
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
					e.tell(e.late[pick(len(e.late), "late")], rapid.SampledFrom(outcomes).Draw(t, "how"))
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
		e.settle()
	})
}

// settle ends everything well; then no request may be left waiting.
func (e *naiveEngine) settle() {
	clear(e.foreign)
	e.perform(e.table.InUse(nil, e.now))
	for range 200 {
		for len(e.orders) > 0 {
			e.finish(0, "done")
		}
		for id := range e.last + 1 {
			delete(e.running, id)
			e.perform(e.table.Release(id, e.now))
		}
		for _, order := range slices.Clone(e.asked) {
			e.perform(e.table.Granted(order, e.now))
		}
		e.now = e.now.Add(time.Second)
		e.perform(e.table.Tick(e.now))
	}
	for id := range e.requests {
		if e.verdicts[id] == 0 {
			e.t.Fatalf("request %d on %s waits for ever", id, e.requests[id])
		}
	}
}

func patient(id RequestID, r catalogue.Ref) Claim {
	return Claim{Request: id, Ref: r, Weight: 1, Patient: true}
}

func grantAll(table *Table, actions []Action, now time.Time) []Action {
	var after []Action
	for _, a := range actions {
		if ask, ok := a.(Ask); ok {
			after = append(after, table.Granted(ask.Order, now)...)
		}
	}
	return after
}

// Popular adapters with a request always running hold every slot. A request
// for another adapter would wait until its caller gives up.
func TestPinnedSlotsDoNotStarveAWaitingAdapter(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewTable(Options{Slots: 1, Queue: 8, Patience: time.Second})
	load := grantAll(table, table.Request(patient(1, ref(1)), now), now)[0].(Load)
	table.Loaded(load.Order, now)
	table.Request(patient(2, ref(2)), now)
	now = now.Add(2 * time.Second)
	table.Tick(now)
	for _, a := range table.Request(patient(3, ref(1)), now) {
		if _, started := a.(Start); started {
			t.Fatal("a new request for the popular adapter overtook the starving one")
		}
	}
	unload := grantAll(table, table.Release(1, now), now)
	if len(unload) != 1 || unload[0].(Unload).Ref != ref(1) {
		t.Fatalf("the popular adapter's slot was not freed: %v", unload)
	}
}

// Every slot serves while another server has room. A request that waits here
// waits for strangers' answers to end, unless it is sent on.
func TestOnlyPatientRequestsWaitForASlot(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewTable(Options{Slots: 1, Queue: 8})
	load := grantAll(table, table.Request(patient(1, ref(1)), now), now)[0].(Load)
	table.Loaded(load.Order, now)
	got := table.Request(Claim{Request: 2, Ref: ref(2), Weight: 1}, now)
	if len(got) != 1 || got[0] != (Refuse{Request: 2, Reason: ReasonNoSlot}) {
		t.Errorf("an impatient request got %v", got)
	}
	if got := table.Request(Claim{Request: 3, Ref: ref(1), Weight: 1}, now); len(got) != 1 || got[0] != (Start{Request: 3}) {
		t.Errorf("a request for the loaded adapter got %v", got)
	}
	if got := table.Request(patient(4, ref(2)), now); len(got) != 0 || table.Report(now).Waiting != 1 {
		t.Errorf("a patient request got %v", got)
	}
}

// An adapter whose files are broken fails each load. Without a back-off every
// caller's retry would cost the weight store a load that others wait for.
func TestFailedLoadsBackOffAndRecover(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewTable(Options{Slots: 1, Queue: 8})
	for failures, pause := 0, time.Second; failures < 3; failures, pause = failures+1, 2*pause {
		load := grantAll(table, table.Request(patient(1, ref(1)), now), now)[0].(Load)
		table.LoadFailed(load.Order, true, now)
		early := table.Request(patient(2, ref(1)), now.Add(pause-time.Millisecond))
		if len(early) != 1 || early[0] != (Refuse{Request: 2, Reason: ReasonLoadFailed}) {
			t.Fatalf("after %d failures: %v", failures+1, early)
		}
		now = now.Add(pause)
	}
}

// An engine restarts, and an adapter is loaded again before its agent knows. The
// engine then refuses the next load for want of a slot that the table takes for
// free. The callers of that load wait until a slot is freed; only a second refusal
// is told to them.
func TestALoadThatMeetsAFullEngineIsPlannedAnew(t *testing.T) {
	now := time.Unix(0, 0)
	for _, again := range []bool{false, true} {
		table := NewTable(Options{Slots: 1, Queue: 8})
		load := grantAll(table, table.Request(patient(1, ref(1)), now), now)[0].(Load)
		table.Adopt(ref(2), true)
		if got := table.LoadFull(load.Order, now); slices.ContainsFunc(got, isRefusal) {
			t.Fatalf("the first refusal reached callers: %v", got)
		}
		unload := grantAll(table, table.InUse(nil, now), now)[0].(Unload)
		if unload.Ref != ref(2) {
			t.Fatalf("unloads %v, want what the engine turned out to hold", unload.Ref)
		}
		next := table.Unloaded(unload.Order, now)[0].(Load)
		if next.Ref != ref(1) {
			t.Fatalf("loads %v", next.Ref)
		}
		var got []Action
		if again {
			got = table.LoadFull(next.Order, now)
		} else {
			got = table.Loaded(next.Order, now)
		}
		if slices.ContainsFunc(got, isRefusal) != again {
			t.Errorf("refused again %v: %v", again, got)
		}
	}
}

func isRefusal(a Action) bool {
	_, refusal := a.(Refuse)
	return refusal
}

// The least valuable adapter goes: rarely used, or quick to load again.
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
				actions := grantAll(table, table.Request(patient(id, ref(adapter)), now), now)
				if len(actions) > 0 {
					now = now.Add(c.loads[adapter])
					table.Loaded(actions[0].(Load).Order, now)
				}
				table.Release(id, now)
			}
		}
		actions := grantAll(table, table.Request(patient(id+1, ref(9)), now), now)
		if got := actions[0].(Unload).Ref; got != ref(c.victim) {
			t.Errorf("%s: evicted %s, want %s", c.name, got, ref(c.victim))
		}
	}
}

// BenchmarkRequest is the cost of one request that finds its adapter loaded,
// its release included, in a table that has seen many adapters.
func BenchmarkRequest(b *testing.B) {
	for _, adapters := range []int{3_000, 130_000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			now := time.Unix(0, 0)
			table := NewTable(Options{Slots: 8, Queue: 256})
			id := RequestID(0)
			for i := range adapters {
				id++
				for _, a := range grantAll(table, table.Request(patient(id, ref(i)), now), now) {
					finishAll(table, a, now)
				}
				table.Release(id, now)
			}
			last := ref(adapters - 1)
			b.ReportMetric(float64(len(table.usage.entries)), "remembered")
			b.ReportAllocs()
			for b.Loop() {
				id++
				table.Request(patient(id, last), now)
				table.Release(id, now)
			}
		})
	}
}

// finishAll ends an order well, and those that follow from it.
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
