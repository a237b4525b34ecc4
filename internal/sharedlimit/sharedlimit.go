// Package sharedlimit enforces, at an entry, limits that hold over all entries: it admits requests within the
// entry's credit, exchanges credit with the pools at other entries, and keeps the pools that others choose it for.
//
// Background tasks: one that exchanges credit periodically, and one call for each pool at the most.
package sharedlimit

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/credit"
	"github.com/rosemarypass/rosemarypass/coord/rendezvous"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Peers are the entries of the deployment.
type Peers interface {
	// Self describes this process, Known all processes that are known, this one included.
	Self() mesh.Process
	Known() []mesh.Process
	// Connected reports whether this process reaches most of the entries that it should, Ready whether it knows
	// enough to serve.
	Connected() bool
	Ready() bool
	// Call calls a method of another process.
	Call(ctx context.Context, address, method string, in, out any) error
}

const (
	// poolCount is the number of pools; the credit of each name is in one of them. It bounds the calls of an entry.
	poolCount = 4
	// minInterval is the least time between two exchanges with a pool. It grows with the number of entries, so
	// that the host of a pool is called at most 1/intervalPerEntry times a second.
	minInterval      = 100 * time.Millisecond
	intervalPerEntry = 4 * time.Millisecond
	// idleInterval is the time between two exchanges in which there is nothing to give or to ask for: the pool
	// tells which teams take credit again.
	idleInterval = 250 * time.Millisecond
	// exchangeTimeout limits one exchange: a request may wait for it.
	exchangeTimeout = 150 * time.Millisecond
	// avoidTime is how long an entry that did not answer is not chosen for a pool.
	avoidTime = 3 * time.Second
	// unknownRetryAfter is the time after which callers come back where no pool could be asked.
	unknownRetryAfter = 400 * time.Millisecond
)

// Limits enforces the limits of one kind at one entry.
type Limits struct {
	kind   *Kind
	peers  Peers
	source Source
	log    *zap.Logger

	mu     sync.Mutex
	holder *credit.Holder
	pools  *credit.Pools
	share  credit.Share
	// limits are those of the given version of the source, names those that are limited by pool.
	limits  map[string]credit.Limit
	names   [poolCount][]string
	version uint64
	// entries are the addresses of those known at the last interval; the hosts of pools are chosen from them.
	entries []string
	// avoided holds the entries that did not answer, until when.
	avoided map[string]time.Time
	links   [poolCount]link
	// exchangedAt is when the periodic exchanges were last begun.
	exchangedAt time.Time
	// settledAt is when this entry began to create credit, a moment after its start; waiting is the number of
	// requests that wait for its first credit.
	settledAt time.Time
	waiting   int
}

// link is the exchange with one pool.
type link struct {
	// pending is closed at the end of the exchange in progress; nil while there is none.
	pending chan struct{}
	at      time.Time
	// wanted holds the names whose pools take credit, as told last.
	wanted map[string]bool
}

// New returns limits that admit nothing until Run has learned of the other entries.
func New(kind *Kind, options credit.Options, peers Peers, source Source, log *zap.Logger) *Limits {
	options.Interval = minInterval
	return &Limits{
		kind: kind, peers: peers, source: source, log: log, holder: credit.NewHolder(options, time.Now()), pools: credit.NewPools(),
		limits: make(map[string]credit.Limit), avoided: make(map[string]time.Time),
	}
}

// Handlers returns the methods that other entries call.
func (l *Limits) Handlers() map[string]rpc.Handler {
	return map[string]rpc.Handler{l.kind.method: rpc.Typed(l.handleExchange)}
}

// Run exchanges credit until ctx ends.
func (l *Limits) Run(ctx context.Context) {
	due := make(chan struct{}, 1)
	timer := time.AfterFunc(0, func() { due <- struct{}{} })
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.source.Changed():
			l.configure(time.Now())
		case <-due:
			timer.Reset(l.refresh(ctx))
		}
	}
}

// configure applies the limits in force. The caller must not hold mu.
func (l *Limits) configure(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configureLocked(now)
}

func (l *Limits) configureLocked(now time.Time) {
	version, usable := l.source.Version()
	if !usable || version == l.version {
		return
	}
	l.version = version
	l.limits, l.names = make(map[string]credit.Limit), [poolCount][]string{}
	for name, limit := range l.source.Limits() {
		if limit.Limited() {
			pool := poolOf(name)
			l.limits[name], l.names[pool] = limit, append(l.names[pool], name)
		}
	}
	for _, names := range l.names {
		slices.Sort(names)
	}
	l.holder.SetLimits(l.limits, now)
}

// refresh observes the other entries, begins the exchanges that are due, and returns the time to the next ones.
func (l *Limits) refresh(ctx context.Context) time.Duration {
	known, ready, connected := l.peers.Known(), l.peers.Ready(), l.peers.Connected()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.entries = l.entries[:0]
	for _, p := range known {
		if p.Entry && time.Duration(p.SilentMillis)*time.Millisecond < credit.RememberEntries {
			l.entries = append(l.entries, p.Address)
		}
	}
	maps.DeleteFunc(l.avoided, func(_ string, until time.Time) bool { return now.After(until) })
	interval := max(minInterval, time.Duration(len(l.entries))*intervalPerEntry)
	among := l.share.Observe(len(l.entries), ready, connected, now)
	l.kind.sharedAmong.Set(int64(among))
	if among > 0 && among == len(l.entries) {
		l.kind.entriesSteady.Reach()
	}
	l.holder.SetShare(among, interval, now)
	if among > 0 && among <= mostAhead*len(l.entries) && l.settledAt.IsZero() {
		l.settledAt = now
		l.kind.firstCredit.Reach()
	}
	l.configureLocked(now)
	if len(l.limits) > 0 && now.Sub(l.exchangedAt) >= interval {
		l.exchangedAt = now
		for i := range l.links {
			l.exchange(ctx, i, now, false)
		}
	}
	switch {
	case among != len(l.entries):
		// The number of entries is not known yet, or grows.
		return minInterval
	case len(l.limits) == 0:
		return max(interval, l.kind.idleRefresh)
	}
	return interval
}

// poolOf returns the number of the pool that holds the credit of a name.
func poolOf(name string) int { return int(xxhash.Sum64String(name) % poolCount) }

// hostOf returns the address of the entry that hosts a pool. Entries that know different ones may choose
// differently, which only divides the pool. The caller holds mu.
func (l *Limits) hostOf(pool int, now time.Time) string {
	key := string(rune('0' + pool))
	candidates := slices.DeleteFunc(slices.Clone(l.entries), func(address string) bool { return now.Before(l.avoided[address]) })
	if len(candidates) == 0 {
		return ""
	}
	return slices.MaxFunc(candidates, func(a, b string) int { return cmp.Compare(rendezvous.Weight(key, a), rendezvous.Weight(key, b)) })
}

// exchange begins an exchange with a pool and returns a channel that is closed at its end; if one is in progress,
// it returns that one's. Unless needed is set, it begins none that has nothing to tell, but for a rare one. The
// caller holds mu.
func (l *Limits) exchange(ctx context.Context, pool int, now time.Time, needed bool) <-chan struct{} {
	k := &l.links[pool]
	if k.pending != nil {
		return k.pending
	}
	host := l.hostOf(pool, now)
	if host == "" {
		return nil
	}
	transfers := l.holder.Transfers(l.names[pool], k.wanted, now)
	if len(transfers) == 0 && !needed && now.Sub(k.at) < idleInterval {
		return nil
	}
	k.at = now
	l.kind.exchanges.Add(1)
	in := wire.CreditExchange{Pool: pool, Transfers: transfers}
	if host == l.peers.Self().Address {
		l.receive(pool, l.answerExchange(in, now), now)
		return nil
	}
	done := make(chan struct{})
	k.pending = done
	go l.call(ctx, host, in, done)
	return done
}

// call carries out one exchange.
func (l *Limits) call(ctx context.Context, host string, in wire.CreditExchange, done chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply wire.CreditReply
	err := l.peers.Call(ctx, host, l.kind.method, in, &reply)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.links[in.Pool].pending = nil
	if err != nil {
		// What was given is lost: the host may have it.
		l.kind.exchangesLost.Add(1)
		l.avoided[host] = now.Add(avoidTime)
		l.log.Info("credit not exchanged", zap.Int("pool", in.Pool), zap.String("host", host), zap.String("kind", l.kind.name), zap.Int("names", len(in.Transfers)), telemetry.Cause(err))
	} else {
		l.receive(in.Pool, reply, now)
	}
	close(done)
}

// receive applies a host's answer. The caller holds mu.
func (l *Limits) receive(pool int, reply wire.CreditReply, now time.Time) {
	l.holder.Receive(reply.Grants, now)
	wanted := make(map[string]bool, len(reply.Wanted))
	for _, name := range reply.Wanted {
		wanted[name] = true
	}
	l.links[pool].wanted = wanted
}

// answerExchange answers an exchange with a pool that this entry hosts. The caller holds mu.
func (l *Limits) answerExchange(in wire.CreditExchange, now time.Time) wire.CreditReply {
	if in.Pool < 0 || in.Pool >= poolCount {
		return wire.CreditReply{}
	}
	limitOf := func(name string) credit.Limit { return l.limits[name] }
	return wire.CreditReply{Grants: l.pools.Exchange(in.Transfers, limitOf, now), Wanted: l.pools.Wanted(l.names[in.Pool], limitOf)}
}

func (l *Limits) handleExchange(_ context.Context, in wire.CreditExchange) (wire.CreditReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.configureLocked(now)
	return l.answerExchange(in, now), nil
}

// Decision says whether a request is within a limit.
type Decision struct {
	Admitted bool
	// RetryAfter is the time in which the limit is expected to cover a refused request.
	RetryAfter time.Duration
	// Standing is the credit by which it was decided.
	Standing credit.Standing
}

// isStarting reports whether the first credit may not have covered those yet that waited for it. The caller holds
// mu.
func (l *Limits) isStarting(now time.Time) bool {
	return l.settledAt.IsZero() || now.Sub(l.settledAt) < firstCreditTime
}

const (
	// maxUnsettled bounds the requests that wait at an entry that has just started, settleTimeout their wait
	// and settlePause the pause between two of their tries.
	maxUnsettled  = 512
	settleTimeout = time.Second
	settlePause   = 20 * time.Millisecond
	// mostAhead is how many times the known entries a rate may be divided among for it to count as the first credit:
	// right behind a start, an entry that learns of all others at once divides among far more.
	mostAhead = 2
	// firstCreditTime is the time at the rate of a limit in which requests that waited for an entry to start
	// are covered.
	firstCreditTime = 500 * time.Millisecond
)

// admitUnsettled covers a request at an entry that has just started, and creates its first credit a moment later.
// It waits for that credit: what its limit covers is not known to be used up.
func (l *Limits) admitUnsettled(ctx context.Context, name string, cost float64) bool {
	if !l.kind.waitsAtStart || !l.enterUnsettled() {
		return false
	}
	defer l.leaveUnsettled()
	until := time.Now().Add(settleTimeout)
	for time.Now().Before(until) && wait.For(ctx, settlePause) == nil {
		l.mu.Lock()
		covered := l.take(name, cost, 1, time.Now())
		l.mu.Unlock()
		if covered {
			return true
		}
	}
	return false
}

// enterUnsettled reports whether a request may wait for the first credit.
func (l *Limits) enterUnsettled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isStarting(time.Now()) || l.waiting >= maxUnsettled {
		return false
	}
	l.waiting++
	return true
}

func (l *Limits) leaveUnsettled() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
}

// maxExchanges is for how many exchanges a request waits: the one in progress may have begun before it.
const maxExchanges = 2

// Admit covers the cost of a request by the credit of a name. Where this entry has too little, it asks the pool.
func (l *Limits) Admit(ctx context.Context, name string, cost float64) Decision {
	l.mu.Lock()
	l.configureLocked(time.Now())
	l.holder.RecordDemand(name, cost, time.Now())
	covered := l.take(name, cost, 0, time.Now())
	l.mu.Unlock()
	if covered || l.admitUnsettled(ctx, name, cost) {
		return Decision{Admitted: true}
	}
	for exchanges := 0; ; exchanges++ {
		d, pending := l.admit(ctx, name, cost, exchanges)
		if pending == nil {
			return d
		}
		select {
		case <-pending:
		case <-ctx.Done():
			return d
		}
	}
}

// admit tries once to cover a request. pending is the exchange after which to try again, nil for none.
func (l *Limits) admit(ctx context.Context, name string, cost float64, exchanges int) (d Decision, pending <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.take(name, cost, exchanges, now) {
		return Decision{Admitted: true}, nil
	}
	d.Standing = l.holder.Standing(name, now)
	if exchanges < maxExchanges && !now.Before(d.Standing.DeniedUntil) {
		// The exchange must outlast the request: what it takes and gives belongs to the entry.
		if pending = l.exchange(context.WithoutCancel(ctx), poolOf(name), now, true); pending != nil {
			return d, pending
		}
		if l.take(name, cost, maxExchanges, now) {
			return Decision{Admitted: true}, nil
		}
		d.Standing = l.holder.Standing(name, now)
	}
	l.kind.refused.Add(1)
	l.kind.use.Refuse(name, cost)
	if l.kind.returning {
		l.holder.Refused(name, cost)
	} else {
		l.holder.Withdrawn(name, cost)
	}
	d.RetryAfter = unknownRetryAfter
	if wait := d.Standing.DeniedUntil.Sub(now); wait > 0 {
		d.RetryAfter = wait
		if l.kind.returning {
			// Entries that had nothing to give while the pool was full learn of it with their next idle exchange.
			d.RetryAfter += idleInterval
		}
	}
	return d, nil
}

// take covers a request, if it can. The caller holds mu.
func (l *Limits) take(name string, cost float64, exchanges int, now time.Time) bool {
	if !l.holder.Take(name, cost, now) {
		return false
	}
	l.kind.admitted.Add(1)
	l.kind.use.Admit(name, cost)
	if exchanges > 0 {
		l.kind.waited.Add(1)
	}
	return true
}

// Standing returns the credit of a name at this entry.
func (l *Limits) Standing(name string) credit.Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.configureLocked(now)
	return l.holder.Standing(name, now)
}

// Return gives back the cost of a request that did not run.
func (l *Limits) Return(name string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.Return(name, cost)
	l.kind.use.Admit(name, -cost)
}
