package sidecar

import (
	"context"
	"fmt"
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

// runAgent runs an agent beside an engine in virtual time.
func runAgent(t *testing.T, e *fakeEngine, test func(t *testing.T, s *Sidecar)) {
	runAgentWith(t, e, Options{}, []route.Model{{Name: "m"}}, test)
}

// runAgentWith is like runAgent with the given options and models.
func runAgentWith(t *testing.T, e *fakeEngine, options Options, models []route.Model, test func(t *testing.T, s *Sidecar)) {
	t.Helper()
	runAgentFrom(t, e, options, models, (*mesh.Documents).Confirm, func(t *testing.T, s *Sidecar, _ *mesh.Documents) {
		time.Sleep(time.Second)
		test(t, s)
	})
}

// runAgentUnconfirmed is like runAgentWith, but the configuration is not confirmed.
func runAgentUnconfirmed(t *testing.T, e *fakeEngine, options Options, models []route.Model, test func(t *testing.T, s *Sidecar, documents *mesh.Documents)) {
	t.Helper()
	runAgentFrom(t, e, options, models, func(*mesh.Documents) {}, test)
}

// runAgentFrom runs an agent that starts when the configuration was prepared.
func runAgentFrom(t *testing.T, e *fakeEngine, options Options, models []route.Model, prepare func(*mesh.Documents), test func(t *testing.T, s *Sidecar, documents *mesh.Documents)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		decode := func([]byte) (*route.Document, error) {
			return &route.Document{HasTeams: true, Services: []route.Service{{Name: "llm", Engine: &route.Engine{
				Batch: 4, MemoryTokens: 10_000, AdapterSlots: testSlots, Models: models,
			}}}}, nil
		}
		documents := mesh.NewDocuments(decode, zap.NewNop())
		documents.Apply(document.State{Index: 1, Version: 1, Body: []byte("{}")}, "test")
		prepare(documents)
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
		// Wait for late orders and loads to end.
		time.Sleep(time.Minute)
	})
}

// An agent restarts beside an engine that held nothing, and has a configuration that may be
// outdated, with fewer adapter slots or another version of an adapter than the newest.
func TestUnconfirmedConfigurationIsNotApplied(t *testing.T) {
	e := newFakeEngine(t)
	runAgentUnconfirmed(t, e, Options{}, []route.Model{{Name: "m"}}, func(t *testing.T, s *Sidecar, documents *mesh.Documents) {
		time.Sleep(time.Second)
		if reply, err := s.admit(t.Context(), wire.StartRequest{ID: "r1", Adapter: "m/a", Prompt: 10, Tokens: 20, WaitMillis: 500}); err != nil || reply.Start {
			t.Errorf("a request was started before the configuration was confirmed: %+v, %v", reply, err)
		}
		if orders := e.accepted(); len(orders) != 0 {
			t.Errorf("orders were given before the configuration was confirmed: %+v", orders)
		}
		documents.Confirm()
		time.Sleep(time.Second)
		if reply := admit(t, s, "r2", "m/a"); !reply.Start {
			t.Errorf("refused after the configuration was confirmed: %s", reply.Reason)
		}
	})
}

// Guards against an agent that starts behind a restart, or learns late, and grants starts on a version that was replaced long before.
func TestRestartedAgentStartsNothingOnOutdatedVersion(t *testing.T) {
	for _, test := range []struct {
		name string
		// prepare names version 2 before the agent starts; request is what the entry tells of it.
		prepare func(documents *mesh.Documents)
		request wire.StartRequest
		want    bool
	}{
		{"named before the agent started", func(documents *mesh.Documents) {
			documents.Apply(document.State{Index: 2, Version: 1, Adapters: map[string]int64{"m/a": 2}}, "test")
			documents.Confirm()
		}, wire.StartRequest{Version: 2, VersionAgeMillis: 0}, false},
		{"learned late", func(documents *mesh.Documents) {
			documents.Confirm()
			documents.Apply(document.State{Index: 2, Version: 1, Adapters: map[string]int64{"m/a": 2}}, "test")
		}, wire.StartRequest{Version: 2, VersionAgeMillis: 60_000}, false},
		{"told by the entry alone", (*mesh.Documents).Confirm, wire.StartRequest{Version: 2, VersionAgeMillis: 60_000}, false},
		{"named now", (*mesh.Documents).Confirm, wire.StartRequest{Version: 2, VersionAgeMillis: 0}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newFakeEngine(t)
			e.adapters["m/a"] = 1
			// A request of before the restart keeps the old version in use.
			e.events = func(time.Time) map[string]int { return map[string]int{"foreign": 1} }
			runAgentFrom(t, e, Options{}, []route.Model{{Name: "m"}}, test.prepare, func(t *testing.T, s *Sidecar, _ *mesh.Documents) {
				time.Sleep(500 * time.Millisecond)
				in := test.request
				in.ID, in.Adapter, in.Prompt, in.Tokens, in.WaitMillis = "r", "m/a", 10, 20, 400
				reply, err := s.admit(t.Context(), in)
				if err != nil || reply.Start != test.want {
					t.Errorf("the reply is %+v, %v, want start %v", reply, err, test.want)
				}
			})
		})
	}
}

func admit(t *testing.T, s *Sidecar, id, adapter string) wire.StartReply {
	t.Helper()
	reply, err := s.admit(t.Context(), wire.StartRequest{ID: id, Adapter: adapter, Prompt: 10, Tokens: 20, WaitMillis: 5000})
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

func TestAdmitLoadsAdapter(t *testing.T) {
	e := newFakeEngine(t)
	runAgent(t, e, func(t *testing.T, s *Sidecar) {
		began := time.Now()
		if reply := admit(t, s, "r1", "m/a"); !reply.Start {
			t.Fatalf("refused: %s", reply.Reason)
		}
		if took := time.Since(began); took > loadTime+2*busyPoll {
			t.Errorf("the start took %s for a load of %s", took, loadTime)
		}
		// The state is published after the answer.
		synctest.Wait()
		state, _ := s.state.get(0)
		if !state.Known || state.Running != 1 || len(state.Held) != 1 {
			t.Errorf("the published state is %+v", state)
		}
	})
}

// Guards against an order that was meant for an engine's earlier incarnation, and that makes the later one hold more adapters than it can.
func TestOrderForEarlierIncarnationIsDropped(t *testing.T) {
	e := newFakeEngine(t)
	e.born = 0
	runAgent(t, e, func(t *testing.T, s *Sidecar) {
		admit(t, s, "r1", "m/a")
		var waiting sync.WaitGroup
		request := func(id, adapter string) {
			waiting.Go(func() {
				_, _ = s.admit(t.Context(), wire.StartRequest{ID: id, Adapter: adapter, Prompt: 10, Tokens: 20, WaitMillis: 1000})
			})
		}
		waiting.Go(func() { e.restart(3 * time.Second) })
		time.Sleep(time.Millisecond)
		request("r2", "m/b")
		waiting.Wait()
		for state, _ := s.state.get(0); !state.Known; state, _ = s.state.get(0) {
			time.Sleep(time.Millisecond)
		}
		request("r3", "m/c")
		request("r4", "m/d")
		waiting.Wait()
	})
}

// Guards against requests of an engine's earlier incarnation that keep their places, because the engine could not be asked while it restarted.
func TestRestartBehindFailedReportsIsNoticed(t *testing.T) {
	e := newFakeEngine(t)
	e.born = 0
	runAgent(t, e, func(t *testing.T, s *Sidecar) {
		admit(t, s, "r1", "m/a")
		e.restart(time.Second)
		time.Sleep(2 * idlePoll)
		if state, _ := s.state.get(0); !state.Known || state.Running != 0 {
			t.Errorf("after the restart the engine is known: %t, and %d requests count as running", state.Known, state.Running)
		}
	})
}

// An engine does not answer an order and carries it out seconds later, when the agent has long
// given other orders. The late load would exceed the slots and crash the engine, and callers of
// all adapters there would lose their answers.
func TestLateOrderIsRejected(t *testing.T) {
	e := newFakeEngine(t)
	e.lostReplies, e.lostDelay = 1, 2*time.Second
	runAgent(t, e, func(t *testing.T, s *Sidecar) {
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
	for i, o := range e.accepted() {
		if o.Sequence != int64(i) || o.Holder != "agent" {
			t.Errorf("order %d is %+v", i, o)
		}
	}
}

// The engine stops reporting. Entries must not see a state that is no longer known to be true,
// and starts are refused at once instead of queued.
func TestSilentEngineIsUnknown(t *testing.T) {
	e := newFakeEngine(t)
	runAgent(t, e, func(t *testing.T, s *Sidecar) {
		e.mu.Lock()
		e.silent = true
		e.mu.Unlock()
		time.Sleep(2 * time.Second)
		if state, _ := s.state.get(0); state.Known {
			t.Error("the engine is still reported as known")
		}
		if reply := admit(t, s, "r1", "m/a"); reply.Start || reply.Reason != reasonEngineUnknown {
			t.Errorf("got %+v", reply)
		}
	})
}

// The engine restarts under the same address and holds nothing. The agent must not start
// requests on adapters of the earlier incarnation, and must load the base model.
func TestEngineRestartReloadsModel(t *testing.T) {
	e := newFakeEngine(t)
	runAgent(t, e, func(t *testing.T, s *Sidecar) {
		admit(t, s, "r1", "m/a")
		e.mu.Lock()
		e.born, e.sequence, e.models = 2, 0, nil
		e.adapters, e.loading = make(map[string]int64), make(map[string]int64)
		e.mu.Unlock()
		time.Sleep(time.Second)
		if state, _ := s.state.get(0); state.Running != 0 {
			t.Errorf("%d requests of the earlier incarnation still count as running", state.Running)
		}
		orders := e.accepted()
		if last := orders[len(orders)-1]; !last.Load || last.Model != "m" || last.Adapter != "" {
			t.Errorf("the last order is %+v, want a load of the base model", last)
		}
		if reply := admit(t, s, "r2", "m/a"); !reply.Start {
			t.Errorf("refused: %s", reply.Reason)
		}
	})
}

func TestCancelledAdmitReleasesStart(t *testing.T) {
	e := newFakeEngine(t)
	runAgent(t, e, func(t *testing.T, s *Sidecar) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if _, err := s.admit(ctx, wire.StartRequest{ID: "r1", Adapter: "m/a", WaitMillis: 5000}); err == nil {
			t.Error("a cancelled start was granted")
		}
		time.Sleep(time.Second)
		if state, _ := s.state.get(0); state.Running != 0 || state.Waiting != 0 {
			t.Errorf("state after the cancelled start: %+v", state)
		}
	})
}

func TestWatchSendsListsOnlyOnChange(t *testing.T) {
	e := newFakeEngine(t)
	runAgent(t, e, func(t *testing.T, s *Sidecar) {
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

// After a total power loss the engine starts empty, with its model on its own disk; the
// configuration arrives later, with the log's leader. Callers would be refused for as long as
// the agent waits for it.
func TestModelOnDiskLoadsWithoutConfiguration(t *testing.T) {
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
	if orders := e.accepted(); len(orders) != 1 || !orders[0].Load || orders[0].Model != "m" {
		t.Errorf("got orders %+v, want one load of m", orders)
	}
}

// The first attempt of a request ends because its engine restarted, and the second one is granted
// by the same agent. The end of the first attempt arrives after that; if it counted, the adapter
// would lose its reference and be unloaded during the second attempt.
func TestDoneOfEarlierAttemptIsIgnored(t *testing.T) {
	e := newFakeEngine(t)
	runAgent(t, e, func(t *testing.T, s *Sidecar) {
		for attempt := 1; attempt <= 2; attempt++ {
			reply, err := s.admit(t.Context(), wire.StartRequest{ID: "r1", Attempt: attempt, Adapter: "m/a", Prompt: 10, Tokens: 20, WaitMillis: 5000})
			if err != nil || !reply.Start {
				t.Fatalf("attempt %d: got %+v, %v, want a granted start", attempt, reply, err)
			}
		}
		if _, err := s.done(t.Context(), wire.StartDone{ID: "r1", Attempt: 1}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if state, _ := s.state.get(0); state.Running != 1 {
			t.Errorf("%d requests run, want only the second attempt", state.Running)
		}
		if _, err := s.done(t.Context(), wire.StartDone{ID: "r1", Attempt: 2}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		// Both slots must become free for other adapters.
		for _, adapter := range []string{"m/b", "m/c"} {
			if reply := admit(t, s, adapter, adapter); !reply.Start {
				t.Errorf("%s was refused: %s", adapter, reply.Reason)
			}
		}
	})
}

// An engine starts empty in a service with several models. Which one is needed is known
// elsewhere: the agent must request a permit, repeat the request until it is granted, and load
// the permitted model, not the first one.
func TestEmptyEngineLoadsPermittedModel(t *testing.T) {
	e := newFakeEngine(t)
	e.models, e.onDisk = nil, []string{"m"}
	requests := 0
	options := Options{Permit: func(_ context.Context, service string, onDisk []string, _ time.Time) string {
		if service != "llm" || len(onDisk) != 1 {
			t.Errorf("permit requested for service %q with %v on disk", service, onDisk)
		}
		if requests++; requests < 3 {
			return ""
		}
		return "rare"
	}}
	runAgentWith(t, e, options, []route.Model{{Name: "m"}, {Name: "rare"}}, func(t *testing.T, _ *Sidecar) {
		time.Sleep(2 * time.Second)
		orders := e.accepted()
		if len(orders) != 1 || orders[0].Model != "rare" || orders[0].Adapter != "" {
			t.Errorf("got orders %+v, want only the load of the permitted model", orders)
		}
		if requests != 3 {
			t.Errorf("a permit was requested %d times, want 3", requests)
		}
	})
}

// An engine is restarted behind its port and resets every order: the agent must not retry as
// fast as the orders fail.
func TestFailingOrdersBackOff(t *testing.T) {
	e := newFakeEngine(t)
	e.resetOrders = true
	const duration = 8 * time.Second
	runAgent(t, e, func(t *testing.T, s *Sidecar) {
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		_, _ = s.admit(ctx, wire.StartRequest{ID: "1", Adapter: "m/a", WaitMillis: duration.Milliseconds()})
		<-ctx.Done()
	})
	if limit := int(duration / orderTimeout); e.orderCalls == 0 || e.orderCalls > limit/2 {
		t.Errorf("%d orders were given in %s; without backoff it would be %d", e.orderCalls, duration, limit)
	}
}

// Many engines lost their models at the same time and the store serves them one after the
// other: an agent that has waited for long must ask less often than at first.
func TestPermitRequestsBackOff(t *testing.T) {
	e := newFakeEngine(t)
	e.models = nil
	var requests []time.Time
	options := Options{Permit: func(context.Context, string, []string, time.Time) string {
		requests = append(requests, time.Now())
		return ""
	}}
	runAgentWith(t, e, options, []route.Model{{Name: "m"}, {Name: "rare"}}, func(t *testing.T, _ *Sidecar) {
		time.Sleep(time.Minute)
	})
	const limit = 60
	if len(requests) < 20 || len(requests) > limit {
		t.Errorf("a permit was requested %d times in a minute, want 20 to %d", len(requests), limit)
	}
	if last := requests[len(requests)-1].Sub(requests[len(requests)-2]); last < time.Second {
		t.Errorf("after a minute a permit is requested every %s", last)
	}
}

// The late copy of an earlier order's answer is taken for the answer to a load that is lost. No
// request may start on an adapter that is not loaded, and the adapter must still be loaded.
func TestStaleOrderReplyStartsNothing(t *testing.T) {
	for staleCall := 1; staleCall <= 4; staleCall++ {
		e := newFakeEngine(t)
		e.staleCall = staleCall
		runAgent(t, e, func(t *testing.T, s *Sidecar) {
			for i, adapter := range []string{"m/a", "m/b", "m/c", "m/d"} {
				id := string(rune('1' + i))
				reply := admit(t, s, id, adapter)
				e.mu.Lock()
				_, held := e.adapters[adapter]
				e.mu.Unlock()
				if !reply.Start || !held {
					t.Errorf("with answer %d stale: start on %s granted %v (%s), adapter held %v", staleCall, adapter, reply.Start, reply.Reason, held)
				}
				if _, err := s.done(t.Context(), wire.StartDone{ID: id}); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// Answers to orders are lost, the orders are carried out at once or later, and reports arrive
// in between: the engine must never be ordered to hold more than it can.
func TestLostOrderRepliesDoNotOverloadEngine(t *testing.T) {
	for seed := range uint64(200) {
		random, losses := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 1))
		e := newFakeEngine(t)
		// The engine's mu guards losses.
		e.loseReply = func() (bool, time.Duration) {
			return losses.IntN(3) == 0, time.Duration(losses.Int64N(int64(150 * time.Millisecond)))
		}
		runAgent(t, e, func(t *testing.T, s *Sidecar) {
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
