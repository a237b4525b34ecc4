package agent

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarypass/rosemarypass/coord/broker"
	"github.com/rosemarypass/rosemarypass/coord/slots"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	permitCount      = telemetry.Counter("agent_permits")
	localPermitCount = telemetry.Counter("agent_permits_local")
)

const (
	// syncWait is how long the broker may hold a report until a permit is free.
	syncWait = 300 * time.Millisecond
	// syncTimeout is how much longer a report may take before the broker
	// counts as cut off.
	syncTimeout = 300 * time.Millisecond
	// renewInterval is the time between reports while something is held.
	renewInterval = time.Second
	// brokerPause is how long a broker that failed is left alone.
	brokerPause = 3 * time.Second
	// localLimit is the most loads that an agent starts by itself while no
	// broker answers: with one each, a site's agents together pass the weight
	// store's knee, but only a few times over, and loads get slower, not lost.
	localLimit = 1
)

// permitClient gets permits to load from the site's load broker. The slot duty
// changes what is wanted; the permit duty reports it.
type permitClient struct {
	agent       string
	incarnation uint64
	peers       []string
	rpc         []rpc.ClientOption
	changed     chan struct{}

	mu       sync.Mutex
	wanted   []slots.Ask
	held     map[slots.OrderID]time.Time
	ended    []broker.Finished
	sequence uint64
}

func newPermitClient(options Options, incarnation uint64) *permitClient {
	return &permitClient{
		agent:       options.Server,
		incarnation: incarnation,
		peers:       brokerOrder(options.ControlPeers),
		rpc:         options.RPC,
		changed:     make(chan struct{}, 1),
		held:        make(map[slots.OrderID]time.Time),
	}
}

// brokerOrder is the order in which all agents of a site try the control
// instances as brokers: the first that answers serves. Agents that are cut off
// from different instances may use two brokers for a while; each then sees the
// loads get slower and narrows its window.
func brokerOrder(peers []string) []string {
	ordered := slices.Clone(peers)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return ordered
}

func (p *permitClient) update(change func()) {
	p.mu.Lock()
	change()
	p.mu.Unlock()
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// ask requests a permit, or updates the request.
func (p *permitClient) ask(a slots.Ask) {
	p.update(func() {
		i := slices.IndexFunc(p.wanted, func(known slots.Ask) bool { return known.Order == a.Order })
		if i >= 0 {
			p.wanted[i] = a
			return
		}
		p.wanted = append(p.wanted, a)
	})
}

// holding reports that a permitted load begins.
func (p *permitClient) holding(order slots.OrderID) {
	p.update(func() {
		p.forgetWanted(order)
		p.held[order] = time.Now()
	})
}

// finished reports that a load succeeded; its time teaches the broker.
func (p *permitClient) finished(order slots.OrderID) {
	p.update(func() {
		if began, ok := p.held[order]; ok {
			p.ended = append(p.ended, broker.Finished{Order: uint64(order), Took: time.Since(began)})
		}
		delete(p.held, order)
	})
}

// giveBack ends a request for a permit, or the permit.
func (p *permitClient) giveBack(order slots.OrderID) {
	p.update(func() {
		p.forgetWanted(order)
		delete(p.held, order)
	})
}

func (p *permitClient) forgetWanted(order slots.OrderID) {
	p.wanted = slices.DeleteFunc(p.wanted, func(a slots.Ask) bool { return a.Order == order })
}

// report is the next message, and whether it says anything.
func (p *permitClient) report() (wire.Loads, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	r := broker.Report{Agent: p.agent, Incarnation: p.incarnation, Finished: p.ended}
	for _, a := range p.wanted {
		r.Wanted = append(r.Wanted, broker.Want{Order: uint64(a.Order), Demand: a.Demand, Waited: time.Since(a.Since)})
	}
	for order := range p.held {
		r.Held = append(r.Held, uint64(order))
	}
	slices.Sort(r.Held)
	wait := time.Duration(0)
	if len(r.Wanted) > 0 {
		wait = syncWait
	}
	return wire.Loads{Report: r, Sequence: p.sequence, WaitMillis: wait.Milliseconds()}, len(r.Wanted)+len(r.Held)+len(r.Finished) > 0
}

// run reports to the broker whenever something changed, and grants loads
// itself while no broker answers. A report that waits for a permit does not
// hold the next one up: the broker answers the older at once when a newer comes.
func (p *permitClient) run(ctx context.Context, send func(event)) {
	brokers := make([]*brokerPeer, 0, len(p.peers))
	for _, address := range p.peers {
		brokers = append(brokers, &brokerPeer{client: rpc.NewClient(address, p.rpc...)})
	}
	var exchanges sync.WaitGroup
	free := make(chan struct{}, maxExchanges)
	said := false
	for ctx.Err() == nil {
		report, something := p.report()
		if something || said {
			said = something
			free <- struct{}{}
			exchanges.Go(func() {
				p.exchange(ctx, brokers, report, send)
				<-free
			})
		}
		p.awaitChange(ctx, len(report.Report.Wanted) > 0)
	}
	for _, b := range brokers {
		b.client.Close()
	}
	exchanges.Wait()
}

// maxExchanges is the most reports under way at once.
const maxExchanges = 2

// awaitChange returns when there is news to report, a request to repeat or a
// lease to renew.
func (p *permitClient) awaitChange(ctx context.Context, wanting bool) {
	pause := renewInterval
	if wanting {
		pause = syncWait
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-p.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// brokerPeer is a control instance that may serve as broker.
type brokerPeer struct {
	client *rpc.Client
	// pausedUntil is in nanoseconds since 1970.
	pausedUntil atomic.Int64
}

func (p *permitClient) exchange(ctx context.Context, brokers []*brokerPeer, report wire.Loads, send func(event)) {
	for _, b := range brokers {
		if time.Now().UnixNano() < b.pausedUntil.Load() {
			continue
		}
		reply, err := call(ctx, b.client, report)
		if err != nil {
			b.pausedUntil.Store(time.Now().Add(brokerPause).UnixNano())
			continue
		}
		p.forgetReported(report.Report.Finished)
		for _, order := range reply.Granted {
			permitCount.Add(1)
			p.grant(slots.OrderID(order), send)
		}
		return
	}
	p.forgetReported(report.Report.Finished)
	p.grantLocally(send)
}

func call(ctx context.Context, client *rpc.Client, report wire.Loads) (wire.LoadsReply, error) {
	wait := time.Duration(report.WaitMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+syncTimeout)
	defer cancel()
	var reply wire.LoadsReply
	err := client.Call(ctx, wire.MethodLoads, report, &reply)
	return reply, err
}

// forgetReported forgets the finished loads that were reported.
func (p *permitClient) forgetReported(finished []broker.Finished) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = slices.DeleteFunc(slices.Clone(p.ended), func(f broker.Finished) bool { return slices.Contains(finished, f) })
}

// grant passes a permit on to the slot duty, once.
func (p *permitClient) grant(order slots.OrderID, send func(event)) {
	p.mu.Lock()
	wanted := slices.ContainsFunc(p.wanted, func(a slots.Ask) bool { return a.Order == order })
	p.forgetWanted(order)
	if wanted {
		p.held[order] = time.Now()
	}
	p.mu.Unlock()
	if wanted {
		send(permitted{order: order})
	}
}

func (p *permitClient) grantLocally(send func(event)) {
	p.mu.Lock()
	free := localLimit - len(p.held)
	orders := make([]slots.OrderID, 0, localLimit)
	for i := 0; i < len(p.wanted) && i < free; i++ {
		orders = append(orders, p.wanted[i].Order)
	}
	p.mu.Unlock()
	for _, order := range orders {
		localPermitCount.Add(1)
		p.grant(order, send)
	}
}
