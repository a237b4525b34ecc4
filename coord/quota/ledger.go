package quota

import (
	"math"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

// allClauses is the shortage of a holder that gets nothing.
const allClauses shortage = 1<<clauses - 1

const (
	// keepRate is the fraction of steadyRate below which a lease on a rate is
	// not renewed.
	keepRate = 0.4
	// keepShare is the fraction of a leased rate above which the demand must
	// stay for the whole rate to be kept.
	keepShare = 0.8
	// maxOutstandingNew is the fraction of a bucket's capacity that holders may
	// have for a new lease on a rate, maxOutstandingRenewed that for a renewal.
	maxOutstandingNew     = 0.5
	maxOutstandingRenewed = 0.85
)

// ledger records how one contract is divided among its holders.
type ledger struct {
	limits      contract.Limits
	allocations map[holderKey]*allocation
	// reserve is the unleased content of the buckets, last brought up to date
	// at accruedAt. Nothing accrues and nothing new is granted before opens.
	reserve   Credit
	accruedAt time.Time
	opens     time.Time
	// next is the holder whose unmet need is served next, by measure.
	next     [measures]holderKey
	admitted uint64
	refused  [clauses]uint64
	// overLeased counts grants after which more than the contract was leased.
	overLeased uint64
}

// allocation is one holder's part of a ledger.
type allocation struct {
	// outstanding is the most that the holder may be using: the larger of
	// what it reported and what it has been granted since.
	outstanding Share
	// planned is the last grant, to which the holder will reduce its use.
	planned Share
	demand  Share
	// first is the credit that the holder's first queued request needs.
	first Credit
	busy  float64
}

func newLedger(limits contract.Limits, opens time.Time) *ledger {
	return &ledger{limits: limits, allocations: make(map[holderKey]*allocation), accruedAt: opens, opens: opens}
}

// openFull opens the ledger at the given time with full buckets. It is for a
// contract that no earlier owner can have leased.
func (l *ledger) openFull(now time.Time) {
	l.opens, l.accruedAt = now, now
	l.reserve = Credit{1, 1}
}

func (l *ledger) outstanding() Share {
	var sum Share
	for _, alloc := range l.allocations {
		for m := range sum {
			sum[m] += alloc.outstanding[m]
		}
	}
	return sum
}

// accrue refills the reserve at the unleased part of the rate.
func (l *ledger) accrue(now time.Time) {
	if !now.After(l.accruedAt) {
		return
	}
	elapsed := now.Sub(l.accruedAt).Seconds()
	l.accruedAt = now
	leased := l.outstanding()
	for b := range buckets {
		free := max(0, 1-leased[b.rate()])
		l.reserve[b] += free * elapsed * refill(b, l.limits) / capacity(b, l.limits)
	}
	l.clip(leased)
}

// clip limits the reserve to the unleased part of the buckets.
func (l *ledger) clip(leased Share) {
	for b := range buckets {
		l.reserve[b] = max(0, min(l.reserve[b], 1-leased[b.burst()]))
	}
}

func (l *ledger) full() bool {
	return l.reserve[requestBucket] >= 1-epsilon && l.reserve[tokenBucket] >= 1-epsilon
}

func (l *ledger) count(h Holding) {
	l.admitted += uint64(h.Admitted)
	for i, n := range h.Refused {
		l.refused[i] += uint64(n)
	}
}

// report replaces the recorded state of a holder by its report. A holder discards
// every earlier grant once it has sent a newer renewal, so the report is complete.
func (l *ledger) report(key holderKey, h Holding) {
	outstanding := h.Held
	outstanding[Slots] = max(outstanding[Slots], h.Busy)
	l.allocations[key] = &allocation{outstanding: outstanding, planned: h.Held, demand: h.Demand, first: h.First, busy: h.Busy}
	for b := range buckets {
		l.reserve[b] += h.Returned[b]
	}
	l.clip(l.outstanding())
}

func (l *ledger) remove(key holderKey) {
	delete(l.allocations, key)
	for m := range l.next {
		if l.next[m] == key {
			l.next[m] = holderKey{}
		}
	}
}

func (l *ledger) keepSlots(key holderKey) {
	old := l.allocations[key]
	l.remove(key)
	kept := Share{Slots: old.outstanding[Slots]}
	l.allocations[key] = &allocation{outstanding: kept, planned: kept, demand: kept, busy: old.busy}
}

// renewOnly grants no more than is held. Another holder, not yet known to this
// owner, may hold the rest.
func (l *ledger) renewOnly(key holderKey, h Holding) Grant {
	grant := Grant{Contract: h.Contract, Share: h.Held}
	grant.Share[Slots] = min(h.Held[Slots], h.Demand[Slots])
	grant.Short.add(slotClause, grant.Share[Slots] < h.Demand[Slots]-epsilon)
	for b := range buckets {
		grant.Short.add(int(b), h.First[b] > 0)
	}
	l.allocations[key].planned = grant.Share
	return grant
}

func (l *ledger) divide(key holderKey, h Holding) Grant {
	grant := Grant{Contract: h.Contract}
	alloc := l.allocations[key]
	others := l.totals(key)
	for b := range buckets {
		l.divideBucket(b, key, h, others, &grant)
	}
	slots, short := l.divideSlots(key, h, others)
	grant.Share[Slots] = slots
	grant.Short.add(slotClause, short)
	for m := range measures {
		alloc.outstanding[m] = max(alloc.outstanding[m], grant.Share[m])
	}
	alloc.planned = grant.Share
	leased := l.outstanding()
	l.checkLeased(leased)
	l.clip(leased)
	return grant
}

// overTolerance is the largest rounding error expected in a sum of many shares.
const overTolerance = 1e-6

// checkLeased counts rates and bursts that are leased twice, which must not happen
// under any order of messages. Slots are not checked: they can exceed the
// contract after its concurrency was reduced, until running requests have ended.
func (l *ledger) checkLeased(leased Share) {
	for b := range buckets {
		if leased[b.rate()] > 1+overTolerance || leased[b.burst()] > 1+overTolerance {
			l.overLeased++
		}
	}
}

// totals are the sums over all holders but one.
type totals struct{ outstanding, planned, demand Share }

func (l *ledger) totals(except holderKey) totals {
	var t totals
	for key, alloc := range l.allocations {
		if key == except {
			continue
		}
		for m := range measures {
			t.outstanding[m] += alloc.outstanding[m]
			t.planned[m] += alloc.planned[m]
			t.demand[m] += min(1, alloc.demand[m])
		}
	}
	return t
}

// proportion returns a holder's part of the contract in proportion to its demand.
func proportion(demand, others float64) float64 {
	return demand / max(1, demand+others)
}

// divideBucket grants a rate, credit, and the capacity to hold both.
func (l *ledger) divideBucket(b bucket, key holderKey, h Holding, others totals, grant *Grant) {
	rate := l.leasedRate(b, h, others)
	credit, short := l.lend(b, key, h, others)
	room := 0.0
	if rate > 0 {
		room = rate*l.refill(b)*leasedBurstTime.Seconds() + h.Mean[b]
	}
	if others.outstanding[b.burst()]+h.Level[b]+room > maxOutstanding(h.Held[b.rate()]) {
		rate, room = 0, 0
	}
	l.updateNext(b.burst(), key, short && rate == 0)
	level := h.Level[b] + credit
	safe := 1 - others.outstanding[b.burst()]
	planned := max(level, 1-others.planned[b.burst()]-l.heldBack(b, key))
	grant.Share[b.rate()] = rate
	grant.Share[b.burst()] = max(0, min(level+room, safe, planned))
	grant.Credit[b] = credit
	grant.Short.add(int(b), h.First[b] > 0 && credit < h.First[b]-epsilon)
	grant.Reserve[b] = l.reserve[b]
}

// maxOutstanding returns the fraction of a bucket's capacity that holders may have
// when one of them gets a rate. The reserve can only refill the capacity that
// holders do not have.
func maxOutstanding(heldRate float64) float64 {
	if heldRate > 0 {
		return maxOutstandingRenewed
	}
	return maxOutstandingNew
}

// refill returns the bucket's refill per second as a fraction of its capacity.
func (l *ledger) refill(b bucket) float64 { return refill(b, l.limits) / capacity(b, l.limits) }

// leasedRate returns the part of the rate to lease to a holder. A part that yields
// a request only rarely is not leased: it stays in the reserve, where credit for a
// whole request accumulates for the entry that needs it next.
func (l *ledger) leasedRate(b bucket, h Holding, others totals) float64 {
	m := b.rate()
	target := proportion(min(1, h.Demand[m]), others.demand[m])
	least := steadyRate * h.Mean[b]
	if held := h.Held[m]; held > 0 {
		// The part by which a rate is reduced refills no bucket until the
		// holder confirms it, so a rate that follows every burst would waste
		// part of the contract.
		least *= keepRate
		if target > held*keepShare && target < held {
			target = held
		}
	}
	rate := max(0, min(target, 1-others.outstanding[m]))
	if rate*l.refill(b) < least {
		return 0
	}
	return rate
}

// lend moves credit from the reserve to a holder. Credit that does not cover the
// holder's first request stays in the reserve: the holder could not use it, and
// many entries would each hold credit for a part of a request.
func (l *ledger) lend(b bucket, key holderKey, h Holding, others totals) (credit float64, short bool) {
	if h.First[b] <= 0 {
		return 0, false
	}
	space := 1 - others.outstanding[b.burst()] - h.Level[b]
	credit = max(0, min(l.reserve[b]-l.promised(b, key), h.Ask[b], space))
	if credit < h.First[b]-epsilon {
		return 0, true
	}
	l.reserve[b] -= credit
	return credit, false
}

// promised returns the credit that the reserve keeps for the holder served next.
// Otherwise small requests of other holders would use up the credit that a large
// request waits for.
func (l *ledger) promised(b bucket, key holderKey) float64 {
	next := l.next[b.burst()]
	alloc, ok := l.allocations[next]
	if !ok || next == key {
		return 0
	}
	return alloc.first[b]
}

// heldBack returns the capacity that others must leave for the promised credit.
func (l *ledger) heldBack(b bucket, key holderKey) float64 { return l.promised(b, key) }

// divideSlots grants whole slots. A holder with a queued request and no slot in use
// is served before others get more. Otherwise holders under steady load would
// reuse their slots for their own requests indefinitely and starve it.
func (l *ledger) divideSlots(key holderKey, h Holding, others totals) (slots float64, short bool) {
	demand := min(1, h.Demand[Slots])
	unit := 1 / float64(l.limits.Concurrency)
	target := max(math.Ceil(proportion(demand, others.demand[Slots])/unit-epsilon)*unit, h.Need)
	planned := 1 - others.planned[Slots] - l.slotHeldBack(key, unit)
	free := min(target, demand, 1-others.outstanding[Slots], planned)
	slots = max(0, math.Floor(free/unit+epsilon)*unit)
	short = slots < demand-epsilon
	l.updateNext(Slots, key, slots < h.Need-epsilon)
	return slots, short
}

func (l *ledger) slotHeldBack(key holderKey, unit float64) float64 {
	next := l.next[Slots]
	alloc, ok := l.allocations[next]
	if !ok || next == key {
		return 0
	}
	return max(0, unit-alloc.planned[Slots])
}

// updateNext makes a holder the next to be served if it is short and there is no
// other such holder, and ends this precedence once it is no longer short.
func (l *ledger) updateNext(m Measure, key holderKey, short bool) {
	_, taken := l.allocations[l.next[m]]
	switch {
	case short && !taken:
		l.next[m] = key
	case !short && l.next[m] == key:
		l.next[m] = holderKey{}
	}
}
