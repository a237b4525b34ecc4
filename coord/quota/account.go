package quota

import (
	"math"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

const (
	// rateWindow is the period over which the arrival rate is averaged.
	rateWindow = time.Second
	// steadyRate is the number of requests per second from which a holder
	// leases a part of the rate. Below it, the holder borrows credit for each
	// request: a leased rate would be idle here while another entry needs it.
	steadyRate = 2.0
	// idleRate is the number of requests per second below which an account is
	// considered idle and dropped.
	idleRate = 0.05
	// headroom is the factor over its measured rate that a holder asks for.
	headroom = 1.25
	// growth is the factor over its own rate that a holder asks for when a
	// request waits only for that rate.
	growth = 4
	// leasedBurstTime is the period over which a holder accumulates unused
	// leased rate.
	leasedBurstTime = 300 * time.Millisecond
	// slotHeadroom is the number of slots in use for each spare slot.
	slotHeadroom = 4
	// runTimeWeight is the weight of the latest run in the mean run time.
	runTimeWeight = 0.1
	// runTimeSamples is the number of runs after which the mean is used.
	runTimeSamples = 8
)

// cost is the amount that a request takes from each bucket.
type cost [buckets]float64

// queuedRequest is a request that waits for admission.
type queuedRequest struct {
	id      RequestID
	cost    cost
	since   time.Time
	removed bool
}

// account is a holder's state for one contract.
type account struct {
	agreed contract.Contract
	share  Share
	// level is the content of the holder's buckets in units. It is negative
	// after a request used more than it was admitted for. accruedAt is when
	// it was last brought up to date.
	level     [buckets]float64
	accruedAt time.Time
	inFlight  int
	queue     []*queuedRequest
	queued    cost
	// rate is the moving average of offered units per second, last updated at
	// averagedAt.
	rate cost
	// offered counts the units offered since the last update of rate.
	offered    cost
	averagedAt time.Time
	// throttled is true for a bucket if, since the last renewal, a request had
	// to wait for the holder's own refill although the owner was not short.
	throttled [buckets]bool
	// demanded is the fraction of the rate that the last renewal asked for.
	// limited is true if the owner granted less because other holders use the
	// rest.
	demanded Credit
	limited  [buckets]bool
	// reported is the share in the last renewal that listed the account. sent
	// is true from then on, until a renewal fails or the lease expires.
	// mustConfirm is true while the owner counts more than the holder has.
	reported    Share
	sent        bool
	mustConfirm bool
	// reportedEmpty is true if the last renewal reported that the holder neither
	// holds nor needs any part of the contract.
	reportedEmpty bool
	// short is the shortage of the last grant. needSent is true if the latest
	// renewal includes the needs of all queued requests.
	short    shortage
	needSent bool
	// reserve is the content of the owner's buckets at the last grant.
	reserve Credit
	// returned is the credit given back since the last renewal.
	returned Credit
	// runTime is the mean run time of requests in seconds, over runs requests.
	runTime  float64
	runs     int
	admitted uint32
	refused  [clauses]uint32
}

func newAccount(agreed contract.Contract, now time.Time) *account {
	return &account{agreed: agreed, accruedAt: now, averagedAt: now}
}

// updateContract applies a newer revision of the contract. The share is a
// fraction, so the new limits take effect immediately.
func (a *account) updateContract(agreed contract.Contract, now time.Time) {
	if agreed.Revision <= a.agreed.Revision {
		return
	}
	a.accrue(now)
	a.agreed = agreed
	a.clip()
}

func (a *account) capacity(b bucket) float64 {
	return a.share[b.burst()] * capacity(b, a.agreed.Limits)
}

// refillRate returns the units per second by which the holder's own share refills.
func (a *account) refillRate(b bucket) float64 {
	return a.share[b.rate()] * refill(b, a.agreed.Limits)
}

func (a *account) accrue(now time.Time) {
	if !now.After(a.accruedAt) {
		return
	}
	elapsed := now.Sub(a.accruedAt).Seconds()
	a.accruedAt = now
	for b := range buckets {
		a.level[b] += a.refillRate(b) * elapsed
	}
	a.clip()
}

func (a *account) clip() {
	for b := range buckets {
		a.level[b] = min(a.level[b], a.capacity(b))
	}
}

// expire drops the share at the end of the lease. Requests in flight continue.
func (a *account) expire() {
	a.share = Share{}
	a.clip()
	a.short, a.needSent, a.sent = 0, false, false
}

// needsRenewal reports whether the next renewal must list the contract. An account
// that only has running requests need not be listed.
func (a *account) needsRenewal(now time.Time) bool {
	a.updateRate(now)
	switch {
	case !a.sent || a.mustConfirm || a.head() != nil || a.idle():
		return true
	case a.share[RequestRate] > 0 || a.share[TokenRate] > 0:
		return true
	case a.share[RequestBurst] > 0 || a.share[TokenBurst] > 0:
		return true
	}
	granted, wanted := a.slots(), a.wantedSlots()
	return granted-wanted > granted/slotHeadroom
}

// wantedSlots returns the number of slots that the holder could use, with headroom.
func (a *account) wantedSlots() int {
	return a.inFlight + a.waiting() + a.inFlight/slotHeadroom
}

func (a *account) slots() int {
	return int(math.Floor(a.share[Slots]*float64(a.agreed.Limits.Concurrency) + 1e-6))
}

// blockingClause returns the clause that prevents a request of the given cost from
// starting now, if any.
func (a *account) blockingClause(c cost) (clause int, blocked bool) {
	if a.inFlight >= a.slots() {
		return slotClause, true
	}
	for b := range buckets {
		if c[b] > 0 && a.level[b] < c[b]-epsilon*capacity(b, a.agreed.Limits) {
			return int(b), true
		}
	}
	return 0, false
}

func (a *account) take(c cost) {
	a.inFlight++
	a.admitted++
	for b := range buckets {
		a.level[b] -= c[b]
	}
}

// refund puts back what an admitted request did not use.
func (a *account) refund(c cost) {
	for b := range buckets {
		a.level[b] += c[b]
	}
	a.clip()
}

func (a *account) enqueue(w *queuedRequest) {
	a.queue = append(a.queue, w)
	for b := range buckets {
		a.queued[b] += w.cost[b]
	}
	a.needSent = false
}

// noteThrottle marks the buckets whose own refill delays the first queued request.
// Callers that wait for each answer before the next request send no faster than
// they are served, so their measured rate never shows that they could use more.
func (a *account) noteThrottle() {
	first := a.head()
	if first == nil {
		return
	}
	for b := range buckets {
		held := a.share[b.rate()]
		more := held > 0 && held < 1-epsilon && !a.limited[b] && !a.short.has(int(b))
		if more && first.cost[b] > a.level[b] {
			a.throttled[b] = true
		}
	}
}

// dequeue marks a request as removed and subtracts its cost from the queue's total.
func (a *account) dequeue(w *queuedRequest) {
	w.removed = true
	for b := range buckets {
		a.queued[b] -= w.cost[b]
	}
}

// head drops removed requests from the front and returns the first queued one,
// or nil.
func (a *account) head() *queuedRequest {
	for len(a.queue) > 0 && a.queue[0].removed {
		a.queue[0] = nil
		a.queue = a.queue[1:]
	}
	if len(a.queue) == 0 {
		a.queue = nil
		a.queued = cost{}
		return nil
	}
	return a.queue[0]
}

func (a *account) offer(c cost) {
	for b := range buckets {
		a.offered[b] += c[b]
	}
}

// updateRate updates the moving average of the arrival rate.
func (a *account) updateRate(now time.Time) {
	elapsed := now.Sub(a.averagedAt).Seconds()
	if elapsed <= 0 && a.offered == (cost{}) {
		return
	}
	decay := math.Exp(-elapsed / rateWindow.Seconds())
	for b := range buckets {
		a.rate[b] = a.rate[b]*decay + a.offered[b]/rateWindow.Seconds()
	}
	a.offered = cost{}
	a.averagedAt = now
}

func (a *account) recordRun(run time.Duration) {
	a.runs++
	if a.runs == 1 {
		a.runTime = run.Seconds()
		return
	}
	a.runTime += (run.Seconds() - a.runTime) * runTimeWeight
}

// predict estimates how long a new request would wait for each clause, and returns
// the longest wait and its clause. The estimate is a lower bound: it assumes the
// whole contract's rate unless the owner's last grant reported a shortage.
func (a *account) predict(c cost) (wait time.Duration, clause int) {
	longest, clause := 0.0, slotClause
	for b := range buckets {
		speed := refill(b, a.agreed.Limits)
		if own := a.refillRate(b); a.short.has(int(b)) && own > 0 {
			speed = own
		}
		missing := a.queued[b] + c[b] - max(a.level[b], a.assumedLevel(b))
		if wait := missing / speed; c[b] > 0 && wait > longest {
			longest, clause = wait, int(b)
		}
	}
	if slots := a.slots(); slots > 0 && a.runs >= runTimeSamples {
		ahead := a.inFlight + a.waiting() + 1 - slots
		if wait := float64(ahead) * a.runTime / float64(slots); a.short.has(slotClause) && wait > longest {
			longest, clause = wait, slotClause
		}
	}
	return seconds(longest), clause
}

// assumedLevel returns the most that the whole contract's bucket may contain: its
// capacity, unless the owner has reported a shortage along with its reserve.
func (a *account) assumedLevel(b bucket) float64 {
	if a.short.has(int(b)) {
		return a.reserve[b] * capacity(b, a.agreed.Limits)
	}
	return capacity(b, a.agreed.Limits)
}

func (a *account) waiting() int {
	n := 0
	for _, w := range a.queue {
		if !w.removed {
			n++
		}
	}
	return n
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// idle reports whether the holder needs no share of the contract.
func (a *account) idle() bool {
	return a.inFlight == 0 && a.head() == nil && a.rate[requestBucket] < idleRate
}

// holding reports what the holder has and needs, after giving up what it does
// not use.
func (a *account) holding(now time.Time) Holding {
	a.accrue(now)
	a.updateRate(now)
	if a.idle() {
		a.share = Share{}
		a.returnAll()
	}
	h := Holding{Contract: a.agreed.ID}
	a.describeSlots(&h)
	for b := range buckets {
		a.describeBucket(b, &h)
	}
	h.Returned, a.returned = a.returned, Credit{}
	h.Admitted, h.Refused = a.admitted, a.refused
	a.admitted, a.refused = 0, [clauses]uint32{}
	a.throttled = [buckets]bool{}
	a.needSent, a.sent, a.mustConfirm = true, true, false
	a.reported, a.reportedEmpty = h.Held, h.empty()
	return h
}

func (a *account) describeSlots(h *Holding) {
	n := float64(a.agreed.Limits.Concurrency)
	waiting := a.waiting()
	h.Busy = float64(a.inFlight) / n
	h.Held[Slots] = a.share[Slots]
	h.Demand[Slots] = min(1, float64(a.wantedSlots())/n)
	if waiting > 0 && a.inFlight == 0 {
		h.Need = 1 / n
	}
}

func (a *account) describeBucket(b bucket, h *Holding) {
	size := capacity(b, a.agreed.Limits)
	mean := a.meanCost(b)
	wanted := min(a.queued[b], size)
	room := 0.0
	if a.share[b.rate()] > 0 && a.rate[requestBucket] > 0 {
		room = a.refillRate(b)*leasedBurstTime.Seconds() + mean
	}
	a.trim(b, min(size, wanted+room), room)
	h.Held[b.rate()] = a.share[b.rate()]
	h.Held[b.burst()] = a.share[b.burst()]
	if !a.idle() {
		h.Demand[b.rate()] = a.rateDemand(b)
	}
	a.demanded[b] = h.Demand[b.rate()]
	h.Level[b] = max(0, a.level[b]) / size
	h.Mean[b] = mean / size
	if first := a.head(); first != nil {
		h.Ask[b] = max(0, min(1, (wanted-a.level[b])/size))
		h.First[b] = max(0, min(1, (first.cost[b]-a.level[b])/size))
	}
}

// rateDemand returns the fraction of the contract's rate that the holder can use.
func (a *account) rateDemand(b bucket) float64 {
	offered := headroom * a.rate[b]
	if a.throttled[b] {
		offered = max(offered, growth*a.refillRate(b))
	}
	if a.share[b.rate()] == 0 {
		// A large request may wait until its arrival has decayed from the
		// average. Without this term, other holders would lease the whole rate.
		offered = max(offered, a.queued[b]/rateWindow.Seconds())
	}
	return min(1, offered/refill(b, a.agreed.Limits))
}

// meanCost returns what a request takes from a bucket on average.
func (a *account) meanCost(b bucket) float64 {
	if a.rate[requestBucket] <= 0 {
		return 0
	}
	return a.rate[b] / a.rate[requestBucket]
}

// returnAll gives back the whole content of the buckets.
func (a *account) returnAll() {
	for b := range buckets {
		a.trim(b, 0, 0)
	}
}

// trim gives back content beyond keep, and reduces the capacity to the remaining
// content plus room.
func (a *account) trim(b bucket, keep, room float64) {
	size := capacity(b, a.agreed.Limits)
	if excess := a.level[b] - keep; excess > 0 {
		a.level[b] -= excess
		a.returned[b] += excess / size
	}
	a.share[b.burst()] = min(a.share[b.burst()], (max(0, a.level[b])+room)/size)
	a.clip()
}

// apply applies a grant.
func (a *account) apply(g Grant, now time.Time) {
	a.accrue(now)
	a.share = g.Share
	a.short = g.Short
	for m := range measures {
		a.mustConfirm = a.mustConfirm || g.Share[m] < a.reported[m]
	}
	a.reserve = g.Reserve
	for b := range buckets {
		a.level[b] += g.Credit[b] * capacity(b, a.agreed.Limits)
		a.limited[b] = g.Share[b.rate()] < a.demanded[b]-epsilon
	}
	a.clip()
}
