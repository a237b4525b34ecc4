package control

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/quota"
	"github.com/rosemarypass/rosemarypass/internal/operator"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	quotaRenewals = telemetry.Counter("control_quota_renewals")
	quotaRefused  = telemetry.Counter("control_quota_renewals_refused")
	quotaTenures  = telemetry.Counter("control_quota_tenures")
	quotaBusy     = telemetry.Counter("control_quota_ring_full")
	quotaOver     = telemetry.Counter("control_quota_over_leased")
)

// Ownership tells which instance owns the quotas: the leader of the log.
type Ownership interface {
	// QuotaTenure returns the term as the fencing token and the last index of
	// this instance's log. It is false unless it is certain that no other
	// instance owns the quotas at this moment.
	QuotaTenure() (epoch, lastIndex uint64, owner bool)
}

// SoleOwnership is that of a control instance that runs alone.
type SoleOwnership struct {
	// Epoch grows with every start of the instance.
	Epoch uint64
	// LastIndex is the last index of its log.
	LastIndex func() uint64
}

// QuotaTenure implements Ownership.
func (s SoleOwnership) QuotaTenure() (epoch, lastIndex uint64, owner bool) {
	return s.Epoch, s.LastIndex(), true
}

const (
	// quotaRing bounds the renewals that wait for the duty; one that finds it
	// full is refused, and its entry tries again.
	quotaRing = 1024
	// quotaExpiry is the time between two searches for leases that ran out.
	quotaExpiry = 100 * time.Millisecond
)

// Quotas is the duty that owns the quotas while its instance is the owner.
type Quotas struct {
	options   quota.Options
	ownership Ownership
	contracts quota.Contracts
	log       *zap.Logger
	calls     chan func(*quotaDuty)
}

// NewQuotas returns the duty; Run starts it.
func NewQuotas(options quota.Options, ownership Ownership, contracts quota.Contracts, log *zap.Logger) *Quotas {
	return &Quotas{
		options:   options,
		ownership: ownership,
		contracts: contracts,
		log:       log,
		calls:     make(chan func(*quotaDuty), quotaRing),
	}
}

// Handlers returns the JSON-RPC methods that entries call.
func (q *Quotas) Handlers() map[string]rpc.Handler {
	return map[string]rpc.Handler{wire.MethodRenewQuota: rpc.Typed(q.renew)}
}

// quotaDuty is the state of the duty's goroutine.
type quotaDuty struct {
	*Quotas
	owner *quota.Owner
	epoch uint64
}

// Run owns the quotas until ctx ends.
func (q *Quotas) Run(ctx context.Context) {
	duty := &quotaDuty{Quotas: q}
	ticker := time.NewTicker(quotaExpiry)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-q.calls:
			call(duty)
		case now := <-ticker.C:
			if duty.current(now) {
				duty.owner.Expire(now)
				quotaOver.Set(int64(duty.owner.OverLeased()))
			}
		}
	}
}

// current reports whether this instance owns the quotas, and begins a tenure
// when it has become the owner. A tenure that is noticed late begins late, which
// only lets leases of the predecessor run out for longer.
func (d *quotaDuty) current(now time.Time) bool {
	epoch, index, owner := d.ownership.QuotaTenure()
	if !owner {
		return false
	}
	if d.owner == nil || epoch != d.epoch {
		d.owner = quota.NewOwner(d.options, quota.Tenure{Epoch: epoch, Index: index, Began: now}, d.contracts)
		d.epoch = epoch
		quotaTenures.Add(1)
		d.log.Info("this instance owns the quotas", zap.Uint64("epoch", epoch))
	}
	return true
}

var errQuotaBusy = errors.New("the quota duty is busy")

// call runs f on the duty's goroutine and waits for it.
func (q *Quotas) call(ctx context.Context, f func(*quotaDuty)) error {
	done := make(chan struct{})
	select {
	case q.calls <- func(d *quotaDuty) { f(d); close(done) }:
	default:
		quotaBusy.Add(1)
		return errQuotaBusy
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (q *Quotas) renew(ctx context.Context, renewal quota.Renewal) (quota.Reply, error) {
	reply := make(chan quota.Reply, 1)
	err := q.call(ctx, func(d *quotaDuty) { reply <- d.renew(time.Now(), renewal) })
	if err != nil {
		return quota.Reply{}, err
	}
	return <-reply, nil
}

func (d *quotaDuty) renew(now time.Time, renewal quota.Renewal) quota.Reply {
	quotaRenewals.Add(1)
	refused := quota.Reply{Incarnation: renewal.Incarnation, Number: renewal.Number}
	if !d.current(now) {
		quotaRefused.Add(1)
		return refused
	}
	reply := d.owner.Renew(now, renewal)
	if !reply.Accepted {
		quotaRefused.Add(1)
	}
	return reply
}

// ErrNotOwner means that another instance owns the quotas, or none.
var ErrNotOwner = errors.New("this instance does not own the quotas")

// Limits reports on every contract in use, or on the one that is named.
func (q *Quotas) Limits(ctx context.Context, id string) (operator.Limits, error) {
	type answer struct {
		limits operator.Limits
		owner  bool
	}
	result := make(chan answer, 1)
	err := q.call(ctx, func(d *quotaDuty) {
		limits, owner := d.limits(time.Now(), id)
		result <- answer{limits, owner}
	})
	if err != nil {
		return operator.Limits{}, err
	}
	if a := <-result; a.owner {
		return a.limits, nil
	}
	return operator.Limits{}, ErrNotOwner
}

func (d *quotaDuty) limits(now time.Time, id string) (limits operator.Limits, owner bool) {
	if !d.current(now) {
		return operator.Limits{}, false
	}
	ids := []string{id}
	if id == "" {
		ids = d.owner.Contracts()
	}
	limits = operator.Limits{Epoch: d.epoch, Contracts: make([]operator.ContractLimits, 0, len(ids))}
	for _, id := range ids {
		if agreed, ok := d.contracts(id); ok {
			limits.Contracts = append(limits.Contracts, operator.ContractLimits{
				Standing: d.owner.Standing(id), Limits: agreed.Limits, Share: agreed.Share,
			})
		}
	}
	return limits, true
}

// SoleOwnership is that of an instance whose state is in memory alone.
func (c *Control) SoleOwnership() SoleOwnership {
	return SoleOwnership{Epoch: uint64(time.Now().UnixNano()), LastIndex: func() uint64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.machine.Index()
	}}
}

// Agreed finds a contract that admits requests.
func (c *Control) Agreed(id string) (contract.Contract, bool) {
	found, ok := c.Contract(id)
	return found, ok && !found.Retired
}
