package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/residency"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// errBusy is returned when too many calls wait for the event loop.
var errBusy = errors.New("too many calls wait")

// Handlers returns the RPC methods that entries call.
func (s *Sidecar) Handlers() map[string]rpc.Handler {
	return map[string]rpc.Handler{
		wire.MethodStartAdmit:      rpc.Typed(s.admit),
		wire.MethodStartFirstEvent: rpc.Typed(s.firstEvent),
		wire.MethodStartDone:       rpc.Typed(s.done),
		wire.MethodStartWatch:      rpc.Typed(s.watch),
	}
}

func (s *Sidecar) submit(call func(*loop)) error {
	select {
	case s.calls <- call:
		return nil
	default:
		return errBusy
	}
}

func (s *Sidecar) admit(ctx context.Context, in wire.StartRequest) (wire.StartReply, error) {
	reply := make(chan wire.StartReply, 1)
	err := s.submit(func(l *loop) { l.admit(in, reply) })
	if err != nil {
		return wire.StartReply{}, err
	}
	select {
	case r := <-reply:
		r.State, _ = s.state.get(in.HeldChange)
		return r, nil
	case <-ctx.Done():
		_ = s.submit(func(l *loop) { l.release(in.ID, in.Attempt) })
		return wire.StartReply{}, ctx.Err()
	}
}

// reasonEngineUnknown is the reason for refusing a start when the engine has not reported.
const reasonEngineUnknown = "engine_unknown"

func (l *loop) admit(in wire.StartRequest, reply chan<- wire.StartReply) {
	if l.service == nil || !l.known {
		reply <- wire.StartReply{Reason: reasonEngineUnknown}
		return
	}
	l.learnEngine(in.Engine, in.Born)
	now := time.Now()
	if previous, known := l.attempts[in.ID]; known {
		l.release(in.ID, previous)
	}
	l.waiters[in.ID], l.attempts[in.ID] = reply, in.Attempt
	if in.Version > 0 {
		l.perform(l.table.VersionAnnounced(in.Adapter, in.Version, now.Add(-time.Duration(in.VersionAgeMillis)*time.Millisecond), now))
	}
	l.perform(l.table.Admit(residency.Request{
		Target: now.Add(time.Duration(in.TargetMillis) * time.Millisecond),
		ID:     in.ID, Adapter: in.Adapter, Rank: max(in.Rank, 0), Team: in.Team, Prompt: in.Prompt, Tokens: in.Tokens, StartDeadline: now.Add(time.Duration(in.WaitMillis) * time.Millisecond),
		MaxDelay: time.Duration(in.MaxDelayMillis) * time.Millisecond, OnlyIfHeld: in.OnlyIfHeld,
		Gap:   time.Duration(in.GapMillis) * time.Millisecond,
		Share: in.Share, BehindUntil: behindUntil(in.BehindMillis, now),
	}, now))
}

// reasonCancelled is the reason for refusing a start that is no longer wanted.
const reasonCancelled = "cancelled"

// release ends a start. The end of an earlier attempt may arrive after the next attempt, which
// can be at the same agent when its engine has restarted; it must not release the reference of
// the next attempt to its adapter.
func (l *loop) release(id string, attempt int) {
	if current, known := l.attempts[id]; !known || current != attempt {
		return
	}
	delete(l.attempts, id)
	l.answer(id, wire.StartReply{Reason: reasonCancelled})
	l.perform(l.table.Cancel(id, time.Now()))
}

func (s *Sidecar) done(_ context.Context, in wire.StartDone) (wire.Empty, error) {
	return wire.Empty{}, s.submit(func(l *loop) {
		if in.PauseMillis > 0 {
			l.table.RecordPause(time.Duration(in.PauseMillis)*time.Millisecond, time.Duration(in.AllowedMillis)*time.Millisecond)
		}
		l.release(in.ID, in.Attempt)
	})
}

func (s *Sidecar) firstEvent(_ context.Context, in wire.StartDone) (wire.Empty, error) {
	now := time.Now()
	return wire.Empty{}, s.submit(func(l *loop) {
		l.recordToldSpeed(in, now)
		if l.attempts[in.ID] == in.Attempt {
			l.table.FirstEvent(in.ID, now)
		}
	})
}

// delayStep is the step to which the published delay is rounded, so that the state does not
// change every millisecond.
const delayStep = 20 * time.Millisecond

// expectedLoadTime returns the time that the load of an adapter would take if it were requested
// now.
func (l *loop) expectedLoadTime() time.Duration {
	rounds := l.table.LoadBacklog() / maxConcurrentLoads
	return time.Duration(rounds+1) * l.loadTime
}

func delays(ranks [residency.Ranks]time.Duration) []int64 {
	rounded := make([]int64, 0, len(ranks))
	for _, d := range ranks {
		rounded = append(rounded, d.Round(delayStep).Milliseconds())
	}
	return rounded
}

// publish makes the current state visible to entries.
func (l *loop) publish() {
	now := time.Now()
	held, stale := l.table.Held(now)
	state := wire.EngineState{
		Known: l.known && l.service != nil, Born: l.report.Born, Leaving: l.report.Leaving,
		Running: l.table.Running(), Waiting: l.table.Waiting(), Tokens: l.table.Tokens(),
		DelayMillis: delays(l.table.Delay(now)), PromptMillis: l.table.PromptCost(now).Round(delayStep / 4).Milliseconds(),
		WithinShareMillis: l.delaysWithinShare(now),
		PlaceMillis:       l.table.PlaceTime().Round(delayStep / 4).Milliseconds(), SlotMillis: l.table.SlotDelay().Round(delayStep).Milliseconds(),
		LoadMillis: l.expectedLoadTime().Round(delayStep).Milliseconds(),
		Models:     l.report.Models, Held: held, Stale: stale, SlowPercent: l.table.SlowPercent(now),
	}
	holdAbove, holdLeft := l.table.Hold(now)
	state.HoldAbove, state.HoldMillis = holdAbove, holdLeft.Milliseconds()
	if l.service != nil {
		state.Batch, state.MemoryTokens = l.service.Engine.Batch, l.service.Engine.MemoryTokens
	}
	l.state.set(state)
	l.sendReplies()
	if now.Sub(l.lastSummary) >= summaryInterval {
		l.lastSummary = now
		l.log.Info("engine", zap.Bool("known", state.Known), zap.Bool("leaving", state.Leaving), zap.Int("running", state.Running), zap.Int("waiting", state.Waiting),
			zap.Int("tokens", state.Tokens), zap.Int("held", len(held)), zap.Int("stale", len(stale)), zap.Int64s("delayMillis", state.DelayMillis), zap.Int64("promptMillis", state.PromptMillis),
			zap.Int("slowPercent", state.SlowPercent), zap.Int("holdAbove", state.HoldAbove),
			zap.Int("orders", len(l.orders)), zap.Int("engineRunning", l.report.Running), zap.Int("engineWaiting", l.report.Waiting), zap.Int64("sequence", l.sequence))
	}
}

// summaryInterval is the interval between two log lines that summarize the engine.
const summaryInterval = 4 * time.Second

// stateCell holds the latest state and wakes those that wait for a change.
type stateCell struct {
	mu      sync.Mutex
	state   wire.EngineState
	changed chan struct{}
}

func newStateCell() stateCell { return stateCell{changed: make(chan struct{})} }

func (c *stateCell) set(next wire.EngineState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next.Change, next.HeldChange = c.state.Change, c.state.HeldChange
	if !slices.Equal(next.Held, c.state.Held) || !slices.Equal(next.Stale, c.state.Stale) {
		next.HeldChange++
	}
	if equalStates(&next, &c.state) {
		return
	}
	next.Change++
	c.state = next
	close(c.changed)
	c.changed = make(chan struct{})
}

func equalStates(a, b *wire.EngineState) bool {
	return a.Known == b.Known && a.Leaving == b.Leaving && a.Running == b.Running && a.Waiting == b.Waiting && a.Tokens == b.Tokens &&
		a.PlaceMillis == b.PlaceMillis && a.SlotMillis == b.SlotMillis && a.Batch == b.Batch && a.MemoryTokens == b.MemoryTokens && slices.Equal(a.DelayMillis, b.DelayMillis) && slices.Equal(a.WithinShareMillis, b.WithinShareMillis) && a.PromptMillis == b.PromptMillis && a.LoadMillis == b.LoadMillis && slices.Equal(a.Models, b.Models) && a.HeldChange == b.HeldChange &&
		a.SlowPercent == b.SlowPercent && a.HoldAbove == b.HoldAbove && a.HoldMillis == b.HoldMillis
}

// get returns the state, without the lists of adapters if the caller has them as of
// heldChange, and a channel that is closed when it changes.
func (c *stateCell) get(heldChange uint64) (wire.EngineState, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.state
	if state.HeldChange == heldChange {
		state.Held, state.Stale = nil, nil
	}
	return state, c.changed
}

func (s *Sidecar) watch(ctx context.Context, in wire.StartWatch) (wire.EngineState, error) {
	deadline := time.NewTimer(time.Duration(in.WaitMillis) * time.Millisecond)
	defer deadline.Stop()
	for {
		state, changed := s.state.get(in.HeldChange)
		if state.Change != in.Change {
			return state, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return state, nil
		case <-ctx.Done():
			return wire.EngineState{}, ctx.Err()
		}
	}
}
