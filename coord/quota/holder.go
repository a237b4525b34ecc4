package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

// RequestID names a request at one holder.
type RequestID uint64

// Request asks to run under a contract.
type Request struct {
	ID       RequestID
	Contract contract.Contract
	// Tokens is the most that it is expected to use; 0 for a call that uses none.
	Tokens int64
}

// Use is what an admitted request turned out to use.
type Use struct {
	// NotRun is true when the request certainly did not run.
	NotRun bool
	// Tokens replaces the estimate; below 0 it stands.
	Tokens int64
}

// Action is what the holder decides: Admit or Refuse.
type Action interface{ isAction() }

// Admit lets a request run; Settle must follow.
type Admit struct {
	ID RequestID
	// Waited is how long the request was queued.
	Waited time.Duration
}

// Refuse ends a request that was not admitted.
type Refuse struct {
	ID     RequestID
	Clause contract.Clause
	Cause  Cause
	// RetryAfter is when a new attempt can succeed.
	RetryAfter time.Duration
}

func (Admit) isAction()  {}
func (Refuse) isAction() {}

// Cause says why a clause refused.
type Cause int

const (
	// CauseWaited means that the longest wait is over.
	CauseWaited Cause = iota
	// CauseCertain means that the wait would certainly pass the longest wait.
	CauseCertain
	// CauseNever means that the request asks for more than the whole contract.
	CauseNever
	// CauseNoLease means that no owner has been reached for a lease: the
	// contract's own limit may not have been reached.
	CauseNoLease
	// CauseRetired means that the contract was retired while the request waited.
	CauseRetired
	// CauseQueueFull means that the queue of waiting requests is full.
	CauseQueueFull
)

// Holder admits the requests of one entry within its leased shares. It is not
// safe for concurrent use: one duty owns it.
type Holder struct {
	options     Options
	name        string
	incarnation uint64
	number      uint64
	// pending is the number of the renewal that is under way, 0 for none.
	pending uint64
	sent    time.Time
	epoch   uint64
	expires time.Time
	// heard is when the newest accepted renewal was sent.
	heard time.Time
	// full is true when the owner may not know what the holder has.
	full     bool
	accounts map[string]*account
	// waiting are the accounts with a queue.
	waiting  map[*account]struct{}
	admitted map[RequestID]running
	queued   map[RequestID]*waiting
}

// running is an admitted request.
type running struct {
	account *account
	cost    cost
	since   time.Time
}

// NewHolder returns a holder without shares. The incarnation grows with every
// restart of the process.
func NewHolder(options Options, name string, incarnation uint64) *Holder {
	return &Holder{
		options:     options,
		name:        name,
		incarnation: incarnation,
		full:        true,
		accounts:    make(map[string]*account),
		waiting:     make(map[*account]struct{}),
		admitted:    make(map[RequestID]running),
		queued:      make(map[RequestID]*waiting),
	}
}

// Ask admits, queues or refuses a request.
func (h *Holder) Ask(now time.Time, r Request) []Action {
	h.expire(now)
	a := h.account(now, r.Contract)
	a.accrue(now)
	c := cost{1, float64(r.Tokens)}
	a.offer(c)
	if a.head() == nil {
		if _, blocked := a.clauseFor(c); !blocked {
			return []Action{h.admit(now, a, &waiting{id: r.ID, cost: c, since: now})}
		}
	}
	if refusal, certain := h.refuseNow(now, a, r, c); certain {
		return []Action{refusal}
	}
	w := &waiting{id: r.ID, cost: c, since: now}
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
	a.follow(agreed, now)
	return a
}

func (h *Holder) admit(now time.Time, a *account, w *waiting) Action {
	a.take(w.cost)
	h.admitted[w.id] = running{account: a, cost: w.cost, since: now}
	return Admit{ID: w.id, Waited: now.Sub(w.since)}
}

// refuseNow refuses a request whose wait would pass the bound, so that its
// caller does not wait in vain.
func (h *Holder) refuseNow(now time.Time, a *account, r Request, c cost) (Refuse, bool) {
	limits := a.agreed.Limits
	if c[tokenBucket] > capacity(tokenBucket, limits) {
		a.refused[tokenClause]++
		return Refuse{ID: r.ID, Clause: clauseNames[tokenClause], Cause: CauseNever, RetryAfter: time.Minute}, true
	}
	wait, clause := a.predict(c)
	if excess := wait - limits.MaxWait; excess > 0 {
		a.refused[clause]++
		return Refuse{ID: r.ID, Clause: clauseNames[clause], Cause: h.blame(now, CauseCertain), RetryAfter: excess}, true
	}
	if len(a.queue) >= h.options.QueueLimit {
		a.refused[clause]++
		return Refuse{ID: r.ID, Clause: clauseNames[clause], Cause: h.blame(now, CauseQueueFull), RetryAfter: max(wait, time.Second)}, true
	}
	return Refuse{}, false
}

// Settle ends an admitted request.
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
		a.giveBack(r.cost)
	case use.Tokens >= 0:
		a.giveBack(cost{0, r.cost[tokenBucket] - float64(use.Tokens)})
	}
	a.finished(now.Sub(r.since))
	return h.pump(now, a, nil)
}

// Cancel ends a request whose caller left before it saw an answer. The request
// may have been admitted in the same moment; its slot must not stay taken.
func (h *Holder) Cancel(now time.Time, contractID string, id RequestID) []Action {
	w, ok := h.queued[id]
	if !ok {
		return h.Settle(now, id, Use{NotRun: true})
	}
	delete(h.queued, id)
	a := h.accounts[contractID]
	a.unqueue(w)
	return h.pump(now, a, nil)
}

// Follow takes a changed contract into account, if it is in use here. The
// waiting requests of a retired contract are refused; those in flight go on.
func (h *Holder) Follow(now time.Time, agreed contract.Contract) []Action {
	h.expire(now)
	a, ok := h.accounts[agreed.ID]
	if !ok || agreed.Revision <= a.agreed.Revision {
		return nil
	}
	a.follow(agreed, now)
	if !agreed.Retired {
		return h.pump(now, a, nil)
	}
	var actions []Action
	for w := a.head(); w != nil; w = a.head() {
		actions = append(actions, Refuse{ID: w.id, Cause: CauseRetired})
		a.unqueue(w)
		delete(h.queued, w.id)
	}
	delete(h.waiting, a)
	return actions
}

// Contracts returns the identifiers of the contracts in use here, in no order.
func (h *Holder) Contracts() []string {
	return slices.Collect(maps.Keys(h.accounts))
}

// Tick admits what has become due and refuses what has waited too long.
func (h *Holder) Tick(now time.Time) []Action {
	h.expire(now)
	var actions []Action
	for a := range h.waiting {
		a.accrue(now)
		actions = h.pump(now, a, actions)
	}
	return actions
}

// pump works through an account's queue, in order.
func (h *Holder) pump(now time.Time, a *account, actions []Action) []Action {
	for w := a.head(); w != nil; w = a.head() {
		clause, blocked := a.clauseFor(w.cost)
		switch {
		case !blocked:
			actions = append(actions, h.admit(now, a, w))
		case !now.Before(w.since.Add(a.agreed.Limits.MaxWait)):
			actions = append(actions, h.refuseWaited(now, a, w, clause))
		default:
			return actions
		}
		a.unqueue(w)
		delete(h.queued, w.id)
	}
	delete(h.waiting, a)
	return actions
}

func (h *Holder) refuseWaited(now time.Time, a *account, w *waiting, clause int) Refuse {
	a.refused[clause]++
	return Refuse{ID: w.id, Clause: clauseNames[clause], Cause: h.blame(now, CauseWaited), RetryAfter: a.retryAfter(clause)}
}

// blame returns the cause, unless there has been no owner for a lease: credit
// that the contract still has cannot be lent then, so no clause is to blame.
func (h *Holder) blame(now time.Time, cause Cause) Cause {
	if h.heard.IsZero() || !now.Before(h.heard.Add(h.options.Lease)) {
		return CauseNoLease
	}
	return cause
}

// retryAfter is when the queue that is left will have been served.
func (a *account) retryAfter(clause int) time.Duration {
	if clause == slotClause {
		return max(time.Second, seconds(a.runTime))
	}
	b := bucket(clause)
	return max(time.Second, seconds(a.queued[b]/refill(b, a.agreed.Limits)))
}

// NextTick is when Tick has something to do, false when nothing waits.
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

// readyAt is when the holder's own refill lets a request start.
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
		if a.speed(b) <= 0 || a.capacity(b) < c[b]-epsilon*capacity(b, a.agreed.Limits) {
			return time.Time{}, false
		}
		longest = max(longest, missing/a.speed(b))
	}
	return now.Add(seconds(longest) + time.Microsecond), true
}

// Urgent reports that a waiting request can be helped by a renewal now rather
// than at the next interval.
func (h *Holder) Urgent(now time.Time) bool {
	if h.pending != 0 {
		return false
	}
	for a := range h.waiting {
		w := a.head()
		if w == nil || a.asked {
			continue
		}
		if clause, blocked := a.clauseFor(w.cost); !blocked || a.short.has(clause) {
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

// urgentWait is how long a request waits for its own share's refill before a
// renewal is worth its message.
const urgentWait = 20 * time.Millisecond

// growthInterval is the least time between two renewals that only ask for a
// larger rate: one for each short wait would be one for each request.
const growthInterval = 100 * time.Millisecond

// Renewing reports whether a renewal is under way.
func (h *Holder) Renewing() bool { return h.pending != 0 }

// Short reports whether a request waits although the owner has been asked: the
// next renewal should come sooner than at the regular interval.
func (h *Holder) Short() bool {
	for a := range h.waiting {
		if a.asked {
			return true
		}
	}
	return false
}

// Leased reports whether the holder has a lease.
func (h *Holder) Leased(now time.Time) bool { return now.Before(h.expires) }

// InUse is the number of contracts with anything to renew.
func (h *Holder) InUse() int { return len(h.accounts) }

// Renewal returns the next message to the owner. The reply to any earlier one
// is ignored from now on. With all, it speaks of everything that is new, else
// only of contracts with a request that waits for the answer.
func (h *Holder) Renewal(now time.Time, all bool) Renewal {
	h.expire(now)
	h.number++
	h.pending, h.sent = h.number, now
	r := Renewal{Holder: h.name, Incarnation: h.incarnation, Number: h.number, Epoch: h.epoch, Full: h.full}
	if !all && !h.full {
		for a := range h.waiting {
			if !a.asked {
				r.Holdings = append(r.Holdings, a.holding(now))
			}
		}
		return r
	}
	for _, a := range h.accounts {
		if h.full || a.newsworthy(now) {
			r.Holdings = append(r.Holdings, a.holding(now))
		}
	}
	return r
}

// Reply takes the owner's answer into account.
func (h *Holder) Reply(now time.Time, reply Reply) []Action {
	h.expire(now)
	if h.pending == 0 || reply.Incarnation != h.incarnation || reply.Number != h.pending {
		return nil
	}
	h.pending = 0
	if !reply.Accepted || reply.Epoch < h.epoch {
		h.full = h.full || reply.Full
		h.askAgain()
		return nil
	}
	h.epoch = reply.Epoch
	h.full = false
	h.heard, h.expires = h.sent, h.sent.Add(h.options.Lease)
	// The answer may have taken longer than the lease.
	if !now.Before(h.expires) {
		h.askAgain()
		h.expire(now)
		return nil
	}
	var actions []Action
	for _, grant := range reply.Grants {
		if a, ok := h.accounts[grant.Contract]; ok {
			a.apply(grant, now)
			actions = h.pump(now, a, actions)
		}
	}
	h.forgetIdle()
	return actions
}

// Lost gives up the renewal that is under way: its answer did not come.
func (h *Holder) Lost() {
	h.pending = 0
	h.askAgain()
}

// askAgain forgets what was told in a renewal whose answer did not come.
func (h *Holder) askAgain() {
	for _, a := range h.accounts {
		a.asked, a.told = false, false
	}
}

// Extend prolongs the lease without an owner. It is safe only until a time
// before which no new owner can grant anything, as it is while too few control
// instances run to elect one. A lease that has run out stays so: what it held
// may have been leased to others since.
func (h *Holder) Extend(now, until time.Time) {
	h.expire(now)
	if !h.expires.IsZero() && until.After(h.expires) {
		h.expires = until
	}
}

// forgetIdle drops accounts of which the owner has been told that they are over.
// Dropped earlier, what the owner counts would stay taken until the next full
// renewal.
func (h *Holder) forgetIdle() {
	for id, a := range h.accounts {
		if a.ended && a.told && a.idle() && a.share == (Share{}) {
			delete(h.accounts, id)
		}
	}
}

// expire drops every share when the lease has run out.
func (h *Holder) expire(now time.Time) {
	if h.expires.IsZero() || now.Before(h.expires) {
		return
	}
	h.expires = time.Time{}
	h.full = true
	for _, a := range h.accounts {
		a.accrue(now)
		a.expire()
	}
}

// Release gives up every share and returns the last renewal, for a planned
// stop after the last request has ended.
func (h *Holder) Release(now time.Time) Renewal {
	h.expire(now)
	h.number++
	h.pending = 0
	clear(h.accounts)
	clear(h.waiting)
	return Renewal{Holder: h.name, Incarnation: h.incarnation, Number: h.number, Epoch: h.epoch, Full: true}
}
