package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

// RequestID identifies a request within one holder.
type RequestID uint64

// Request is a request to be admitted under a contract.
type Request struct {
	ID       RequestID
	Contract contract.Contract
	// Tokens is the most that the request is expected to use, or 0 if it uses none.
	Tokens int64
}

// Use is what an admitted request actually used.
type Use struct {
	// NotRun is true if the request certainly did not run.
	NotRun bool
	// Tokens replaces the estimate. A negative value leaves the estimate in place.
	Tokens int64
}

// Action is a decision of the holder: Admit or Refuse.
type Action interface{ isAction() }

// Admit lets a request run. The caller must call Settle when it has ended.
type Admit struct {
	ID RequestID
	// Waited is how long the request was queued.
	Waited time.Duration
}

// Refuse rejects a request that was not admitted.
type Refuse struct {
	ID     RequestID
	Clause contract.Clause
	Cause  Cause
	// RetryAfter is the time after which a retry can succeed.
	RetryAfter time.Duration
}

func (Admit) isAction()  {}
func (Refuse) isAction() {}

// Cause is the reason for a refusal.
type Cause int

const (
	// CauseMaxWait means that the request has waited for the contract's maximum
	// wait.
	CauseMaxWait Cause = iota
	// CauseMaxWaitCertain means that the wait would certainly exceed the contract's
	// maximum wait.
	CauseMaxWaitCertain
	// CauseExceedsContract means that the request needs more than the whole
	// contract allows.
	CauseExceedsContract
	// CauseNoLease means that no owner has been reached for the time of a
	// lease. The contract's own limit may not have been reached.
	CauseNoLease
	// CauseRetired means that the contract was retired while the request waited.
	CauseRetired
	// CauseQueueFull means that the contract's queue at this holder is full.
	CauseQueueFull
)

// Holder admits the requests of one entry within its leased shares. It is not
// safe for concurrent use.
type Holder struct {
	options     Options
	name        string
	incarnation uint64
	number      uint64
	// pending is the number of the renewal in flight, or 0.
	pending uint64
	sent    time.Time
	epoch   uint64
	expires time.Time
	// renewedAt is when the latest accepted renewal was sent.
	renewedAt time.Time
	// full is true if the next renewal must be full, because the owner may not
	// know what the holder has.
	full     bool
	accounts map[string]*account
	// waiting are the accounts with queued requests.
	waiting  map[*account]struct{}
	admitted map[RequestID]running
	queued   map[RequestID]*queuedRequest
}

// running is an admitted request.
type running struct {
	account *account
	cost    cost
	since   time.Time
}

// NewHolder returns a holder without shares. The incarnation must increase with
// every restart of the process.
func NewHolder(options Options, name string, incarnation uint64) *Holder {
	return &Holder{
		options:     options,
		name:        name,
		incarnation: incarnation,
		full:        true,
		accounts:    make(map[string]*account),
		waiting:     make(map[*account]struct{}),
		admitted:    make(map[RequestID]running),
		queued:      make(map[RequestID]*queuedRequest),
	}
}

// Request admits, queues or refuses a request.
func (h *Holder) Request(now time.Time, r Request) []Action {
	h.expire(now)
	a := h.account(now, r.Contract)
	a.accrue(now)
	c := cost{1, float64(r.Tokens)}
	a.offer(c)
	if a.head() == nil {
		if _, blocked := a.blockingClause(c); !blocked {
			return []Action{h.admit(now, a, &queuedRequest{id: r.ID, cost: c, since: now})}
		}
	}
	if refusal, certain := h.refuseEarly(now, a, r, c); certain {
		return []Action{refusal}
	}
	w := &queuedRequest{id: r.ID, cost: c, since: now}
	a.enqueue(w)
	a.noteThrottle()
	h.queued[r.ID] = w
	h.waiting[a] = struct{}{}
	return nil
}

func (h *Holder) account(now time.Time, agreed contract.Contract) *account {
	a, ok := h.accounts[agreed.ID]
	if !ok {
		a = newAccount(agreed, now)
		h.accounts[agreed.ID] = a
	}
	a.updateContract(agreed, now)
	return a
}

func (h *Holder) admit(now time.Time, a *account, w *queuedRequest) Action {
	a.take(w.cost)
	h.admitted[w.id] = running{account: a, cost: w.cost, since: now}
	return Admit{ID: w.id, Waited: now.Sub(w.since)}
}

// refuseEarly refuses a request whose wait would exceed the contract's maximum, so
// that its caller does not wait for a certain refusal.
func (h *Holder) refuseEarly(now time.Time, a *account, r Request, c cost) (Refuse, bool) {
	limits := a.agreed.Limits
	if c[tokenBucket] > capacity(tokenBucket, limits) {
		a.refused[tokenClause]++
		return Refuse{ID: r.ID, Clause: clauseNames[tokenClause], Cause: CauseExceedsContract, RetryAfter: time.Minute}, true
	}
	wait, clause := a.predict(c)
	if excess := wait - limits.MaxWait; excess > 0 {
		a.refused[clause]++
		return Refuse{ID: r.ID, Clause: clauseNames[clause], Cause: h.refusalCause(now, CauseMaxWaitCertain), RetryAfter: excess}, true
	}
	if len(a.queue) >= h.options.QueueLimit {
		a.refused[clause]++
		return Refuse{ID: r.ID, Clause: clauseNames[clause], Cause: h.refusalCause(now, CauseQueueFull), RetryAfter: max(wait, time.Second)}, true
	}
	return Refuse{}, false
}

// Settle ends an admitted request and admits queued requests in its place.
func (h *Holder) Settle(now time.Time, id RequestID, use Use) []Action {
	h.expire(now)
	r, ok := h.admitted[id]
	if !ok {
		return nil
	}
	delete(h.admitted, id)
	a := r.account
	a.accrue(now)
	a.inFlight--
	switch {
	case use.NotRun:
		a.refund(r.cost)
	case use.Tokens >= 0:
		a.refund(cost{0, r.cost[tokenBucket] - float64(use.Tokens)})
	}
	a.recordRun(now.Sub(r.since))
	return h.drain(now, a, nil)
}

// Cancel ends a request whose caller left before it got an answer. If the request
// was admitted at the same time, its slot is freed.
func (h *Holder) Cancel(now time.Time, contractID string, id RequestID) []Action {
	w, ok := h.queued[id]
	if !ok {
		return h.Settle(now, id, Use{NotRun: true})
	}
	delete(h.queued, id)
	a := h.accounts[contractID]
	a.dequeue(w)
	return h.drain(now, a, nil)
}

// UpdateContract applies a changed contract if it is in use here. If the contract is
// retired, queued requests are refused and requests in flight continue.
func (h *Holder) UpdateContract(now time.Time, agreed contract.Contract) []Action {
	h.expire(now)
	a, ok := h.accounts[agreed.ID]
	if !ok || agreed.Revision <= a.agreed.Revision {
		return nil
	}
	a.updateContract(agreed, now)
	if !agreed.Retired {
		return h.drain(now, a, nil)
	}
	var actions []Action
	for w := a.head(); w != nil; w = a.head() {
		actions = append(actions, Refuse{ID: w.id, Cause: CauseRetired})
		a.dequeue(w)
		delete(h.queued, w.id)
	}
	delete(h.waiting, a)
	return actions
}

// Contracts returns the identifiers of the contracts in use here, in no
// particular order.
func (h *Holder) Contracts() []string {
	return slices.Collect(maps.Keys(h.accounts))
}

// Tick admits queued requests that can now run and refuses those that have waited
// too long.
func (h *Holder) Tick(now time.Time) []Action {
	h.expire(now)
	var actions []Action
	for a := range h.waiting {
		a.accrue(now)
		actions = h.drain(now, a, actions)
	}
	return actions
}

// drain processes an account's queue in order until a request must keep waiting.
func (h *Holder) drain(now time.Time, a *account, actions []Action) []Action {
	for w := a.head(); w != nil; w = a.head() {
		clause, blocked := a.blockingClause(w.cost)
		switch {
		case !blocked:
			actions = append(actions, h.admit(now, a, w))
		case !now.Before(w.since.Add(a.agreed.Limits.MaxWait)):
			actions = append(actions, h.refuseWaited(now, a, w, clause))
		default:
			return actions
		}
		a.dequeue(w)
		delete(h.queued, w.id)
	}
	delete(h.waiting, a)
	return actions
}

func (h *Holder) refuseWaited(now time.Time, a *account, w *queuedRequest, clause int) Refuse {
	a.refused[clause]++
	return Refuse{ID: w.id, Clause: clauseNames[clause], Cause: h.refusalCause(now, CauseMaxWait), RetryAfter: a.retryAfter(clause)}
}

// refusalCause returns cause, or CauseNoLease if no owner has answered for the time
// of a lease: the contract's remaining credit cannot be lent then, so the limit of
// the clause may not have been reached.
func (h *Holder) refusalCause(now time.Time, cause Cause) Cause {
	if h.renewedAt.IsZero() || !now.Before(h.renewedAt.Add(h.options.Lease)) {
		return CauseNoLease
	}
	return cause
}

// retryAfter returns the time in which the remaining queue will be served.
func (a *account) retryAfter(clause int) time.Duration {
	if clause == slotClause {
		return max(time.Second, seconds(a.runTime))
	}
	b := bucket(clause)
	return max(time.Second, seconds(a.queued[b]/refill(b, a.agreed.Limits)))
}

// NextTick returns the time at which Tick must be called next, and false if no
// request is queued.
func (h *Holder) NextTick(now time.Time) (time.Time, bool) {
	var next time.Time
	for a := range h.waiting {
		w := a.head()
		if w == nil {
			continue
		}
		due := w.since.Add(a.agreed.Limits.MaxWait)
		if ready, ok := a.readyAt(now, w.cost); ok && ready.Before(due) {
			due = ready
		}
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next, !next.IsZero()
}

// readyAt returns the time at which the holder's own refill suffices to start a
// request, and false if the refill alone does not suffice.
func (a *account) readyAt(now time.Time, c cost) (time.Time, bool) {
	if a.inFlight >= a.slots() {
		return time.Time{}, false
	}
	longest := 0.0
	for b := range buckets {
		missing := c[b] - a.level[b]
		if c[b] <= 0 || missing <= 0 {
			continue
		}
		if a.refillRate(b) <= 0 || a.capacity(b) < c[b]-epsilon*capacity(b, a.agreed.Limits) {
			return time.Time{}, false
		}
		longest = max(longest, missing/a.refillRate(b))
	}
	return now.Add(seconds(longest) + time.Microsecond), true
}

// Urgent reports whether a queued request benefits from a renewal now rather than
// at the next interval.
func (h *Holder) Urgent(now time.Time) bool {
	if h.pending != 0 {
		return false
	}
	for a := range h.waiting {
		w := a.head()
		if w == nil || a.needSent {
			continue
		}
		if clause, blocked := a.blockingClause(w.cost); !blocked || a.short.has(clause) {
			continue
		}
		ready, ok := a.readyAt(now, w.cost)
		if !ok || ready.Sub(now) > urgentWait {
			return true
		}
		if a.throttled != [buckets]bool{} && now.Sub(h.sent) >= growthInterval {
			return true
		}
	}
	return false
}

// urgentWait is the wait for the holder's own refill above which a renewal is sent
// immediately. A shorter wait does not justify the message.
const urgentWait = 20 * time.Millisecond

// growthInterval is the minimum time between two renewals that only ask for a
// higher rate. Without it, short waits would cause one renewal per request.
const growthInterval = 100 * time.Millisecond
