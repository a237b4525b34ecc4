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

// errBusy means that too many calls wait for the duty.
var errBusy = errors.New("too many calls wait")

// Handlers are the methods that entries call.
func (s *Sidecar) Handlers() map[string]rpc.Handler {
	return map[string]rpc.Handler{
		wire.MethodStartAdmit: rpc.Typed(s.admit),
		wire.MethodStartBegun: rpc.Typed(s.begun),
		wire.MethodStartDone:  rpc.Typed(s.done),
		wire.MethodStartWatch: rpc.Typed(s.watch),
	}
}

func (s *Sidecar) submit(call func(*duty)) error {
	select {
	case s.calls <- call:
		return nil
	default:
		return errBusy
	}
}

func (s *Sidecar) admit(ctx context.Context, in wire.StartRequest) (wire.StartReply, error) {
	reply := make(chan wire.StartReply, 1)
	err := s.submit(func(d *duty) { d.admit(in, reply) })
	if err != nil {
		return wire.StartReply{}, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		_ = s.submit(func(d *duty) { d.end(in.ID, in.Try) })
		return wire.StartReply{}, ctx.Err()
	}
}

// unknownEngine refuses a start because the engine has not reported.
const unknownEngine = "engine_unknown"

func (d *duty) admit(in wire.StartRequest, reply chan<- wire.StartReply) {
	if d.service == nil || !d.known {
		reply <- wire.StartReply{Reason: unknownEngine}
		return
	}
	now := time.Now()
	if before, known := d.tries[in.ID]; known {
		d.end(in.ID, before)
	}
	d.waiters[in.ID], d.tries[in.ID] = reply, in.Try
	if in.Version > 0 {
		d.perform(d.table.Named(in.Adapter, in.Version, now))
	}
	parts := make([]residency.Part, 0, len(in.Parts))
	for _, part := range in.Parts {
		parts = append(parts, residency.Part(part))
	}
	d.perform(d.table.Admit(residency.Request{
		Parts: parts, Target: now.Add(time.Duration(in.TargetMillis) * time.Millisecond),
		ID: in.ID, Adapter: in.Adapter, Rank: in.Rank, Prompt: in.Prompt, Tokens: in.Tokens, Latest: now.Add(time.Duration(in.WaitMillis) * time.Millisecond),
	}, now))
}

// cancelled refuses a start that is not wanted any more.
const cancelled = "cancelled"

// end lets go of a start. The end of an earlier try may arrive behind the next
// one, which may be at the same agent when its engine has restarted: it must
// not take the next one's hold on its adapter.
func (d *duty) end(id string, try int) {
	if held, known := d.tries[id]; !known || held != try {
		return
	}
	delete(d.tries, id)
	d.answer(id, wire.StartReply{Reason: cancelled})
	d.perform(d.table.Cancel(id, time.Now()))
}

func (s *Sidecar) done(_ context.Context, in wire.StartDone) (wire.Empty, error) {
	return wire.Empty{}, s.submit(func(d *duty) {
		if in.PauseMillis > 0 {
			d.table.Paused(time.Duration(in.PauseMillis)*time.Millisecond, time.Duration(in.AllowedMillis)*time.Millisecond)
		}
		d.end(in.ID, in.Try)
	})
}

func (s *Sidecar) begun(_ context.Context, in wire.StartDone) (wire.Empty, error) {
	now := time.Now()
	return wire.Empty{}, s.submit(func(d *duty) {
		if d.tries[in.ID] == in.Try {
			d.table.Begun(in.ID, now)
		}
	})
}

// delayStep rounds the delay that entries see, so that it does not change with
// every millisecond.
const delayStep = 20 * time.Millisecond

// untilLoaded is how long an adapter that is asked for now would take to come.
func (d *duty) untilLoaded() time.Duration {
	before := d.table.LoadBacklog() / loadsAtOnce
	return time.Duration(before+1) * d.loadTime
}

func delays(of [residency.Ranks]time.Duration) []int64 {
	rounded := make([]int64, 0, len(of))
	for _, d := range of {
		rounded = append(rounded, d.Round(delayStep).Milliseconds())
	}
	return rounded
}

// publish shows entries the present state.
func (d *duty) publish() {
	now := time.Now()
	held, stale := d.table.Held(now)
	state := wire.EngineState{
		Known: d.known && d.service != nil, Leaving: d.report.Leaving,
		Running: d.table.Running(), Waiting: d.table.Waiting(), Tokens: d.table.Tokens(),
		DelayMillis: delays(d.table.Delay(now)), PromptMillis: d.table.PromptCost().Round(delayStep / 4).Milliseconds(),
		LoadMillis: d.untilLoaded().Round(delayStep).Milliseconds(),
		Models:     d.report.Models, Held: held, Stale: stale,
	}
	if d.service != nil {
		state.Batch, state.MemoryTokens = d.service.Engine.Batch, d.service.Engine.MemoryTokens
	}
	d.state.set(state)
	if now.Sub(d.summed) >= summaryInterval {
		d.summed = now
		d.log.Info("engine", zap.Bool("known", state.Known), zap.Bool("leaving", state.Leaving), zap.Int("running", state.Running), zap.Int("waiting", state.Waiting),
			zap.Int("tokens", state.Tokens), zap.Int("held", len(held)), zap.Int("stale", len(stale)), zap.Int64s("delayMillis", state.DelayMillis), zap.Int64("promptMillis", state.PromptMillis),
			zap.Int("orders", len(d.orders)), zap.Int("engineRunning", d.report.Running), zap.Int("engineWaiting", d.report.Waiting), zap.Int64("sequence", d.sequence))
	}
}

// summaryInterval is the pause between two lines that sum up the engine.
const summaryInterval = 4 * time.Second

// stateCell holds the newest state and wakes those who wait for a change.
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
		a.Batch == b.Batch && a.MemoryTokens == b.MemoryTokens && slices.Equal(a.DelayMillis, b.DelayMillis) && a.PromptMillis == b.PromptMillis && a.LoadMillis == b.LoadMillis && slices.Equal(a.Models, b.Models) && a.HeldChange == b.HeldChange
}

func (c *stateCell) get() (wire.EngineState, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, c.changed
}

func (s *Sidecar) watch(ctx context.Context, in wire.StartWatch) (wire.EngineState, error) {
	deadline := time.NewTimer(time.Duration(in.WaitMillis) * time.Millisecond)
	defer deadline.Stop()
	for {
		state, changed := s.state.get()
		if state.HeldChange == in.HeldChange {
			state.Held, state.Stale = nil, nil
		}
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
