package limiter

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/coord/quota"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// duty owns the holder. No other goroutine accesses it.
type duty struct {
	*Limiter
	holder   *quota.Holder
	verdicts map[quota.RequestID]chan<- quota.Action
	clients  []*rpc.Client
	// owner is the index of the control instance that last accepted a renewal.
	owner    int
	renewals chan renewalResult
	// renewAt is the latest time for the next renewal.
	renewAt time.Time
	// regularRenewal is true if the renewal in flight is a regular one.
	regularRenewal bool
	leased         bool
}

// renewalResult is the result of one renewal.
type renewalResult struct {
	reply quota.Reply
	err   error
}

// Run admits requests until ctx ends or Stop is called.
func (l *Limiter) Run(ctx context.Context) {
	defer close(l.stopped)
	d := &duty{
		Limiter:  l,
		holder:   quota.NewHolder(l.options.Quota, l.options.Instance, uint64(time.Now().UnixNano())),
		verdicts: make(map[quota.RequestID]chan<- quota.Action),
		renewals: make(chan renewalResult, 1),
	}
	for _, peer := range l.options.Peers {
		d.clients = append(d.clients, rpc.NewClient(peer, l.options.RPC...))
	}
	defer d.close()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.stopping:
			d.release(ctx)
			return
		case e := <-l.events:
			e.apply(d, time.Now())
		case r := <-d.renewals:
			d.handleRenewal(time.Now(), r)
		case now := <-timer.C:
			d.perform(d.holder.Tick(now))
		}
		now := time.Now()
		d.renewIfDue(ctx, now)
		timer.Reset(d.nextWake(now))
	}
}

func (e asked) apply(d *duty, now time.Time) {
	d.verdicts[e.request.ID] = e.verdict
	d.perform(d.holder.Ask(now, e.request))
}

func (e cancelled) apply(d *duty, now time.Time) {
	delete(d.verdicts, e.id)
	d.perform(d.holder.Cancel(now, e.contract, e.id))
}

func (e settled) apply(d *duty, now time.Time) {
	d.perform(d.holder.Settle(now, e.id, e.use))
}

func (d *duty) perform(actions []quota.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case quota.Admit:
			d.answer(action.ID, action)
		case quota.Refuse:
			d.answer(action.ID, action)
		}
	}
}

func (d *duty) answer(id quota.RequestID, action quota.Action) {
	if verdict, ok := d.verdicts[id]; ok {
		verdict <- action
		delete(d.verdicts, id)
	}
}

// renewIfDue sends a renewal after its interval, or immediately if that can
// help a waiting request. Nothing is sent while no contract is in use.
func (d *duty) renewIfDue(ctx context.Context, now time.Time) {
	if d.holder.Renewing() || d.holder.InUse() == 0 {
		return
	}
	due := !now.Before(d.renewAt)
	if !due && !d.holder.Urgent(now) {
		return
	}
	d.updateContracts(now)
	renewal := d.holder.Renewal(now, due)
	d.regularRenewal = due
	inUseGauge.Set(int64(d.holder.InUse()))
	renewalCount.Add(1)
	client := d.clients[d.owner]
	go func() {
		var r renewalResult
		callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
		defer cancel()
		r.err = client.Call(callCtx, wire.MethodRenewQuota, renewal, &r.reply)
		d.renewals <- r
	}()
}

// updateContracts applies the entry's configuration to the contracts in use.
func (d *duty) updateContracts(now time.Time) {
	for _, id := range d.holder.Contracts() {
		if agreed, ok := d.contracts.Contract(id); ok {
			d.perform(d.holder.UpdateContract(now, agreed))
		}
	}
}

func (d *duty) handleRenewal(now time.Time, r renewalResult) {
	if r.err != nil || !r.reply.Accepted {
		renewalFailedCount.Add(1)
		if r.err != nil {
			d.holder.RenewalFailed()
		} else {
			d.holder.Reply(now, r.reply)
		}
		if !r.reply.Full {
			d.owner = (d.owner + 1) % len(d.clients)
		}
		d.renewAt = now.Add(retryDelay)
		d.extend(now)
		d.logLeaseChange(now)
		return
	}
	d.perform(d.holder.Reply(now, r.reply))
	if d.regularRenewal {
		d.renewAt = now.Add(interval)
	}
	if early := now.Add(shortInterval); early.Before(d.renewAt) && d.holder.Short() {
		d.renewAt = early
	}
	d.logLeaseChange(now)
}

// extend extends the lease of the shares while control has too few instances to
// elect a leader. Until then the shares cannot be granted to another entry.
func (d *duty) extend(now time.Time) {
	if d.options.Freshness == nil {
		return
	}
	if state := d.options.Freshness(); state.Kind == freshness.Unchangeable {
		d.holder.Extend(now, state.HaltedAt.Add(d.options.Quota.Lease))
	}
}

func (d *duty) logLeaseChange(now time.Time) {
	leased := d.holder.Leased(now)
	if leased != d.leased {
		d.log.Info("lease of the contracts' shares", zap.Bool("held", leased))
	}
	d.leased = leased
}

// nextWake returns the time until the duty must run again. While a renewal is
// in flight, its result wakes the duty.
func (d *duty) nextWake(now time.Time) time.Duration {
	wake := now.Add(interval)
	if due, ok := d.holder.NextTick(now); ok && due.Before(wake) {
		wake = due
	}
	if d.holder.InUse() > 0 && !d.holder.Renewing() && d.renewAt.Before(wake) {
		wake = d.renewAt
	}
	return max(0, wake.Sub(now))
}

// release returns the shares, so that other entries can get them immediately.
// If the message were lost, the slots would stay counted for the maximum
// duration of a request, so it is sent until the owner has accepted it.
func (d *duty) release(ctx context.Context) {
	if d.holder.Renewing() {
		// The end of the renewal closes the connection that the release would
		// use.
		<-d.renewals
	}
	if d.holder.InUse() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		var reply quota.Reply
		err := d.clients[d.owner].Call(ctx, wire.MethodRenewQuota, d.holder.Release(time.Now()), &reply)
		if err == nil && reply.Accepted {
			return
		}
		d.owner = (d.owner + 1) % len(d.clients)
		_ = wait.For(ctx, retryDelay)
	}
	d.log.Warn("could not return the shares to their owner; they expire by themselves")
}

func (d *duty) close() {
	for _, client := range d.clients {
		client.Close()
	}
}
