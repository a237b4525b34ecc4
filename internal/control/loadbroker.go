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
	brokerPermits = telemetry.Counter("broker_permits")
	brokerExpired = telemetry.Counter("broker_permits_expired")
	brokerLimit   = telemetry.Counter("broker_limit")
	brokerFlight  = telemetry.Counter("broker_in_flight")
	brokerQueued  = telemetry.Counter("broker_queued")
	brokerStore   = telemetry.Counter("broker_load_millis")
)

const (
	brokerTick = 250 * time.Millisecond
	maxLoads   = 5 * time.Second
)

// LoadBroker serves the site's load broker to agents. Its state is soft: a
// restarted broker learns what is in flight from the agents' next reports.
type LoadBroker struct {
	mu      sync.Mutex
	broker  *broker.Broker
	agents  map[string]agentSeen
	expired uint64
}

// agentSeen is the newest report of an agent.
type agentSeen struct {
	incarnation uint64
	sequence    uint64
	at          time.Time
	// superseded is closed when a newer report comes.
	superseded chan struct{}
	// granted holds a token when the agent got a permit by another's doing.
	granted chan struct{}
}

func (s agentSeen) newerThan(in wire.Loads) bool {
	if s.incarnation != in.Report.Incarnation {
		return s.incarnation > in.Report.Incarnation
	}
	return s.sequence >= in.Sequence
}

// NewLoadBroker returns a broker that knows no agents.
func NewLoadBroker(options broker.Options) *LoadBroker {
	return &LoadBroker{
		broker: broker.New(options),
		agents: make(map[string]agentSeen),
	}
}

// Run takes back the permits of silent agents until ctx ends.
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

// agentMemory is how long a silent agent's sequence is remembered.
const agentMemory = time.Minute

func (l *LoadBroker) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wake(l.broker.Tick(now))
	for name, seen := range l.agents {
		if now.Sub(seen.at) > agentMemory {
			delete(l.agents, name)
		}
	}
	l.publish()
}

// Sync answers MethodLoads.
func (l *LoadBroker) Sync(ctx context.Context, in wire.Loads) (wire.LoadsReply, error) {
	wait := min(time.Duration(in.WaitMillis)*time.Millisecond, maxLoads)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	reply, seen, current := l.take(in, time.Now())
	for current && len(reply.Granted) == 0 && wait > 0 {
		select {
		case <-seen.granted:
		case <-seen.superseded:
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

// take applies a report unless a newer one came first.
func (l *LoadBroker) take(in wire.Loads, now time.Time) (reply wire.LoadsReply, seen agentSeen, current bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, present := l.agents[in.Report.Agent]
	if known.newerThan(in) {
		return wire.LoadsReply{}, known, false
	}
	if present {
		close(known.superseded)
	}
	seen = agentSeen{
		incarnation: in.Report.Incarnation,
		sequence:    in.Sequence,
		at:          now,
		superseded:  make(chan struct{}),
		granted:     make(chan struct{}, 1),
	}
	l.agents[in.Report.Agent] = seen
	return l.sync(in.Report, now), seen, true
}

// poll looks again for permits of a report that was taken before. The first
// look told the load times.
func (l *LoadBroker) poll(in wire.Loads, now time.Time) (reply wire.LoadsReply, current bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.agents[in.Report.Agent]
	if seen.incarnation != in.Report.Incarnation || seen.sequence != in.Sequence {
		return wire.LoadsReply{}, false
	}
	in.Report.Finished = nil
	return l.sync(in.Report, now), true
}

// sync passes a report to the broker and wakes the agents that got a permit by
// it. The caller holds mu.
func (l *LoadBroker) sync(report broker.Report, now time.Time) wire.LoadsReply {
	own, others := l.broker.Sync(report, now)
	brokerPermits.Add(int64(len(own)))
	l.wake(others)
	l.publish()
	return replyOf(own)
}

// wake lets the polls of the agents with new permits look again. Waking every
// poll instead would cost a site of hundreds of agents, all waiting for a slow
// store, the square of their number for each report. The caller holds mu.
func (l *LoadBroker) wake(grants []broker.Grant) {
	for _, g := range grants {
		seen, known := l.agents[g.Agent]
		if !known {
			continue
		}
		select {
		case seen.granted <- struct{}{}:
		default:
		}
	}
}

func replyOf(grants []broker.Grant) wire.LoadsReply {
	var reply wire.LoadsReply
	for _, g := range grants {
		reply.Granted = append(reply.Granted, g.Order)
	}
	return reply
}

// publish sets the gauges. The caller holds mu.
func (l *LoadBroker) publish() {
	brokerLimit.Set(int64(l.broker.Limit()))
	brokerFlight.Set(int64(l.broker.InFlight()))
	brokerQueued.Set(int64(l.broker.Queued()))
	brokerStore.Set(l.broker.LoadTime().Milliseconds())
	brokerExpired.Add(int64(l.broker.Expired() - l.expired))
	l.expired = l.broker.Expired()
}
