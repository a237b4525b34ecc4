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
	quotaRenewals   = telemetry.Counter("control_quota_renewals")
	quotaRefused    = telemetry.Counter("control_quota_renewals_refused")
	quotaTenures    = telemetry.Counter("control_quota_tenures")
	quotaQueueFull  = telemetry.Counter("control_quota_ring_full")
	quotaOverLeased = telemetry.Counter("control_quota_over_leased")
)

// Ownership determines which instance owns the quotas. It is the leader of the log.
type Ownership interface {
	// QuotaTenure returns the term, which serves as the fencing token, and the
	// last index of this instance's log. owner is false unless it is certain that
	// no other instance owns the quotas at this moment.
	QuotaTenure() (epoch, lastIndex uint64, owner bool)
}

// SoleOwnership is the Ownership of a control instance that runs alone.
type SoleOwnership struct {
	// Epoch increases with every start of the instance.
	Epoch uint64
	// LastIndex returns the last index of the instance's log.
	LastIndex func() uint64
}

// QuotaTenure implements Ownership.
func (s SoleOwnership) QuotaTenure() (epoch, lastIndex uint64, owner bool) {
	return s.Epoch, s.LastIndex(), true
}

const (
	// quotaQueueLength bounds the calls that wait for the goroutine of Quotas. A
	// renewal that finds the queue full is refused, and its entry tries again.
	quotaQueueLength = 1024
	// quotaExpiryInterval is the time between two checks for expired leases.
	quotaExpiryInterval = 100 * time.Millisecond
)

// Quotas manages the quotas while its instance owns them. A single goroutine, started
// by Run, handles all calls.
type Quotas struct {
	options   quota.Options
	ownership Ownership
	contracts quota.Contracts
	log       *zap.Logger
	calls     chan func(*quotaState)
}

// NewQuotas returns a Quotas that handles calls once Run has started.
func NewQuotas(options quota.Options, ownership Ownership, contracts quota.Contracts, log *zap.Logger) *Quotas {
	return &Quotas{
		options:   options,
		ownership: ownership,
		contracts: contracts,
		log:       log,
		calls:     make(chan func(*quotaState), quotaQueueLength),
	}
}

// Handlers returns the JSON-RPC methods that entries call.
func (q *Quotas) Handlers() map[string]rpc.Handler {
	return map[string]rpc.Handler{wire.MethodRenewQuota: rpc.Typed(q.renew)}
}

// quotaState is the state that only the goroutine of Quotas accesses.
type quotaState struct {
	*Quotas
	owner *quota.Owner
	epoch uint64
}

// Run handles calls and expires leases until ctx ends.
func (q *Quotas) Run(ctx context.Context) {
	state := &quotaState{Quotas: q}
	ticker := time.NewTicker(quotaExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-q.calls:
			call(state)
		case now := <-ticker.C:
			if state.ensureTenure(now) {
				state.owner.Expire(now)
				quotaOverLeased.Set(int64(state.owner.OverLeased()))
			}
		}
	}
}

// ensureTenure reports whether this instance owns the quotas, and begins a tenure if
// it has just become the owner. A tenure that is detected late begins late, which
// only extends the time allowed for the predecessor's leases to expire.
func (s *quotaState) ensureTenure(now time.Time) bool {
	epoch, index, owner := s.ownership.QuotaTenure()
	if !owner {
		return false
	}
	if s.owner == nil || epoch != s.epoch {
		s.owner = quota.NewOwner(s.options, quota.Tenure{Epoch: epoch, Index: index, Began: now}, s.contracts)
		s.epoch = epoch
		quotaTenures.Add(1)
		s.log.Info("became owner of the quotas", zap.Uint64("epoch", epoch))
	}
	return true
}

var errQuotaQueueFull = errors.New("the quota duty is busy")

// call runs f on the goroutine of Quotas and waits for it to return.
func (q *Quotas) call(ctx context.Context, f func(*quotaState)) error {
	done := make(chan struct{})
	select {
	case q.calls <- func(s *quotaState) { f(s); close(done) }:
	default:
		quotaQueueFull.Add(1)
		return errQuotaQueueFull
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
	err := q.call(ctx, func(s *quotaState) { reply <- s.renew(time.Now(), renewal) })
	if err != nil {
		return quota.Reply{}, err
	}
	return <-reply, nil
}

func (s *quotaState) renew(now time.Time, renewal quota.Renewal) quota.Reply {
	quotaRenewals.Add(1)
	refused := quota.Reply{Incarnation: renewal.Incarnation, Number: renewal.Number}
	if !s.ensureTenure(now) {
		quotaRefused.Add(1)
		return refused
	}
	reply := s.owner.Renew(now, renewal)
	if !reply.Accepted {
		quotaRefused.Add(1)
	}
	return reply
}

// ErrNotOwner means that another instance owns the quotas, or no instance does.
var ErrNotOwner = errors.New("this instance does not own the quotas")

// Limits returns the limits in force of every contract in use, or of the contract id
// if that is not empty.
func (q *Quotas) Limits(ctx context.Context, id string) (operator.Limits, error) {
	type answer struct {
		limits operator.Limits
		owner  bool
	}
	result := make(chan answer, 1)
	err := q.call(ctx, func(s *quotaState) {
		limits, owner := s.limits(time.Now(), id)
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

func (s *quotaState) limits(now time.Time, id string) (limits operator.Limits, owner bool) {
	if !s.ensureTenure(now) {
		return operator.Limits{}, false
	}
	ids := []string{id}
	if id == "" {
		ids = s.owner.Contracts()
	}
	limits = operator.Limits{Epoch: s.epoch, Contracts: make([]operator.ContractLimits, 0, len(ids))}
	for _, id := range ids {
		if found, ok := s.contracts(id); ok {
			limits.Contracts = append(limits.Contracts, operator.ContractLimits{
				Standing: s.owner.Standing(id), Limits: found.Limits, Share: found.Share,
			})
		}
	}
	return limits, true
}

// SoleOwnership returns the Ownership of an instance that keeps its state in memory
// only.
func (c *Control) SoleOwnership() SoleOwnership {
	return SoleOwnership{Epoch: uint64(time.Now().UnixNano()), LastIndex: func() uint64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.machine.Index()
	}}
}

// ActiveContract returns a contract if it exists and is not retired.
func (c *Control) ActiveContract(id string) (contract.Contract, bool) {
	found, ok := c.Contract(id)
	return found, ok && !found.Retired
}
