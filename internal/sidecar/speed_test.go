package sidecar

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// readPrompts has the engine read prompts at 20 tokens per millisecond, so that the agent
// learns its rate.
func readPrompts(t *testing.T, s *Sidecar) {
	t.Helper()
	for i := range 10 {
		r := wire.StartRequest{ID: fmt.Sprint("read", i), Prompt: 400 + 200*i, Tokens: 500, TargetMillis: 5000, WaitMillis: 5000}
		if reply, err := s.admit(t.Context(), r); err != nil || !reply.Start {
			t.Fatalf("refused: %+v, %v", reply, err)
		}
		time.Sleep(20*time.Millisecond + time.Duration(r.Prompt)*50*time.Microsecond)
		notifyFirst(t, s, wire.StartDone{ID: r.ID})
		if _, err := s.done(t.Context(), wire.StartDone{ID: r.ID}); err != nil {
			t.Fatal(err)
		}
	}
}

func notifyFirst(t *testing.T, s *Sidecar, in wire.StartDone) {
	t.Helper()
	if _, err := s.firstEvent(t.Context(), in); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// Guards against a told speed, or the pause that a route allows, that does not reach the decision
// about a start.
func TestPromptIsHeldByToldSpeed(t *testing.T) {
	e := newFakeEngine(t)
	runAgent(t, e, func(t *testing.T, s *Sidecar) {
		readPrompts(t, s)
		e.mu.Lock()
		e.events = func(time.Time) map[string]int { return map[string]int{"stream": 1} }
		e.mu.Unlock()
		held := promptsHeldCount.Value()
		stream := wire.StartRequest{ID: "stream", Prompt: 10, Tokens: 20, TargetMillis: 5000, WaitMillis: 5000, GapMillis: 300}
		if reply, err := s.admit(t.Context(), stream); err != nil || !reply.Start {
			t.Fatalf("refused: %+v, %v", reply, err)
		}
		time.Sleep(20 * time.Millisecond)
		notifyFirst(t, s, wire.StartDone{ID: "stream", SlowPercent: 250, SlowAgeMillis: 10})
		state, _ := s.state.get(0)
		if state.SlowPercent != 250 || state.HoldAbove < 1500 || state.HoldAbove > 2160 || state.HoldMillis != 300 {
			t.Errorf("the published state is %+v, want 250%%, a hold above about 2,000 tokens and for 300 ms", state)
		}
		began := time.Now()
		if reply, err := s.admit(t.Context(), wire.StartRequest{ID: "long", Prompt: 3000, Tokens: 3100, TargetMillis: 5000, WaitMillis: 5000}); err != nil || !reply.Start {
			t.Fatalf("refused: %+v, %v", reply, err)
		}
		// The told value decays: at 1.7 the prompt takes 270 ms.
		if waited := time.Since(began); waited < 200*time.Millisecond || waited > time.Second {
			t.Errorf("3,000 tokens were held for %s at 2.5 times the time", waited)
		}
		time.Sleep(2 * busyPoll)
		if got := promptsHeldCount.Value() - held; got != 1 {
			t.Errorf("%d held prompts were counted, want 1", got)
		}
	})
}

// Guards against values of an entry that a faulty header gave, or that are of no use any more.
func TestUselessToldSpeedIsIgnored(t *testing.T) {
	runAgent(t, newFakeEngine(t), func(t *testing.T, s *Sidecar) {
		for _, in := range []wire.StartDone{{}, {SlowPercent: -1}, {SlowPercent: 250, SlowAgeMillis: -1}, {SlowPercent: 250, SlowAgeMillis: 1 << 62}} {
			notifyFirst(t, s, in)
			if state, _ := s.state.get(0); state.SlowPercent != 0 {
				t.Errorf("%+v made the speed %d%%", in, state.SlowPercent)
			}
		}
	})
}

// Guards against an engine whose load header is false and that is logged for each answer, or never.
func TestFalseToldSpeedIsLoggedOnce(t *testing.T) {
	e := newFakeEngine(t)
	e.events = func(at time.Time) map[string]int {
		return map[string]int{"stream": 1 + int(at.Sub(time.Unix(0, 0))/(18*time.Millisecond)%(1<<30))}
	}
	runAgent(t, e, func(t *testing.T, s *Sidecar) {
		core, lines := observer.New(zap.WarnLevel)
		if err := s.submit(func(l *loop) { l.log = zap.New(core) }); err != nil {
			t.Fatal(err)
		}
		doubted := toldSpeedDoubtedCount.Value()
		if reply, err := s.admit(t.Context(), wire.StartRequest{ID: "stream", Prompt: 10, Tokens: 20, TargetMillis: 5000, WaitMillis: 5000}); err != nil || !reply.Start {
			t.Fatalf("refused: %+v, %v", reply, err)
		}
		notifyFirst(t, s, wire.StartDone{ID: "stream"})
		time.Sleep(5 * time.Second)
		for range 150 {
			notifyFirst(t, s, wire.StartDone{ID: "stream", SlowPercent: 250})
			time.Sleep(100 * time.Millisecond)
		}
		if got := toldSpeedDoubtedCount.Value() - doubted; got != 2 {
			t.Errorf("%d doubts were counted in 15 s, want 2", got)
		}
		if n := lines.FilterMessageSnippet("contradicts").Len(); n != 1 {
			t.Errorf("%d lines were logged, want 1", n)
		}
	})
}

// Guards against a summary line that does not tell why prompts wait.
func TestSummaryTellsSpeed(t *testing.T) {
	runAgent(t, newFakeEngine(t), func(t *testing.T, s *Sidecar) {
		core, lines := observer.New(zap.InfoLevel)
		if err := s.submit(func(l *loop) { l.log = zap.New(core) }); err != nil {
			t.Fatal(err)
		}
		time.Sleep(summaryInterval)
		notifyFirst(t, s, wire.StartDone{SlowPercent: 250})
		time.Sleep(summaryInterval)
		for _, line := range lines.FilterMessage("engine").All() {
			if fields := line.ContextMap(); fields["slowPercent"] == nil || fields["holdAbove"] == nil {
				t.Errorf("the summary line is %v", fields)
			}
		}
		if lines.FilterMessage("engine").Len() == 0 {
			t.Error("no summary line was logged")
		}
	})
}
