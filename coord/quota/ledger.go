package quota

import (
	"math"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

// everything is the shortage of a holder that gets nothing.
const everything shortage = 1<<clauses - 1

const (
	// keepRate is the part of steadyRate below which a leased rate ends.
	keepRate = 0.4
	// keepShare is how much of a leased rate must be in demand to keep it.
	keepShare = 0.8
	// roomShare is the part of a bucket that may be out when a rate is
	// leased, roomShareKept when it is renewed.
	roomShare     = 0.5
	roomShareKept = 0.85
)

// ledger divides one contract.
type ledger struct {
	limits contract.Limits
	lines  map[holderKey]*line
	// reserve is the unleased content of the buckets, at is when it was
	// last brought up to date. Nothing accrues before opens.
	reserve Credit
	at      time.Time
	opens   time.Time
	// first is the holder whose unmet need is served next, by measure.
	first    [measures]holderKey
	admitted uint64
	refused  [clauses]uint64
	// overLeased counts grants after which more than the contract was out.
	overLeased uint64
}

// line is one holder's part of a ledger.
type line struct {
	// outstanding is the most that the holder may be using: the larger of
	// what it reported and what it was granted since.
	outstanding Share
	// planned is the last grant, which the holder will come down to.
	planned Share
	demand  Share
	// first is the credit that the holder's first waiting request needs.
	first Credit
	busy  float64
}

func newLedger(limits contract.Limits, opens time.Time) *ledger {
	return &ledger{limits: limits, lines: make(map[holderKey]*line), at: opens, opens: opens}
}

// openFull opens the ledger of a contract that no earlier owner can have shared out.
func (l *ledger) openFull(now time.Time) {
	l.opens, l.at = now, now
	l.reserve = Credit{1, 1}
}

func (l *ledger) outstanding() Share {
	var sum Share
	for _, line := range l.lines {
		for m := range sum {
			sum[m] += line.outstanding[m]
		}
	}
	return sum
}

// accrue refills the reserve at the part of the rate that is not leased.
func (l *ledger) accrue(now time.Time) {
	if !now.After(l.at) {
		return
	}
	elapsed := now.Sub(l.at).Seconds()
	l.at = now
	leased := l.outstanding()
	for b := range buckets {
		free := max(0, 1-leased[b.rate()])
		l.reserve[b] += free * elapsed * refill(b, l.limits) / capacity(b, l.limits)
	}
	l.clip(leased)
}

// clip keeps the reserve within the part of the buckets that is not leased.
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

// report replaces what is known of a holder by what it says. It discards every
// earlier grant once it has sent a newer renewal, so this is all that it holds.
func (l *ledger) report(key holderKey, h Holding) {
	outstanding := h.Held
	outstanding[Slots] = max(outstanding[Slots], h.Busy)
	l.lines[key] = &line{outstanding: outstanding, planned: h.Held, demand: h.Demand, first: h.First, busy: h.Busy}
	for b := range buckets {
		l.reserve[b] += h.Returned[b]
	}
	l.clip(l.outstanding())
}

func (l *ledger) remove(key holderKey) {
	delete(l.lines, key)
	for m := range l.first {
		if l.first[m] == key {
			l.first[m] = holderKey{}
		}
	}
}

func (l *ledger) keepSlots(key holderKey) {
	old := l.lines[key]
	l.remove(key)
	kept := Share{Slots: old.outstanding[Slots]}
	l.lines[key] = &line{outstanding: kept, planned: kept, demand: kept, busy: old.busy}
}

// renewOnly grants no more than is held. Another holder that this owner has not
// heard of may hold the rest.
func (l *ledger) renewOnly(key holderKey, h Holding) Grant {
	grant := Grant{Contract: h.Contract, Share: h.Held}
	grant.Share[Slots] = min(h.Held[Slots], h.Demand[Slots])
	grant.Short.add(slotClause, grant.Share[Slots] < h.Demand[Slots]-epsilon)
	for b := range buckets {
		grant.Short.add(int(b), h.First[b] > 0)
	}
	l.lines[key].planned = grant.Share
	return grant
}

func (l *ledger) divide(key holderKey, h Holding) Grant {
	grant := Grant{Contract: h.Contract}
	line := l.lines[key]
	others := l.totals(key)
	for b := range buckets {
		l.divideBucket(b, key, h, others, &grant)
	}
	slots, short := l.divideSlots(key, h, others)
	grant.Share[Slots] = slots
	grant.Short.add(slotClause, short)
	for m := range measures {
		line.outstanding[m] = max(line.outstanding[m], grant.Share[m])
	}
	line.planned = grant.Share
	leased := l.outstanding()
	l.checkLeased(leased)
	l.clip(leased)
	return grant
}

// overTolerance is how much rounding may add to a sum of many shares.
const overTolerance = 1e-6

// checkLeased counts a rate or burst that is leased twice, which no schedule of
// messages may bring about. Slots can be over after a cut of the concurrency,
// until the requests that run have ended.
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
	for key, line := range l.lines {
		if key == except {
			continue
		}
		for m := range measures {
			t.outstanding[m] += line.outstanding[m]
			t.planned[m] += line.planned[m]
			t.demand[m] += min(1, line.demand[m])
		}
	}
	return t
}

// proportion is a holder's part by its demand.
func proportion(demand, others float64) float64 {
	return demand / max(1, demand+others)
}

// divideBucket grants a rate, credit and the capacity to hold both.
func (l *ledger) divideBucket(b bucket, key holderKey, h Holding, others totals, grant *Grant) {
	rate := l.leasedRate(b, h, others)
	credit, short := l.lend(b, key, h, others)
	room := 0.0
	if rate > 0 {
		room = rate*l.refill(b)*saveTime.Seconds() + h.Mean[b]
	}
	if others.outstanding[b.burst()]+h.Level[b]+room > roomLimit(h.Held[b.rate()]) {
		rate, room = 0, 0
	}
	l.queueFirst(b.burst(), key, short && rate == 0)
	level := h.Level[b] + credit
	safe := 1 - others.outstanding[b.burst()]
	planned := max(level, 1-others.planned[b.burst()]-l.heldBack(b, key))
	grant.Share[b.rate()] = rate
	grant.Share[b.burst()] = max(0, min(level+room, safe, planned))
	grant.Credit[b] = credit
	grant.Short.add(int(b), h.First[b] > 0 && credit < h.First[b]-epsilon)
	grant.Reserve[b] = l.reserve[b]
}

// roomLimit is how much of a bucket may be out at holders when one gets a rate.
// Capacity that is out cannot take up what the reserve refills.
func roomLimit(heldRate float64) float64 {
	if heldRate > 0 {
		return roomShareKept
	}
	return roomShare
}

// refill is the bucket's refill a second, as a fraction of its capacity.
func (l *ledger) refill(b bucket) float64 { return refill(b, l.limits) / capacity(b, l.limits) }

// leasedRate is the part of the rate that a holder refills by itself. A part
// that brings a request only now and then is not leased: it stays in the
// reserve, where whichever entry needs it next finds a whole request.
func (l *ledger) leasedRate(b bucket, h Holding, others totals) float64 {
	m := b.rate()
	target := proportion(min(1, h.Demand[m]), others.demand[m])
	least := steadyRate * h.Mean[b]
	if held := h.Held[m]; held > 0 {
		// A cut rate refills nobody until the holder confirms it, so a
		// rate that swings with every burst would waste the contract.
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

// lend moves credit for whole requests from the reserve to a holder. Less than
// its first request needs is of no use there, and many entries would each sit
// on a part of a request; so the reserve keeps it.
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

// promised is what the reserve keeps for the holder that is served next.
// Without it, small requests of others would use up what a large one waits for.
func (l *ledger) promised(b bucket, key holderKey) float64 {
	first := l.first[b.burst()]
	line, ok := l.lines[first]
	if !ok || first == key {
		return 0
	}
	return line.first[b]
}

// heldBack is the capacity that others must leave for what is promised.
func (l *ledger) heldBack(b bucket, key holderKey) float64 { return l.promised(b, key) }

// divideSlots grants whole slots. A holder with none in use and a waiting
// request is served before others raise theirs; without that, holders with a
// steady load would pass a slot from one request to the next for ever.
func (l *ledger) divideSlots(key holderKey, h Holding, others totals) (slots float64, short bool) {
	demand := min(1, h.Demand[Slots])
	unit := 1 / float64(l.limits.Concurrency)
	target := max(math.Ceil(proportion(demand, others.demand[Slots])/unit-epsilon)*unit, h.Need)
	planned := 1 - others.planned[Slots] - l.slotHeldBack(key, unit)
	free := min(target, demand, 1-others.outstanding[Slots], planned)
	slots = max(0, math.Floor(free/unit+epsilon)*unit)
	short = slots < demand-epsilon
	l.queueFirst(Slots, key, slots < h.Need-epsilon)
	return slots, short
}

func (l *ledger) slotHeldBack(key holderKey, unit float64) float64 {
	first := l.first[Slots]
	line, ok := l.lines[first]
	if !ok || first == key {
		return 0
	}
	return max(0, unit-line.planned[Slots])
}

// queueFirst makes a holder the one that is served next, or ends that.
func (l *ledger) queueFirst(m Measure, key holderKey, short bool) {
	_, taken := l.lines[l.first[m]]
	switch {
	case short && !taken:
		l.first[m] = key
	case !short && l.first[m] == key:
		l.first[m] = holderKey{}
	}
}
