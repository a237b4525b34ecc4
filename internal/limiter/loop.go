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

// quotaLoop is the state of the goroutine that owns the holder. No other
// goroutine accesses it.
type quotaLoop struct {
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
	loop := &quotaLoop{
		Limiter:  l,
		holder:   quota.NewHolder(l.options.Quota, l.options.Instance, uint64(time.Now().UnixNano())),
		verdicts: make(map[quota.RequestID]chan<- quota.Action),
		renewals: make(chan renewalResult, 1),
	}
	for _, peer := range l.options.Peers {
		loop.clients = append(loop.clients, rpc.NewClient(peer, l.options.RPC...))
	}
	defer loop.close()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.stopping:
			loop.release(ctx)
			return
		case e := <-l.events:
			e.apply(loop, time.Now())
		case r := <-loop.renewals:
			loop.handleRenewal(time.Now(), r)
		case now := <-timer.C:
			loop.perform(loop.holder.Tick(now))
		}
		now := time.Now()
		loop.renewIfDue(ctx, now)
		timer.Reset(loop.nextWake(now))
	}
}

func (e requested) apply(l *quotaLoop, now time.Time) {
	l.verdicts[e.request.ID] = e.verdict
	l.perform(l.holder.Request(now, e.request))
}

func (e cancelled) apply(l *quotaLoop, now time.Time) {
	delete(l.verdicts, e.id)
	l.perform(l.holder.Cancel(now, e.contract, e.id))
}

func (e settled) apply(l *quotaLoop, now time.Time) {
	l.perform(l.holder.Settle(now, e.id, e.use))
}

func (l *quotaLoop) perform(actions []quota.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case quota.Admit:
			l.answer(action.ID, action)
		case quota.Refuse:
			l.answer(action.ID, action)
		}
	}
}

func (l *quotaLoop) answer(id quota.RequestID, action quota.Action) {
	if verdict, ok := l.verdicts[id]; ok {
		verdict <- action
		delete(l.verdicts, id)
	}
}

// renewIfDue sends a renewal when its interval has passed, or immediately if that
// can help a waiting request. Nothing is sent while no contract is in use.
func (l *quotaLoop) renewIfDue(ctx context.Context, now time.Time) {
	if l.holder.Renewing() || l.holder.InUse() == 0 {
		return
	}
	due := !now.Before(l.renewAt)
	if !due && !l.holder.Urgent(now) {
		return
	}
	l.updateContracts(now)
	renewal := l.holder.Renewal(now, due)
	l.regularRenewal = due
	inUseGauge.Set(int64(l.holder.InUse()))
	renewalCount.Add(1)
	client := l.clients[l.owner]
	go func() {
		var r renewalResult
		callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
		defer cancel()
		r.err = client.Call(callCtx, wire.MethodRenewQuota, renewal, &r.reply)
		l.renewals <- r
	}()
}

// updateContracts applies the entry's configuration to the contracts in use.
func (l *quotaLoop) updateContracts(now time.Time) {
	for _, id := range l.holder.Contracts() {
		if agreed, ok := l.contracts.Contract(id); ok {
			l.perform(l.holder.UpdateContract(now, agreed))
		}
	}
}

func (l *quotaLoop) handleRenewal(now time.Time, r renewalResult) {
	if r.err != nil || !r.reply.Accepted {
		renewalFailedCount.Add(1)
		if r.err != nil {
			l.holder.RenewalFailed()
		} else {
			l.holder.Reply(now, r.reply)
		}
		if !r.reply.Full {
			l.owner = (l.owner + 1) % len(l.clients)
		}
		l.renewAt = now.Add(retryDelay)
		l.extend(now)
		l.logLeaseChange(now)
		return
	}
	l.perform(l.holder.Reply(now, r.reply))
	if l.regularRenewal {
		l.renewAt = now.Add(interval)
	}
	if early := now.Add(shortInterval); early.Before(l.renewAt) && l.holder.Short() {
		l.renewAt = early
	}
	l.logLeaseChange(now)
}

// extend extends the lease of the shares while too few control instances are
// running to elect a leader. Without a leader, the shares cannot be granted to
// another entry.
func (l *quotaLoop) extend(now time.Time) {
	if l.options.Freshness == nil {
		return
	}
	if state := l.options.Freshness(); state.Kind == freshness.Unchangeable {
		l.holder.Extend(now, state.HaltedAt.Add(l.options.Quota.Lease))
	}
}

func (l *quotaLoop) logLeaseChange(now time.Time) {
	leased := l.holder.Leased(now)
	if leased != l.leased {
		l.log.Info("lease of the contracts' shares", zap.Bool("held", leased))
	}
	l.leased = leased
}

// nextWake returns the time until the loop must run again. While a renewal is in
// flight, its result wakes the loop.
func (l *quotaLoop) nextWake(now time.Time) time.Duration {
	wake := now.Add(interval)
	if due, ok := l.holder.NextTick(now); ok && due.Before(wake) {
		wake = due
	}
	if l.holder.InUse() > 0 && !l.holder.Renewing() && l.renewAt.Before(wake) {
		wake = l.renewAt
	}
	return max(0, wake.Sub(now))
}

// release returns the shares, so that other entries can get them immediately.
// If the message were lost, the slots would stay counted for the maximum
// duration of a request, so it is sent until the owner has accepted it.
func (l *quotaLoop) release(ctx context.Context) {
	if l.holder.Renewing() {
		// The end of the renewal closes the connection that the release would
		// use.
		<-l.renewals
	}
	if l.holder.InUse() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		var reply quota.Reply
		err := l.clients[l.owner].Call(ctx, wire.MethodRenewQuota, l.holder.Release(time.Now()), &reply)
		if err == nil && reply.Accepted {
			return
		}
		l.owner = (l.owner + 1) % len(l.clients)
		_ = wait.For(ctx, retryDelay)
	}
	l.log.Warn("could not return the shares to their owner; they remain reserved until they expire")
}

func (l *quotaLoop) close() {
	for _, client := range l.clients {
		client.Close()
	}
}
