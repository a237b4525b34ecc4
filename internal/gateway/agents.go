package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/backoff"
	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// watch follows the agent on an engine's machine. An engine that has restarted
// has the same agent: what is known of it stands, and the first requests to the
// new incarnation ask it as all others do.
func (s *servers) watch(ctx context.Context, engineAddress string, near bool) *agentClient {
	host, _, err := net.SplitHostPort(engineAddress)
	if err != nil {
		return nil
	}
	address := net.JoinHostPort(host, s.options.AgentPort)
	if known := s.agents[address]; known != nil {
		return known
	}
	ctx, stop := context.WithCancel(ctx)
	a := &agentClient{stop: stop, sameCentre: near, client: rpc.NewClient(address)}
	a.pause.Store(int64(watchPauseFar))
	s.agents[address] = a
	go a.run(ctx)
	return a
}

// pace shares the watches that an entry can afford among its agents.
func (s *servers) pace(near, far int) {
	nearPause, farPause := watchPauses(near, far)
	for _, agent := range s.agents {
		if agent.sameCentre {
			agent.pause.Store(int64(nearPause))
		} else {
			agent.pause.Store(int64(farPause))
		}
	}
}

// watchPauses are the pauses between two answers of an agent in the own data
// centre and in another one, for so many of each.
func watchPauses(near, far int) (nearPause, farPause time.Duration) {
	return max(watchPause, time.Duration(near)*time.Second/nearWatches), max(watchPauseFar, time.Duration(far)*time.Second/farWatches)
}

// agentClient speaks to one agent.
type agentClient struct {
	stop   context.CancelFunc
	client *rpc.Client
	// sameCentre is true in the own data centre; pause is that between two answers, in
	// nanoseconds.
	sameCentre bool
	pause      atomic.Int64

	mu    sync.Mutex
	state wire.EngineState
	// held remembers what the engine has dropped.
	held dispatch.Held
	// asked are the own starts since the state was taken.
	asked asked
}

// asked counts starts, and the tokens of their prompts, since a state was taken.
type asked struct {
	count, prompt int
	since         time.Time
}

// promptUnit is the number of tokens for which PromptMillis stands.
const promptUnit = 1000

const (
	watchWait    = 500 * time.Millisecond
	watchTimeout = watchWait + 500*time.Millisecond
	// watchPause lets news within it come together. Of engines in other data
	// centres, which get little of this entry's work, news may be older: bytes
	// between data centres are dear.
	watchPause    = 80 * time.Millisecond
	watchPauseFar = 250 * time.Millisecond
	// nearWatches and farWatches are the most answers a second of all agents in the
	// own data centre and in others together: each costs both ends some 0.1 ms, so
	// that watching takes under 2% of a core however many engines there are.
	nearWatches = 100
	farWatches  = 60
)

// watchRetries follow calls that failed; the share that the agent has of all watches
// goes before them.
var watchRetries = backoff.Options{First: 100 * time.Millisecond, Most: 2 * time.Second}

func (a *agentClient) run(ctx context.Context) {
	defer a.client.Close()
	var known wire.EngineState
	var trouble backoff.Trouble
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, watchTimeout)
		var state wire.EngineState
		err := a.client.Call(call, wire.MethodStartWatch, wire.StartWatch{
			Change: known.Change, HeldChange: known.HeldChange, WaitMillis: watchWait.Milliseconds(),
		}, &state)
		cancel()
		pause := time.Duration(a.pause.Load())
		if err != nil {
			state, pause = wire.EngineState{}, retryPause(pause, trouble.Failed(time.Now()), rand.Float64())
		} else {
			trouble.Over()
			if state.HeldChange == known.HeldChange {
				state.Held, state.Stale = known.Held, known.Stale
			}
		}
		known = state
		a.take(state)
		sleep(ctx, pause)
	}
}

// retryPause is the pause behind a watch that failed, of an agent whose share of the
// watches is one in a pause: an engine that does not answer costs no more than one
// that does.
func retryPause(share, trouble time.Duration, random float64) time.Duration {
	return max(share, watchRetries.Pause(trouble, 0, random))
}

// take takes a state. An engine that holds no model has lost all it kept in its
// memory as well.
func (a *agentClient) take(state wire.EngineState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case state.Known && len(state.Models) == 0:
		a.held = dispatch.Held{}
	case state.Known && state.HeldChange != a.state.HeldChange:
		a.held.Take(state.Held)
	}
	a.state, a.asked = state, asked{since: time.Now()}
}

// forget forgets what an earlier incarnation of the engine kept.
func (a *agentClient) forget() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held = dispatch.Held{}
}

// near is true for an adapter that the engine has dropped and most likely keeps.
func (a *agentClient) near(adapter string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held.Near(adapter)
}

func (a *agentClient) snapshot() (wire.EngineState, asked) {
	if a == nil {
		return wire.EngineState{}, asked{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state, a.asked
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// grantMargin is what the call of a start may take beyond its own wait.
const grantMargin = time.Second

// admit asks for a start. The call goes on when ctx ends, and is taken back:
// ending it would close the connection that other requests share.
func (a *agentClient) admit(ctx context.Context, r wire.StartRequest) (wire.StartReply, error) {
	type result struct {
		reply wire.StartReply
		err   error
	}
	a.mu.Lock()
	a.asked.count++
	a.asked.prompt += r.Prompt
	a.mu.Unlock()
	done := make(chan result, 1)
	go func() {
		call, cancel := context.WithTimeout(context.Background(), time.Duration(r.WaitMillis)*time.Millisecond+grantMargin)
		defer cancel()
		var got result
		got.err = a.client.Call(call, wire.MethodStartAdmit, r, &got.reply)
		done <- got
	}()
	select {
	case got := <-done:
		if got.err != nil && !rpc.Answered(got.err) {
			// The start may be granted, and would hold its place for a request that goes
			// elsewhere.
			a.done(r.ID, r.Try)
		}
		return got.reply, got.err
	case <-ctx.Done():
		a.done(r.ID, r.Try)
		return wire.StartReply{}, ctx.Err()
	}
}

// begun tells that a request has produced its first event.
func (a *agentClient) begun(id string, try int) {
	a.tell(wire.MethodStartBegun, wire.StartDone{ID: id, Try: try})
}

// done tells that a request has ended.
func (a *agentClient) done(id string, try int) {
	a.tell(wire.MethodStartDone, wire.StartDone{ID: id, Try: try})
}

// ended tells that a request has ended whose stream had pauses.
func (a *agentClient) ended(id string, try int, longest, allowed time.Duration) {
	a.tell(wire.MethodStartDone, wire.StartDone{ID: id, Try: try, PauseMillis: longest.Milliseconds(), AllowedMillis: allowed.Milliseconds()})
}

func (a *agentClient) tell(method string, told wire.StartDone) {
	go func() {
		call, cancel := context.WithTimeout(context.Background(), grantMargin)
		defer cancel()
		// An agent that cannot be told finds out by the engine's reports.
		_ = a.client.Call(call, method, told, &wire.Empty{})
	}()
}
