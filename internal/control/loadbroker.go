package control

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/broker"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	brokerPermits  = telemetry.Counter("broker_permits")
	brokerExpired  = telemetry.Counter("broker_permits_expired")
	brokerLimit    = telemetry.Counter("broker_limit")
	brokerInFlight = telemetry.Counter("broker_in_flight")
	brokerQueued   = telemetry.Counter("broker_queued")
	brokerLoadTime = telemetry.Counter("broker_load_millis")
)

const (
	brokerTick   = 250 * time.Millisecond
	maxLoadsWait = 5 * time.Second
)

// LoadBroker serves the site's load broker to agents. Its state is kept in memory
// only: a restarted broker rebuilds it from the agents' next reports, which include
// the loads in flight.
type LoadBroker struct {
	mu      sync.Mutex
	broker  *broker.Broker
	agents  map[string]agentReport
	expired uint64
}

// agentReport describes the newest report of an agent.
type agentReport struct {
	incarnation uint64
	sequence    uint64
	receivedAt  time.Time
	// superseded is closed when a newer report arrives.
	superseded chan struct{}
	// granted receives a value when another agent's report or the expiry of
	// permits led to a permit for this agent.
	granted chan struct{}
}

// supersedes reports whether the recorded report is at least as new as in.
func (r agentReport) supersedes(in wire.Loads) bool {
	if r.incarnation != in.Report.Incarnation {
		return r.incarnation > in.Report.Incarnation
	}
	return r.sequence >= in.Sequence
}

// NewLoadBroker returns a broker without agents.
func NewLoadBroker(options broker.Options) *LoadBroker {
	return &LoadBroker{
		broker: broker.New(options),
		agents: make(map[string]agentReport),
	}
}

// Run revokes the permits of agents that have stopped reporting until ctx ends.
func (l *LoadBroker) Run(ctx context.Context) {
	ticker := time.NewTicker(brokerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.tick(now)
		}
	}
}

// agentRetention is how long the sequence of an agent that has stopped reporting is
// kept.
const agentRetention = time.Minute

func (l *LoadBroker) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wake(l.broker.Tick(now))
	for name, report := range l.agents {
		if now.Sub(report.receivedAt) > agentRetention {
			delete(l.agents, name)
		}
	}
	l.updateMetrics()
}

// Sync answers MethodLoads.
func (l *LoadBroker) Sync(ctx context.Context, in wire.Loads) (wire.LoadsReply, error) {
	wait := min(time.Duration(in.WaitMillis)*time.Millisecond, maxLoadsWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	reply, report, current := l.accept(in, time.Now())
	for current && len(reply.Granted) == 0 && wait > 0 {
		select {
		case <-report.granted:
		case <-report.superseded:
			return reply, nil
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return wire.LoadsReply{}, ctx.Err()
		}
		reply, current = l.poll(in, time.Now())
	}
	return reply, nil
}

// accept applies a report unless a newer one arrived before it. current is false in
// that case.
func (l *LoadBroker) accept(in wire.Loads, now time.Time) (reply wire.LoadsReply, report agentReport, current bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous, present := l.agents[in.Report.Agent]
	if previous.supersedes(in) {
		return wire.LoadsReply{}, previous, false
	}
	if present {
		close(previous.superseded)
	}
	report = agentReport{
		incarnation: in.Report.Incarnation,
		sequence:    in.Sequence,
		receivedAt:  now,
		superseded:  make(chan struct{}),
		granted:     make(chan struct{}, 1),
	}
	l.agents[in.Report.Agent] = report
	return l.sync(in.Report, now), report, true
}

// poll checks again for permits for a report that was accepted before. It omits the
// finished loads, whose times accept has already passed to the broker.
func (l *LoadBroker) poll(in wire.Loads, now time.Time) (reply wire.LoadsReply, current bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.agents[in.Report.Agent]
	if report.incarnation != in.Report.Incarnation || report.sequence != in.Sequence {
		return wire.LoadsReply{}, false
	}
	in.Report.Finished = nil
	return l.sync(in.Report, now), true
}

// sync passes a report to the broker and wakes the polls of other agents that got a
// permit as a result. The caller holds mu.
func (l *LoadBroker) sync(report broker.Report, now time.Time) wire.LoadsReply {
	own, others := l.broker.Sync(report, now)
	brokerPermits.Add(int64(len(own)))
	l.wake(others)
	l.updateMetrics()
	return newLoadsReply(own)
}

// wake makes the polls of the agents with new permits check again. Waking every
// poll instead would be quadratic: with hundreds of agents waiting for a slow store,
// each report would cost the square of their number. The caller holds mu.
func (l *LoadBroker) wake(grants []broker.Grant) {
	for _, g := range grants {
		report, known := l.agents[g.Agent]
		if !known {
			continue
		}
		select {
		case report.granted <- struct{}{}:
		default:
		}
	}
}

func newLoadsReply(grants []broker.Grant) wire.LoadsReply {
	var reply wire.LoadsReply
	for _, g := range grants {
		reply.Granted = append(reply.Granted, g.Order)
	}
	return reply
}

// updateMetrics sets the gauges. The caller holds mu.
func (l *LoadBroker) updateMetrics() {
	brokerLimit.Set(int64(l.broker.Limit()))
	brokerInFlight.Set(int64(l.broker.InFlight()))
	brokerQueued.Set(int64(l.broker.Queued()))
	brokerLoadTime.Set(l.broker.LoadTime().Milliseconds())
	brokerExpired.Add(int64(l.broker.Expired() - l.expired))
	l.expired = l.broker.Expired()
}
