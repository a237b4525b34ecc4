// Package limiter enforces the contracts' limits at an entry. A Limiter holds the
// entry's shares of contracts, admits requests within them and renews them at their
// owner, a control instance.
package limiter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/coord/quota"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

var (
	admittedCount      = telemetry.Counter("limits_admitted")
	queuedCount        = telemetry.Counter("limits_admitted_after_wait")
	ringFullCount      = telemetry.Counter("limits_ring_full")
	noLeaseCount       = telemetry.Counter("limits_refused_without_lease")
	renewalCount       = telemetry.Counter("limits_renewals")
	renewalFailedCount = telemetry.Counter("limits_renewals_lost")
	inUseGauge         = telemetry.Counter("limits_contracts_in_use")
)

// countRefusal counts a refusal under its clause.
func countRefusal(clause contract.Clause) {
	telemetry.Counter("limits_refused_" + string(clause)).Add(1)
}

// Contracts looks up a contract in the configuration known to the entry.
type Contracts interface {
	Contract(id string) (contract.Contract, bool)
}

// Options configures a limiter.
type Options struct {
	// Instance is the name of the entry, unique in the deployment.
	Instance string
	// Peers are the JSON-RPC addresses of the control instances.
	Peers []string
	// Quota must equal the owner's options.
	Quota quota.Options
	// RPC are the options of the connections to the control instances.
	RPC []rpc.ClientOption
	// Freshness, if set, reports whether too few control instances are running
	// to elect a leader, and when this was last observed. No new owner can have
	// granted shares before that time.
	Freshness func() freshness.State
}

const (
	// ringSize is the capacity of the quota loop's event queue. A request that
	// finds the queue full is refused as not run.
	ringSize = 4096
	// interval is the time between renewals. shortInterval is used instead
	// while a request waits for more than the owner had available at the last
	// renewal.
	interval      = 500 * time.Millisecond
	shortInterval = 100 * time.Millisecond
	// retryDelay is the backoff after a failed or refused call, before the next
	// control instance is called.
	retryDelay = 25 * time.Millisecond
	// renewTimeout is the timeout of one renewal. It is short enough for
	// several renewals within one lease.
	renewTimeout = 500 * time.Millisecond
	// releaseTimeout is the timeout for returning the shares at a planned stop.
	releaseTimeout = time.Second
)

// Limiter admits the requests of one entry. It implements entry.Admission.
type Limiter struct {
	options   Options
	contracts Contracts
	log       *zap.Logger
	events    chan event
	nextID    atomic.Uint64
	stopping  chan struct{}
	stopOnce  sync.Once
	stopped   chan struct{}
}

// New returns a limiter. Run starts its quota loop.
func New(options Options, contracts Contracts, log *zap.Logger) *Limiter {
	return &Limiter{
		options:   options,
		contracts: contracts,
		log:       log,
		events:    make(chan event, ringSize),
		stopping:  make(chan struct{}),
		stopped:   make(chan struct{}),
	}
}

// Stop returns the shares to their owner and ends the quota loop. It must be
// called after the last request has ended. It returns when the loop has ended or
// ctx ends.
func (l *Limiter) Stop(ctx context.Context) {
	l.stopOnce.Do(func() { close(l.stopping) })
	select {
	case <-l.stopped:
	case <-ctx.Done():
	}
}

// event is an input to the quota loop.
type event interface{ apply(*quotaLoop, time.Time) }

type requested struct {
	request quota.Request
	verdict chan<- quota.Action
}

type cancelled struct {
	contract string
	id       quota.RequestID
}

type settled struct {
	id  quota.RequestID
	use quota.Use
}

// Admit implements entry.Admission.
func (l *Limiter) Admit(ctx context.Context, request entry.AdmissionRequest) (entry.Permit, *entry.Refusal) {
	id := quota.RequestID(l.nextID.Add(1))
	verdict := make(chan quota.Action, 1)
	quotaRequest := quota.Request{ID: id, Contract: request.Contract, Tokens: request.Tokens()}
	select {
	case l.events <- requested{quotaRequest, verdict}:
	default:
		ringFullCount.Add(1)
		return nil, &entry.Refusal{RetryAfter: time.Second, Message: "this entry has too many requests at once"}
	}
	select {
	case action := <-verdict:
		return l.decide(action, request)
	case <-ctx.Done():
		l.events <- cancelled{request.Contract.ID, id}
		return nil, &entry.Refusal{RetryAfter: time.Second, Message: "the caller left"}
	}
}

func (l *Limiter) decide(action quota.Action, request entry.AdmissionRequest) (entry.Permit, *entry.Refusal) {
	switch action := action.(type) {
	case quota.Admit:
		admittedCount.Add(1)
		if action.Waited > 0 {
			queuedCount.Add(1)
		}
		return &permit{limiter: l, id: action.ID, prompt: request.Prompt}, nil
	case quota.Refuse:
		return nil, refusal(action, request.Contract)
	default:
		panic("limiter: unknown action")
	}
}

// permit implements entry.Permit.
type permit struct {
	limiter *Limiter
	id      quota.RequestID
	prompt  int64
}

// Settle blocks while the event queue is full, because a lost settlement would
// keep its slot taken. The loop never waits for a request, so the wait ends.
func (p *permit) Settle(use entry.Usage) {
	p.limiter.events <- settled{p.id, quota.Use{NotRun: use.NotRun, Tokens: usedTokens(use, p.prompt)}}
}

// usedTokens returns the engine's token count or, for a stream without one, an
// estimate: the prompt's bound plus one token for each event. It returns -1 if
// neither is known.
func usedTokens(use entry.Usage, prompt int64) int64 {
	switch {
	case use.Tokens > 0:
		return use.Tokens
	case use.Events > 0:
		return prompt + use.Events
	default:
		return -1
	}
}
