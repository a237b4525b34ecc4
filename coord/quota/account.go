package quota

import (
	"math"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

const (
	// rateWindow is the time over which the rate of arrivals is averaged.
	rateWindow = time.Second
	// steadyRate is the requests a second from which on a holder leases a
	// part of the rate. Below it, it borrows credit for each request: a
	// leased rate would lie idle here while another entry needs it.
	steadyRate = 2.0
	// idleRate is the requests a second below which a contract is forgotten.
	idleRate = 0.05
	// headroom is how much more than its measured rate a holder asks for.
	headroom = 1.25
	// growth is how much more than its own rate a holder asks for when a request
	// waits for that rate alone.
	growth = 4
	// saveTime is how long a holder may save up its leased rate.
	saveTime = 300 * time.Millisecond
	// slotHeadroom is one spare slot for so many in use.
	slotHeadroom = 4
	// runTimeWeight is the weight of the newest run in the mean run time.
	runTimeWeight = 0.1
	// runTimeSamples is how many runs the mean needs before it is believed.
	runTimeSamples = 8
)

// cost is what a request takes from the buckets.
type cost [buckets]float64

// waiting is a queued request.
type waiting struct {
	id      RequestID
	cost    cost
	since   time.Time
	removed bool
}

// account is a holder's part of one contract.
type account struct {
	agreed contract.Contract
	share  Share
	// level is the content of the holder's buckets, in units; below 0 after
	// a request used more than it was admitted for.
	level    [buckets]float64
	at       time.Time
	inFlight int
	queue    []*waiting
	queued   cost
	// rate is the average of offered units a second.
	rate cost
	// offered counts units since rate was last averaged.
	offered cost
	rated   time.Time
	// throttled is true for a bucket whose own refill a request had to wait
	// for since the last renewal, although the owner was not short of it.
	throttled [buckets]bool
	// demanded is the part of the rate that the last renewal asked for, and
	// limited is true when the owner granted less: others use the rest.
	demanded Credit
	limited  [buckets]bool
	// reported is what was last held in a renewal, told when it was sent;
	// confirm is true when the owner counts more than the holder has.
	reported Share
	told     bool
	confirm  bool
	// ended is true when the last renewal said that the account is over.
	ended bool
	// short is what the last grant had too little of; asked is true when the
	// newest renewal speaks of the current need.
	short shortage
	asked bool
	// reserve is the owner's content of the buckets at the last grant.
	reserve Credit
	// returned is credit given up since the last renewal.
	returned Credit
	runTime  float64
	runs     int
	admitted uint32
	refused  [clauses]uint32
}

func newAccount(agreed contract.Contract, now time.Time) *account {
	return &account{agreed: agreed, at: now, rated: now}
}

// follow takes a changed contract into account. The share is a fraction, so the
// new limits are in force from now on.
func (a *account) follow(agreed contract.Contract, now time.Time) {
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

// speed is the units a second that the holder's own share refills.
func (a *account) speed(b bucket) float64 {
	return a.share[b.rate()] * refill(b, a.agreed.Limits)
}

func (a *account) accrue(now time.Time) {
	if !now.After(a.at) {
		return
	}
	elapsed := now.Sub(a.at).Seconds()
	a.at = now
	for b := range buckets {
		a.level[b] += a.speed(b) * elapsed
	}
	a.clip()
}

func (a *account) clip() {
	for b := range buckets {
		a.level[b] = min(a.level[b], a.capacity(b))
	}
}

// expire drops the share when the lease has run out. Requests in flight go on.
func (a *account) expire() {
	a.share = Share{}
	a.clip()
	a.short, a.asked, a.told = 0, false, false
}

// newsworthy reports that the owner should hear of the contract. An account
// whose requests merely run has nothing to say.
func (a *account) newsworthy(now time.Time) bool {
	a.average(now)
	switch {
	case !a.told || a.confirm || a.head() != nil || a.idle():
		return true
	case a.share[RequestRate] > 0 || a.share[TokenRate] > 0:
		return true
	case a.share[RequestBurst] > 0 || a.share[TokenBurst] > 0:
		return true
	}
	granted, wanted := a.slots(), a.wantedSlots()
	return granted-wanted > granted/slotHeadroom
}

// wantedSlots is what the holder could use, with some to spare.
func (a *account) wantedSlots() int {
	return a.inFlight + a.waiting() + a.inFlight/slotHeadroom
}

func (a *account) slots() int {
	return int(math.Floor(a.share[Slots]*float64(a.agreed.Limits.Concurrency) + 1e-6))
}

// clauseFor returns the clause that keeps a request of that cost from starting now.
func (a *account) clauseFor(c cost) (clause int, blocked bool) {
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

// giveBack returns what an admitted request did not use.
func (a *account) giveBack(c cost) {
	for b := range buckets {
		a.level[b] += c[b]
	}
	a.clip()
}

func (a *account) enqueue(w *waiting) {
	a.queue = append(a.queue, w)
	for b := range buckets {
		a.queued[b] += w.cost[b]
	}
	a.asked = false
}

// noteThrottle remembers which buckets' own refill holds the first request up.
// Callers that wait for their answers send no faster than they are served, so
// their measured rate never shows that they could use more.
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

// unqueue takes a request's cost out of the queue's sum.
func (a *account) unqueue(w *waiting) {
	w.removed = true
	for b := range buckets {
		a.queued[b] -= w.cost[b]
	}
}

// head drops removed requests and returns the first that waits.
func (a *account) head() *waiting {
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

// average brings the rate of arrivals up to date.
func (a *account) average(now time.Time) {
	elapsed := now.Sub(a.rated).Seconds()
	if elapsed <= 0 && a.offered == (cost{}) {
		return
	}
	decay := math.Exp(-elapsed / rateWindow.Seconds())
	for b := range buckets {
		a.rate[b] = a.rate[b]*decay + a.offered[b]/rateWindow.Seconds()
	}
	a.offered = cost{}
	a.rated = now
}

func (a *account) finished(run time.Duration) {
	a.runs++
	if a.runs == 1 {
		a.runTime = run.Seconds()
		return
	}
	a.runTime += (run.Seconds() - a.runTime) * runTimeWeight
}

// predict estimates how long a new request waits for each clause, and returns
// the clause with the longest wait. It assumes the best that is still possible:
// the whole contract's rate, unless the owner has just said that there is no more.
func (a *account) predict(c cost) (wait time.Duration, clause int) {
	longest, clause := 0.0, slotClause
	for b := range buckets {
		speed := refill(b, a.agreed.Limits)
		if own := a.speed(b); a.short.has(int(b)) && own > 0 {
			speed = own
		}
		missing := a.queued[b] + c[b] - max(a.level[b], a.optimistic(b))
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

// optimistic is the content that the whole bucket may have: nothing is known
// against it until the owner has said that it is short.
func (a *account) optimistic(b bucket) float64 {
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

// idle reports that the holder has no use for a share.
func (a *account) idle() bool {
	return a.inFlight == 0 && a.head() == nil && a.rate[requestBucket] < idleRate
}

// holding writes down what the holder has and needs, after it has given up
// what it has no use for.
func (a *account) holding(now time.Time) Holding {
	a.accrue(now)
	a.average(now)
	if a.idle() {
		a.share = Share{}
		a.giveUp()
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
	a.asked, a.told, a.confirm = true, true, false
	a.reported, a.ended = h.Held, h.over()
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
	whole := capacity(b, a.agreed.Limits)
	mean := a.meanCost(b)
	wanted := min(a.queued[b], whole)
	room := 0.0
	if a.share[b.rate()] > 0 && a.rate[requestBucket] > 0 {
		room = a.speed(b)*saveTime.Seconds() + mean
	}
	a.trim(b, min(whole, wanted+room), room)
	h.Held[b.rate()] = a.share[b.rate()]
	h.Held[b.burst()] = a.share[b.burst()]
	if !a.idle() {
		h.Demand[b.rate()] = a.rateDemand(b)
	}
	a.demanded[b] = h.Demand[b.rate()]
	h.Level[b] = max(0, a.level[b]) / whole
	h.Mean[b] = mean / whole
	if first := a.head(); first != nil {
		h.Ask[b] = max(0, min(1, (wanted-a.level[b])/whole))
		h.First[b] = max(0, min(1, (first.cost[b]-a.level[b])/whole))
	}
}

// rateDemand is the part of the contract's rate that the holder can use.
func (a *account) rateDemand(b bucket) float64 {
	offered := headroom * a.rate[b]
	if a.throttled[b] {
		offered = max(offered, growth*a.speed(b))
	}
	if a.share[b.rate()] == 0 {
		// A large request waits long after its arrival has left the average,
		// and others would lease all of the rate that is to serve it.
		offered = max(offered, a.queued[b]/rateWindow.Seconds())
	}
	return min(1, offered/refill(b, a.agreed.Limits))
}

// meanCost is what a request takes from a bucket on average.
func (a *account) meanCost(b bucket) float64 {
	if a.rate[requestBucket] <= 0 {
		return 0
	}
	return a.rate[b] / a.rate[requestBucket]
}

// giveUp returns all content of the buckets.
func (a *account) giveUp() {
	for b := range buckets {
		a.trim(b, 0, 0)
	}
}

// trim gives up content beyond what is kept and capacity beyond that and room.
func (a *account) trim(b bucket, keep, room float64) {
	whole := capacity(b, a.agreed.Limits)
	if excess := a.level[b] - keep; excess > 0 {
		a.level[b] -= excess
		a.returned[b] += excess / whole
	}
	a.share[b.burst()] = min(a.share[b.burst()], (max(0, a.level[b])+room)/whole)
	a.clip()
}

// apply takes a grant into account.
func (a *account) apply(g Grant, now time.Time) {
	a.accrue(now)
	a.share = g.Share
	a.short = g.Short
	for m := range measures {
		a.confirm = a.confirm || g.Share[m] < a.reported[m]
	}
	a.reserve = g.Reserve
	for b := range buckets {
		a.level[b] += g.Credit[b] * capacity(b, a.agreed.Limits)
		a.limited[b] = g.Share[b.rate()] < a.demanded[b]-epsilon
	}
	a.clip()
}
