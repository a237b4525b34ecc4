package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/backoff"
	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// watch follows the agent on an engine's machine. An engine that restarts keeps its agent: the
// known state remains valid, and requests to the new incarnation ask the agent for a start from
// the first one on.
func (s *servers) watch(ctx context.Context, engineAddress string, sameDataCentre bool) *agentClient {
	host, _, err := net.SplitHostPort(engineAddress)
	if err != nil {
		return nil
	}
	address := net.JoinHostPort(host, s.options.AgentPort)
	if known := s.agents[address]; known != nil {
		return known
	}
	ctx, stop := context.WithCancel(ctx)
	a := &agentClient{stop: stop, sameDataCentre: sameDataCentre, client: rpc.NewClient(address), log: s.log.With(zap.String("agent", address))}
	a.pause.Store(int64(remoteWatchPause))
	s.agents[address] = a
	go a.run(ctx)
	return a
}

// setPauses divides the watch rate that an entry can afford among its agents.
func (s *servers) setPauses(local, remote int) {
	localPause, remotePause := watchPauses(local, remote)
	for _, agent := range s.agents {
		if agent.sameDataCentre {
			agent.pause.Store(int64(localPause))
		} else {
			agent.pause.Store(int64(remotePause))
		}
	}
}

// watchPauses returns the pauses between two watch replies of an agent, in the local data
// centre and in other data centres, given the number of agents in each.
func watchPauses(local, remote int) (localPause, remotePause time.Duration) {
	return max(watchPause, time.Duration(local)*time.Second/maxLocalWatchRate), max(remoteWatchPause, time.Duration(remote)*time.Second/maxRemoteWatchRate)
}

// agentClient is the client of one agent.
type agentClient struct {
	stop   context.CancelFunc
	client *rpc.Client
	log    *zap.Logger
	// sameDataCentre is set for an agent in the local data centre. pause is the time between
	// two watch replies, in nanoseconds.
	sameDataCentre bool
	pause          atomic.Int64

	mu    sync.Mutex
	state wire.EngineState
	// load is the load in state, converted once: each choice reads it of every engine.
	load dispatch.Load
	// withinShare is the load as it applies to requests of teams within their shares.
	withinShare dispatch.Load
	// held records the adapters that the engine has evicted and may still keep in its memory.
	held dispatch.Held
	// sent counts the starts that this entry has requested since state was received, at
	// receivedAt.
	sent       dispatch.Sent
	receivedAt time.Time
	// floor is the least delay that declined starts prove although the agent reports less.
	floor dispatch.DelayFloor
	// silentSince is the time since which the agent does not answer although nothing refuses its
	// connections; zero while it answers. Its machine, and the engine on it, most likely stands
	// still or is cut off.
	silentSince time.Time
	// fellSilent is closed when the agent falls silent; nil while nobody waits for that.
	fellSilent chan struct{}
}

const (
	watchWait    = 500 * time.Millisecond
	watchTimeout = watchWait + 500*time.Millisecond
	// watchPause batches changes that occur within it. The state of engines in other data centres,
	// which get little of this entry's load, may be older, because traffic between data centres
	// is expensive.
	watchPause       = 80 * time.Millisecond
	remoteWatchPause = 250 * time.Millisecond
	// maxLocalWatchRate and maxRemoteWatchRate limit the watch replies per second of all agents
	// together, in the local data centre and in the others. Each reply costs both ends about
	// 0.1 ms, so watching takes less than 2% of a core regardless of the number of engines.
	maxLocalWatchRate  = 100
	maxRemoteWatchRate = 60
)

// watchBackoff is the backoff after a failed watch. The pause that follows from the agent's
// share of the watch rate is the lower limit.
var watchBackoff = backoff.Options{Initial: 100 * time.Millisecond, Max: 2 * time.Second}

func (a *agentClient) run(ctx context.Context) {
	defer a.client.Close()
	var failures backoff.Outage
	for ctx.Err() == nil {
		known := a.known()
		call, cancel := context.WithTimeout(ctx, watchTimeout)
		var state wire.EngineState
		err := a.client.Call(call, wire.MethodStartWatch, wire.StartWatch{
			Change: known.Change, HeldChange: known.HeldChange, WaitMillis: watchWait.Milliseconds(),
		}, &state)
		cancel()
		pause := time.Duration(a.pause.Load())
		if err != nil {
			state, pause = wire.EngineState{}, retryPause(pause, failures.Failed(time.Now()), rand.Float64())
		} else {
			failures.Succeeded()
		}
		a.setState(state)
		if a.recordWatch(err, time.Now()) {
			a.log.Info("agent silent or back", zap.Bool("silent", !a.silentSince.IsZero()), telemetry.Cause(err))
		}
		sleep(ctx, pause)
	}
}

// retryPause returns the pause after a failed watch. It is at least minPause, the pause that
// follows from the agent's share of the watch rate: an engine that does not answer costs no
// more than one that does.
func retryPause(minPause, failingFor time.Duration, random float64) time.Duration {
	return max(minPause, watchBackoff.Pause(failingFor, 0, random))
}

// recordWatch records how a watch ended, and returns whether the agent has fallen silent or is
// back. An agent that has ended refuses connections, and its engine goes on. A connection that
// ended says nothing: the timeout of another call may have closed it.
func (a *agentClient) recordWatch(err error, now time.Time) (changed bool) {
	var failure net.Error
	silent := errors.As(err, &failure) && failure.Timeout()
	if !silent && err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if silent != a.silentSince.IsZero() {
		return false
	}
	a.silentSince = time.Time{}
	if silent {
		a.silentSince = now
		if a.fellSilent != nil {
			close(a.fellSilent)
			a.fellSilent = nil
		}
	}
	return true
}

// silence returns a channel that is closed when the agent falls silent.
func (a *agentClient) silence() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fellSilent == nil {
		a.fellSilent = make(chan struct{})
	}
	return a.fellSilent
}

// silentAfter reports whether the agent is silent and has been since answeredAt or later.
func (a *agentClient) silentAfter(answeredAt time.Time) bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.silentSince.IsZero() && !answeredAt.After(a.silentSince)
}

// known returns the state that is known.
func (a *agentClient) known() wire.EngineState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// setState stores a state that the agent reported. An engine without a model has also lost
// everything that it kept in its memory.
func (a *agentClient) setState(state wire.EngineState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.storeState(state)
}

// learn stores the state that came with a reply to a start, unless a newer one is known. A
// restarted agent counts its changes anew; its next watch reply shows that.
func (a *agentClient) learn(state wire.EngineState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state.Known && a.state.Known && state.Change >= a.state.Change {
		a.storeState(state)
	}
}

// storeState stores a state, whose lists are omitted if they are the ones known. The caller
// holds mu.
func (a *agentClient) storeState(state wire.EngineState) {
	if state.HeldChange == a.state.HeldChange {
		state.Held, state.Stale = a.state.Held, a.state.Stale
	}
	switch {
	case state.Known && len(state.Models) == 0:
		a.held = dispatch.Held{}
	case state.Known && state.HeldChange != a.state.HeldChange:
		a.held.Update(state.Held)
	}
	if state.Known {
		agentReported.Reach()
	}
	a.state, a.load, a.sent, a.receivedAt = state, loadOf(&state), dispatch.Sent{}, time.Now()
	a.withinShare = loadWithinShare(a.load, &state)
}

// resetHeld discards the record of what an earlier incarnation of the engine kept in memory.
func (a *agentClient) resetHeld() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held = dispatch.Held{}
}

// isKnown reports whether the agent has reported the state of its engine.
func (a *agentClient) isKnown() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Known
}

// reportedAfter reports whether the agent was heard after a time and its engine reports to it.
func (a *agentClient) reportedAfter(at time.Time) bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Known && a.receivedAt.After(at)
}

// slowSince returns the last published factor by which the engine's machine is slower than usual; 0 if none was
// published since a time.
func (a *agentClient) slowSince(at time.Time) float64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.receivedAt.Before(at) {
		return 0
	}
	return a.load.Slow
}

// runs reports whether the agent's engine is the incarnation with a start time, as far as its reports
// tell one.
func (a *agentClient) runs(born int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Born == 0 || a.state.Born == born
}

// describe sets what the agent's last report and the starts requested since then say of the engine
// for a request. It returns false when there is no report.
func (a *agentClient) describe(c *dispatch.Candidate, r *dispatch.Request, model string, now time.Time) bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.state.Known {
		return false
	}
	load := &a.load
	if r.WithinShare {
		load = &a.withinShare
	}
	c.SetLoad(load, a.sent, r.Rank)
	c.Delay = max(c.Delay, a.floor.Delay(now))
	c.Age = now.Sub(a.receivedAt)
	c.Model = holds(a.state.Models, model) && !a.state.Leaving
	c.Residence = residence(&a.state, r.Adapter)
	if c.Residence == dispatch.Absent && a.held.Recent(r.Adapter) {
		c.Residence = dispatch.RecentlyHeld
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// grantMargin is the time that the RPC for a start may take beyond the start's own wait.
const grantMargin = time.Second

// errAgentSilent is the error of a start whose agent fell silent.
var errAgentSilent = errors.New("the agent fell silent")

// admit requests a start. When ctx ends or the agent falls silent, the RPC continues in the
// background and the start is released: aborting the RPC would close the connection that other
// requests share.
func (a *agentClient) admit(ctx context.Context, r wire.StartRequest) (wire.StartReply, error) {
	type result struct {
		reply wire.StartReply
		err   error
	}
	a.mu.Lock()
	a.sent.Starts++
	a.sent.Prompt += r.Prompt
	r.HeldChange = a.state.HeldChange
	a.mu.Unlock()
	silence := a.silence()
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
		if got.err == nil {
			a.learn(got.reply.State)
		}
		if got.err != nil && !rpc.IsPeerError(got.err) {
			// The start may have been granted and would occupy a slot for a request that goes
			// to another server.
			a.notifyDone(r.ID, r.Attempt)
		}
		return got.reply, got.err
	case <-ctx.Done():
		a.notifyDone(r.ID, r.Attempt)
		return wire.StartReply{}, ctx.Err()
	case <-silence:
		a.notifyDone(r.ID, r.Attempt)
		return wire.StartReply{}, errAgentSilent
	}
}

// notifyFirstEvent notifies the agent that a request has produced its first event. slow is the factor by which the
// engine's machine is slower than usual by the header of the answer, 0 for none, and age is the time since that header.
func (a *agentClient) notifyFirstEvent(id string, attempt int, slow float64, age time.Duration) {
	msg := wire.StartDone{ID: id, Attempt: attempt}
	if slow > 0 {
		// On the wire, 0 means that no factor was told.
		msg.SlowPercent = max(percent(slow), 1)
		msg.SlowAgeMillis = age.Milliseconds()
	}
	a.notify(wire.MethodStartFirstEvent, msg)
}

// notifyDone notifies the agent that a request has ended.
func (a *agentClient) notifyDone(id string, attempt int) {
	a.notify(wire.MethodStartDone, wire.StartDone{ID: id, Attempt: attempt})
}

// notifyEnded notifies the agent that a request has ended, and reports the longest gap of its
// stream and the gap that the route allows.
func (a *agentClient) notifyEnded(id string, attempt int, longest, allowed time.Duration) {
	a.notify(wire.MethodStartDone, wire.StartDone{ID: id, Attempt: attempt, PauseMillis: longest.Milliseconds(), AllowedMillis: allowed.Milliseconds()})
}

func (a *agentClient) notify(method string, msg wire.StartDone) {
	go func() {
		call, cancel := context.WithTimeout(context.Background(), grantMargin)
		defer cancel()
		// An agent that misses the notification detects the end from the engine's reports.
		_ = a.client.Call(call, method, msg, &wire.Empty{})
	}()
}
