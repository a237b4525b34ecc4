package sidecar

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

const (
	testPlaces = 2
	loadTime   = 250 * time.Millisecond
)

// fakeEngine carries out orders as an engine does, and crashes the test when it
// is ordered more than it holds.
type fakeEngine struct {
	t  *testing.T
	mu sync.Mutex
	// hidden is how many orders get no answer; each is carried out late.
	hidden   int
	late     time.Duration
	born     int64
	sequence int64
	models   []string
	onDisk   []string
	adapters map[string]int64
	coming   map[string]int64
	orders   []Order
	silent   bool
	// resets makes all orders fail at once, with an unknown fate; tries counts them.
	resets bool
	tries  int
	// stale is the try that gets the late copy of an earlier order's answer, and is lost
	// itself.
	stale int
	// lose, when set, says whether an order gets no answer, and how late it is carried
	// out.
	lose func() (bool, time.Duration)
}

func newFakeEngine(t *testing.T) *fakeEngine {
	return &fakeEngine{t: t, born: 1, models: []string{"m"}, adapters: make(map[string]int64), coming: make(map[string]int64)}
}

func (e *fakeEngine) Report(ctx context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return Report{}, ctx.Err()
	}
	return Report{Born: e.born, Sequence: e.sequence, Models: e.models, OnDisk: e.onDisk, Adapters: maps.Clone(e.adapters), Coming: maps.Clone(e.coming)}, nil
}

func (e *fakeEngine) Order(ctx context.Context, o Order) (OrderResult, error) {
	e.mu.Lock()
	e.tries++
	if e.resets {
		defer e.mu.Unlock()
		return OrderUnknown, errors.New("the connection was reset")
	}
	if e.stale > 0 && e.tries == e.stale {
		defer e.mu.Unlock()
		return OrderAccepted, nil
	}
	lost, late := e.hidden > 0, e.late
	if e.lose != nil {
		lost, late = e.lose()
	}
	if lost {
		e.hidden--
		e.mu.Unlock()
		time.AfterFunc(late, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.carryOut(o)
		})
		<-ctx.Done()
		return OrderUnknown, ctx.Err()
	}
	defer e.mu.Unlock()
	return e.carryOut(o), nil
}

// carryOut is called with mu held.
func (e *fakeEngine) carryOut(o Order) OrderResult {
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
	e.coming[name] = o.Version
	if len(e.adapters)+len(e.coming) > testPlaces {
		e.t.Errorf("the engine was ordered to hold %v and %v in %d places", e.adapters, e.coming, testPlaces)
	}
	born := e.born
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born {
			delete(e.coming, name)
			e.adapters[name] = o.Version
		}
	})
	return OrderAccepted
}

func (e *fakeEngine) given() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// run starts an agent beside an engine in virtual time.
func run(t *testing.T, e *fakeEngine, test func(t *testing.T, s *Sidecar)) {
	runWith(t, e, Options{}, []route.Model{{Name: "m"}}, test)
}

// runWith is run with further options and other models.
func runWith(t *testing.T, e *fakeEngine, options Options, models []route.Model, test func(t *testing.T, s *Sidecar)) {
	t.Helper()
	runHolding(t, e, options, models, func(t *testing.T, s *Sidecar, documents *mesh.Documents) {
		documents.Confirm()
		time.Sleep(time.Second)
		test(t, s)
	})
}

// runHolding is runWith with a configuration that is not confirmed.
func runHolding(t *testing.T, e *fakeEngine, options Options, models []route.Model, test func(t *testing.T, s *Sidecar, documents *mesh.Documents)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		decode := func([]byte) (*route.Document, error) {
			return &route.Document{Services: []route.Service{{Name: "llm", Engine: &route.Engine{
				Batch: 4, MemoryTokens: 10_000, AdapterSlots: testPlaces, Models: models,
			}}}}, nil
		}
		documents := mesh.NewDocuments(decode, zap.NewNop())
		documents.Take(document.State{Index: 1, Version: 1, Body: []byte("{}")}, "test")
		options.Name, options.Service, options.VersionGrace = "agent", "llm", time.Second
		s := New(options, e, documents, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			s.Run(ctx)
			close(ended)
		}()
		test(t, s, documents)
		cancel()
		<-ended
		// Late orders and loads end.
		time.Sleep(time.Minute)
	})
}

// An agent starts again beside an engine that held nothing, and holds a configuration that may be an old one: with
// fewer places, or another version of an adapter than the newest.
func TestAnAgentTakesNoLimitsFromAnUnconfirmedConfiguration(t *testing.T) {
	e := newFakeEngine(t)
	runHolding(t, e, Options{}, []route.Model{{Name: "m"}}, func(t *testing.T, s *Sidecar, documents *mesh.Documents) {
		time.Sleep(time.Second)
		if reply, err := s.admit(t.Context(), wire.StartRequest{ID: "r1", Adapter: "m/a", Prompt: 10, Tokens: 20, WaitMillis: 500}); err != nil || reply.Start {
			t.Errorf("it starts a request: %+v, %v", reply, err)
		}
		if orders := e.given(); len(orders) != 0 {
			t.Errorf("it orders %+v", orders)
		}
		documents.Confirm()
		time.Sleep(time.Second)
		if reply := admit(t, s, "r2", "m/a"); !reply.Start {
			t.Errorf("refused behind the proof: %s", reply.Reason)
		}
	})
}

func admit(t *testing.T, s *Sidecar, id, adapter string) wire.StartReply {
	t.Helper()
	reply, err := s.admit(t.Context(), wire.StartRequest{ID: id, Adapter: adapter, Prompt: 10, Tokens: 20, WaitMillis: 5000})
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

func TestAnAdapterIsLoadedForARequest(t *testing.T) {
	e := newFakeEngine(t)
	run(t, e, func(t *testing.T, s *Sidecar) {
		began := time.Now()
		if reply := admit(t, s, "r1", "m/a"); !reply.Start {
			t.Fatalf("refused: %s", reply.Reason)
		}
		if took := time.Since(began); took > loadTime+2*busyPoll {
			t.Errorf("the start took %s for a load of %s", took, loadTime)
		}
		// The state is shown behind the answer.
		synctest.Wait()
		state, _ := s.state.get()
		if !state.Known || state.Running != 1 || len(state.Held) != 1 {
			t.Errorf("entries see %+v", state)
		}
	})
}

// An engine answers an order not at all and carries it out seconds later, when
// the agent has long ordered something else. The late load would be one too
// many and crash the engine; callers of all adapters there would lose their
// answers.
func TestAnOrderThatIsCarriedOutLateIsVoid(t *testing.T) {
	e := newFakeEngine(t)
	e.hidden, e.late = 1, 2*time.Second
	run(t, e, func(t *testing.T, s *Sidecar) {
		for i, adapter := range []string{"m/a", "m/b", "m/c", "m/d"} {
			id := string(rune('1' + i))
			began := time.Now()
			if reply := admit(t, s, id, adapter); !reply.Start {
				t.Fatalf("%s was refused: %s", adapter, reply.Reason)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("the start of %s took %s", adapter, took)
			}
			if _, err := s.done(t.Context(), wire.StartDone{ID: id}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(10 * time.Second)
	})
	for i, o := range e.given() {
		if o.Sequence != int64(i) || o.Holder != "agent" {
			t.Errorf("order %d was given as %+v", i, o)
		}
	}
}

// The engine stops reporting. Entries must not be told of a state that nobody
// knows any more, and starts are refused at once rather than held.
func TestAnEngineThatDoesNotReportIsNotUsed(t *testing.T) {
	e := newFakeEngine(t)
	run(t, e, func(t *testing.T, s *Sidecar) {
		e.mu.Lock()
		e.silent = true
		e.mu.Unlock()
		time.Sleep(2 * time.Second)
		if state, _ := s.state.get(); state.Known {
			t.Error("the engine still counts as known")
		}
		if reply := admit(t, s, "r1", "m/a"); reply.Start || reply.Reason != unknownEngine {
			t.Errorf("got %+v", reply)
		}
	})
}

// The engine restarts under the same address and holds nothing. The agent must
// not start requests on what it held before, and must load the base model.
func TestARestartedEngineIsFilledAnew(t *testing.T) {
	e := newFakeEngine(t)
	run(t, e, func(t *testing.T, s *Sidecar) {
		admit(t, s, "r1", "m/a")
		e.mu.Lock()
		e.born, e.sequence, e.models = 2, 0, nil
		e.adapters, e.coming = make(map[string]int64), make(map[string]int64)
		e.mu.Unlock()
		time.Sleep(time.Second)
		if state, _ := s.state.get(); state.Running != 0 {
			t.Errorf("%d requests of the earlier incarnation are left", state.Running)
		}
		orders := e.given()
		if last := orders[len(orders)-1]; !last.Load || last.Model != "m" || last.Adapter != "" {
			t.Errorf("the last order is %+v, want a load of the base model", last)
		}
		if reply := admit(t, s, "r2", "m/a"); !reply.Start {
			t.Errorf("refused: %s", reply.Reason)
		}
	})
}

func TestARequestThatIsNotWantedAnyMoreLeavesNoPin(t *testing.T) {
	e := newFakeEngine(t)
	run(t, e, func(t *testing.T, s *Sidecar) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if _, err := s.admit(ctx, wire.StartRequest{ID: "r1", Adapter: "m/a", WaitMillis: 5000}); err == nil {
			t.Error("a start that was given up was granted")
		}
		time.Sleep(time.Second)
		if state, _ := s.state.get(); state.Running != 0 || state.Waiting != 0 {
			t.Errorf("left are %+v", state)
		}
	})
}

func TestEntriesGetListsOnlyWhenTheyChange(t *testing.T) {
	e := newFakeEngine(t)
	run(t, e, func(t *testing.T, s *Sidecar) {
		admit(t, s, "r1", "m/a")
		synctest.Wait()
		first, err := s.watch(t.Context(), wire.StartWatch{})
		if err != nil || len(first.Held) != 1 {
			t.Fatalf("first watch: %+v, %v", first, err)
		}
		if _, err := s.done(t.Context(), wire.StartDone{ID: "r1"}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		second, err := s.watch(t.Context(), wire.StartWatch{Change: first.Change, HeldChange: first.HeldChange, WaitMillis: 1000})
		if err != nil || second.Running != 0 || second.Held != nil || second.HeldChange != first.HeldChange {
			t.Errorf("second watch: %+v, %v", second, err)
		}
	})
}

// Everything loses power. The engine comes back empty and keeps its model on
// its own disk; the configuration comes later, with the log's leader. Callers
// would be refused for as long as the agent waits for it.
func TestALoneModelOnDiskIsLoadedWithoutAConfiguration(t *testing.T) {
	e := newFakeEngine(t)
	e.models, e.onDisk = nil, []string{"m"}
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Name: "agent", Service: "llm"}, e, mesh.NewDocuments(nil, zap.NewNop()), zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
	})
	if orders := e.given(); len(orders) != 1 || !orders[0].Load || orders[0].Model != "m" {
		t.Errorf("ordered were %+v, want one load of m", orders)
	}
}

// A request's first try ends because its engine restarted, and the second one
// is granted by the same agent. The end of the first try arrives behind that:
// the adapter would lose its hold and be unloaded under the second one.
func TestTheEndOfAnEarlierTryDoesNotEndTheNextOne(t *testing.T) {
	e := newFakeEngine(t)
	run(t, e, func(t *testing.T, s *Sidecar) {
		for try := 1; try <= 2; try++ {
			reply, err := s.admit(t.Context(), wire.StartRequest{ID: "r1", Try: try, Adapter: "m/a", Prompt: 10, Tokens: 20, WaitMillis: 5000})
			if err != nil || !reply.Start {
				t.Fatalf("try %d: %+v, %v", try, reply, err)
			}
		}
		if _, err := s.done(t.Context(), wire.StartDone{ID: "r1", Try: 1}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if state, _ := s.state.get(); state.Running != 1 {
			t.Errorf("%d requests run, want the second try", state.Running)
		}
		if _, err := s.done(t.Context(), wire.StartDone{ID: "r1", Try: 2}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		// Both places must come free for others.
		for _, adapter := range []string{"m/b", "m/c"} {
			if reply := admit(t, s, adapter, adapter); !reply.Start {
				t.Errorf("%s was refused: %s", adapter, reply.Reason)
			}
		}
	})
}

// An engine comes up empty where a service has several models. Which one is
// short is known elsewhere: the agent must ask, go on asking while nothing is
// granted, and load what it was told, not the first one.
func TestAnEmptyEngineLoadsThePermittedModel(t *testing.T) {
	e := newFakeEngine(t)
	e.models, e.onDisk = nil, []string{"m"}
	asked := 0
	options := Options{Permit: func(_ context.Context, service string, onDisk []string, _ time.Time) string {
		if service != "llm" || len(onDisk) != 1 {
			t.Errorf("a permit is asked for for %q with %v on disk", service, onDisk)
		}
		if asked++; asked < 3 {
			return ""
		}
		return "rare"
	}}
	runWith(t, e, options, []route.Model{{Name: "m"}, {Name: "rare"}}, func(t *testing.T, _ *Sidecar) {
		time.Sleep(2 * time.Second)
		given := e.given()
		if len(given) != 1 || given[0].Model != "rare" || given[0].Adapter != "" {
			t.Errorf("the orders are %+v, want the load of the permitted model alone", given)
		}
		if asked != 3 {
			t.Errorf("a permit was asked for %d times, want 3", asked)
		}
	})
}

// An engine is rebuilt behind its port and resets each order: the agent must not try again as fast as it is refused.
func TestOrdersThatFailAtOnceAreNotGivenInATightLoop(t *testing.T) {
	e := newFakeEngine(t)
	e.resets = true
	const lasts = 8 * time.Second
	run(t, e, func(t *testing.T, s *Sidecar) {
		ctx, cancel := context.WithTimeout(t.Context(), lasts)
		defer cancel()
		_, _ = s.admit(ctx, wire.StartRequest{ID: "1", Adapter: "m/a", WaitMillis: lasts.Milliseconds()})
		<-ctx.Done()
	})
	if most := int(lasts / orderTimeout); e.tries == 0 || e.tries > most/2 {
		t.Errorf("%d orders were given in %s, %d would follow one another without a pause for the trouble's age", e.tries, lasts, most)
	}
}

// Many engines lost their models together and the store brings them one after the other: an agent that has waited for
// long must not ask as often as at first.
func TestAPermitThatIsNotGivenIsAskedForEverMoreSeldom(t *testing.T) {
	e := newFakeEngine(t)
	e.models = nil
	var asked []time.Time
	options := Options{Permit: func(context.Context, string, []string, time.Time) string {
		asked = append(asked, time.Now())
		return ""
	}}
	runWith(t, e, options, []route.Model{{Name: "m"}, {Name: "rare"}}, func(t *testing.T, _ *Sidecar) {
		time.Sleep(time.Minute)
	})
	const most = 60
	if len(asked) < 20 || len(asked) > most {
		t.Errorf("a permit was asked for %d times in a minute, want 20 to %d", len(asked), most)
	}
	if last := asked[len(asked)-1].Sub(asked[len(asked)-2]); last < time.Second {
		t.Errorf("after a minute a permit is asked for every %s", last)
	}
}

// The late copy of an earlier order's answer stands for that of a load which is lost. No request may be started on an
// adapter that is not there, and the adapter must come all the same.
func TestALateCopyOfAnOrdersAnswerStartsNothingWithoutItsAdapter(t *testing.T) {
	for stale := 1; stale <= 4; stale++ {
		e := newFakeEngine(t)
		e.stale = stale
		run(t, e, func(t *testing.T, s *Sidecar) {
			for i, adapter := range []string{"m/a", "m/b", "m/c", "m/d"} {
				id := string(rune('1' + i))
				reply := admit(t, s, id, adapter)
				e.mu.Lock()
				_, held := e.adapters[adapter]
				e.mu.Unlock()
				if !reply.Start || !held {
					t.Errorf("with answer %d stale, the start on %s is granted %v (%s), and the adapter held %v", stale, adapter, reply.Start, reply.Reason, held)
				}
				if _, err := s.done(t.Context(), wire.StartDone{ID: id}); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// Answers to orders are lost, the orders carried out now or later, and reports come in between: the engine must never be
// ordered to hold more than it can.
func TestNoEngineIsOverloadedWhileAnswersToOrdersAreLost(t *testing.T) {
	for seed := range uint64(200) {
		random, losses := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 1))
		e := newFakeEngine(t)
		// The engine's mu guards losses.
		e.lose = func() (bool, time.Duration) {
			return losses.IntN(3) == 0, time.Duration(losses.Int64N(int64(150 * time.Millisecond)))
		}
		run(t, e, func(t *testing.T, s *Sidecar) {
			var requests sync.WaitGroup
			for i := range 40 {
				adapter := fmt.Sprintf("m/%c", 'a'+random.IntN(6))
				requests.Go(func() {
					id := fmt.Sprint(i)
					if _, err := s.admit(t.Context(), wire.StartRequest{ID: id, Adapter: adapter, Prompt: 10, Tokens: 20, WaitMillis: 3000}); err != nil {
						t.Error(err)
					}
					_, _ = s.done(t.Context(), wire.StartDone{ID: id})
				})
				time.Sleep(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
			}
			requests.Wait()
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
