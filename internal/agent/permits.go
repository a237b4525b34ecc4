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
	// longPollWait is how long the broker may delay its reply to a report until
	// a permit is free.
	longPollWait = 300 * time.Millisecond
	// callTimeout is the time that a report may take beyond longPollWait before
	// the broker counts as unreachable.
	callTimeout = 300 * time.Millisecond
	// renewInterval is the time between reports while a permit is held.
	renewInterval = time.Second
	// brokerBackoff is how long a broker is not called after a failed call.
	brokerBackoff = 3 * time.Second
	// maxLocalLoads is the number of loads in progress up to which an agent
	// starts loads without a permit while no broker answers. With one load
	// each, the agents of a site together exceed the saturation point of the
	// weight store, but only a few times over: loads become slower but do not
	// fail.
	maxLocalLoads = 1
)

// permitClient obtains load permits from the site's load broker. The slot loop
// updates the wanted permits, and run reports them.
type permitClient struct {
	agent       string
	incarnation uint64
	peers       []string
	rpc         []rpc.ClientOption
	changed     chan struct{}

	mu       sync.Mutex
	wanted   []slots.PermitRequest
	held     map[slots.OrderID]time.Time
	finished []broker.Finished
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

// brokerOrder returns the order in which all agents of a site try the control
// instances as brokers. The first one that answers is used. Agents that are
// partitioned from different instances may temporarily use two brokers. Each
// broker then observes slower loads and narrows its window.
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

// request requests a permit, or updates an earlier request for the same order.
func (p *permitClient) request(a slots.PermitRequest) {
	p.update(func() {
		i := slices.IndexFunc(p.wanted, func(other slots.PermitRequest) bool { return other.Order == a.Order })
		if i >= 0 {
			p.wanted[i] = a
			return
		}
		p.wanted = append(p.wanted, a)
	})
}

// loadStarted reports that a permitted load has started.
func (p *permitClient) loadStarted(order slots.OrderID) {
	p.update(func() {
		p.removeWanted(order)
		p.held[order] = time.Now()
	})
}

// loadFinished reports that a load succeeded. The broker adjusts its window by
// the load's duration.
func (p *permitClient) loadFinished(order slots.OrderID) {
	p.update(func() {
		if began, ok := p.held[order]; ok {
			p.finished = append(p.finished, broker.Finished{Order: uint64(order), Took: time.Since(began)})
		}
		delete(p.held, order)
	})
}

// release withdraws a request for a permit or returns the permit.
func (p *permitClient) release(order slots.OrderID) {
	p.update(func() {
		p.removeWanted(order)
		delete(p.held, order)
	})
}

func (p *permitClient) removeWanted(order slots.OrderID) {
	p.wanted = slices.DeleteFunc(p.wanted, func(a slots.PermitRequest) bool { return a.Order == order })
}

// report returns the next message to the broker and whether it has any content.
func (p *permitClient) report() (wire.Loads, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	r := broker.Report{Agent: p.agent, Incarnation: p.incarnation, Finished: p.finished}
	for _, a := range p.wanted {
		r.Wanted = append(r.Wanted, broker.Want{Order: uint64(a.Order), Demand: a.Demand, Waited: time.Since(a.Since)})
	}
	for order := range p.held {
		r.Held = append(r.Held, uint64(order))
	}
	slices.Sort(r.Held)
	wait := time.Duration(0)
	if len(r.Wanted) > 0 {
		wait = longPollWait
	}
	return wire.Loads{Report: r, Sequence: p.sequence, WaitMillis: wait.Milliseconds()}, len(r.Wanted)+len(r.Held)+len(r.Finished) > 0
}

// run reports to the broker after every change, and grants loads itself while
// no broker answers. A report that waits for a permit does not delay the next
// one: the broker answers the older report immediately when a newer one
// arrives.
func (p *permitClient) run(ctx context.Context, send func(event)) {
	brokers := make([]*brokerPeer, 0, len(p.peers))
	for _, address := range p.peers {
		brokers = append(brokers, &brokerPeer{client: rpc.NewClient(address, p.rpc...)})
	}
	var exchanges sync.WaitGroup
	inFlight := make(chan struct{}, maxExchanges)
	lastHadContent := false
	for ctx.Err() == nil {
		report, hasContent := p.report()
		if hasContent || lastHadContent {
			lastHadContent = hasContent
			inFlight <- struct{}{}
			exchanges.Go(func() {
				p.exchange(ctx, brokers, report, send)
				<-inFlight
			})
		}
		p.awaitChange(ctx, len(report.Report.Wanted) > 0)
	}
	for _, b := range brokers {
		b.client.Close()
	}
	exchanges.Wait()
}

// maxExchanges is the maximum number of reports in flight.
const maxExchanges = 2

// awaitChange returns when there is a change to report, a request to repeat or
// a lease to renew.
func (p *permitClient) awaitChange(ctx context.Context, waiting bool) {
	pause := renewInterval
	if waiting {
		pause = longPollWait
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-p.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// brokerPeer is a control instance that may act as the broker.
type brokerPeer struct {
	client *rpc.Client
	// backoffUntil is the end of the backoff in Unix nanoseconds.
	backoffUntil atomic.Int64
}

func (p *permitClient) exchange(ctx context.Context, brokers []*brokerPeer, report wire.Loads, send func(event)) {
	for _, b := range brokers {
		if time.Now().UnixNano() < b.backoffUntil.Load() {
			continue
		}
		reply, err := callBroker(ctx, b.client, report)
		if err != nil {
			b.backoffUntil.Store(time.Now().Add(brokerBackoff).UnixNano())
			continue
		}
		p.removeFinished(report.Report.Finished)
		for _, order := range reply.Granted {
			permitCount.Add(1)
			p.grant(slots.OrderID(order), send)
		}
		return
	}
	p.removeFinished(report.Report.Finished)
	p.grantLocally(send)
}

func callBroker(ctx context.Context, client *rpc.Client, report wire.Loads) (wire.LoadsReply, error) {
	wait := time.Duration(report.WaitMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	var reply wire.LoadsReply
	err := client.Call(ctx, wire.MethodLoads, report, &reply)
	return reply, err
}

// removeFinished removes the finished loads that have been reported.
func (p *permitClient) removeFinished(finished []broker.Finished) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finished = slices.DeleteFunc(slices.Clone(p.finished), func(f broker.Finished) bool { return slices.Contains(finished, f) })
}

// grant passes a permit to the slot loop. It ignores duplicate grants.
func (p *permitClient) grant(order slots.OrderID, send func(event)) {
	p.mu.Lock()
	wanted := slices.ContainsFunc(p.wanted, func(a slots.PermitRequest) bool { return a.Order == order })
	p.removeWanted(order)
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
	free := maxLocalLoads - len(p.held)
	orders := make([]slots.OrderID, 0, maxLocalLoads)
	for i := 0; i < len(p.wanted) && i < free; i++ {
		orders = append(orders, p.wanted[i].Order)
	}
	p.mu.Unlock()
	for _, order := range orders {
		localPermitCount.Add(1)
		p.grant(order, send)
	}
}
