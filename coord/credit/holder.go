package credit

import "time"

// Holder is the credit of one entry. It is not safe for concurrent use.
type Holder struct {
	options  Options
	accounts map[string]*account
	// entries is the number of entries among which each limit's rate is divided; 0 while it is not known, and
	// nothing is created.
	entries int
	// started is the start of this process.
	started time.Time
}

// account is an entry's credit for one name.
type account struct {
	limit Limit
	// level is the credit at the time at; it is negative while the overdraft is used.
	level float64
	at    time.Time
	// use is the moving average of what requests cost here, in units per second, at usedAt.
	use    float64
	usedAt time.Time
	// mean is the moving average of the cost of a request.
	mean float64
	// lacking is the cost of the requests that wait for credit, largest that of the largest of them, and refused
	// that of those that were refused, since the last transfer.
	lacking float64
	largest float64
	refused float64
	// full is set while the pool takes nothing more.
	full bool
	// deniedUntil is the time before which the pool is not expected to have what was lacking.
	deniedUntil time.Time
}

const (
	// useTime is the time constant of the moving average of use.
	useTime = time.Second
	// targetIntervals is for how many intervals at its average use an entry keeps credit; surplusIntervals is
	// for how many it keeps what it creates itself.
	targetIntervals  = 2.5
	surplusIntervals = 2
	// meanWeight is the weight of the latest request in the average cost.
	meanWeight = 0.1
	// keptRequests is the least number of requests for which an entry keeps credit. What covers fewer is of
	// more use in the pool, where it adds up to whole requests.
	keptRequests = 2
	// minAskPause is the least pause before an entry asks again for what a pool did not have, unless exchanges
	// are more frequent.
	minAskPause = 100 * time.Millisecond
)

// NewHolder returns the holder of a process that started now, without credit.
func NewHolder(options Options, now time.Time) *Holder {
	return &Holder{options: options, accounts: make(map[string]*account), started: now}
}

// SetLimits replaces all limits.
func (h *Holder) SetLimits(limits map[string]Limit, now time.Time) {
	for name, limit := range limits {
		if a := h.accounts[name]; a != nil {
			h.accrue(a, now)
			a.limit, a.full = limit, false
			a.level = min(a.level, limit.stock())
			continue
		}
		h.accounts[name] = &account{limit: limit, at: now, usedAt: now}
	}
	for name := range h.accounts {
		if _, known := limits[name]; !known {
			delete(h.accounts, name)
		}
	}
}

// SetShare sets among how many entries the rates are divided; 0 while that is not known.
func (h *Holder) SetShare(entries int, interval time.Duration, now time.Time) {
	for _, a := range h.accounts {
		h.accrue(a, now)
	}
	h.entries, h.options.Interval = entries, interval
}

// created returns the rate at which this entry creates credit of a name.
func (h *Holder) created(a *account) float64 {
	if h.entries == 0 {
		return 0
	}
	return a.limit.Rate / float64(h.entries)
}

// capacity returns up to which level this entry creates credit.
func (h *Holder) capacity(a *account, now time.Time) float64 {
	if h.entries == 1 {
		return a.limit.stock()
	}
	surplus := surplusIntervals * h.options.Interval
	if h.options.MaxHeld > 0 {
		surplus = min(surplus, h.options.MaxHeld)
	}
	return max(h.target(a, now), h.created(a)*surplus.Seconds())
}

func (h *Holder) accrue(a *account, now time.Time) {
	elapsed := now.Sub(a.at).Seconds()
	if elapsed <= 0 {
		return
	}
	a.at = now
	if top := h.capacity(a, now); a.level < top {
		a.level = min(top, a.level+h.created(a)*elapsed)
	}
}

// overdraft returns how far below zero this entry's credit may go. It grows over the first window of a process:
// what an earlier incarnation was ahead is forgotten, and still counts.
func (h *Holder) overdraft(a *account, now time.Time) float64 {
	if h.entries == 0 || h.options.Window <= 0 {
		return 0
	}
	grown := min(now.Sub(h.started).Seconds()/h.options.Window.Seconds(), 1)
	return grown * h.options.overdraft(a.limit) / float64(h.entries)
}

// RecordDemand records that a request arrived, whether it is covered or not.
func (h *Holder) RecordDemand(name string, cost float64, now time.Time) {
	if a := h.accounts[name]; a != nil {
		a.use, a.usedAt = a.decayedUse(now)+cost/useTime.Seconds(), now
		a.mean += meanWeight * (cost - a.mean)
	}
}

// Take covers the cost of a request and reports whether it could. A name without a limit is always covered.
func (h *Holder) Take(name string, cost float64, now time.Time) bool {
	a := h.accounts[name]
	if a == nil || !a.limit.Limited() {
		return true
	}
	h.accrue(a, now)
	if a.level+h.overdraft(a, now) >= cost {
		a.level -= cost
		return true
	}
	a.lacking, a.largest = a.lacking+cost, max(a.largest, cost)
	return false
}

// Refused records that a request was refused because Take did not cover it.
func (h *Holder) Refused(name string, cost float64) {
	if a := h.accounts[name]; a != nil {
		a.refused += cost
	}
}

// Withdrawn records that a request that Take did not cover does not wait for credit any more: what is asked for
// later is not meant for it.
func (h *Holder) Withdrawn(name string, cost float64) {
	a := h.accounts[name]
	if a == nil {
		return
	}
	if a.lacking -= cost; a.lacking <= 0 {
		a.lacking, a.largest = 0, 0
	}
}

// Return gives back the cost of a request that did not run.
func (h *Holder) Return(name string, cost float64) {
	if a := h.accounts[name]; a != nil && a.limit.Limited() {
		a.level = min(a.level+cost, a.limit.stock())
	}
}

func (a *account) decayedUse(now time.Time) float64 {
	elapsed := now.Sub(a.usedAt).Seconds() / useTime.Seconds()
	return a.use / (1 + elapsed*(1+elapsed/2))
}

// Standing describes an entry's credit for one name.
type Standing struct {
	Limit Limit
	Level float64
	// Entries is the number of entries among which the rate is divided.
	Entries int
	// DeniedUntil is the time before which the pool is not expected to have what was lacking.
	DeniedUntil time.Time
}

// Standing returns an entry's credit for one name.
func (h *Holder) Standing(name string, now time.Time) Standing {
	a := h.accounts[name]
	if a == nil {
		return Standing{Entries: h.entries}
	}
	h.accrue(a, now)
	return Standing{Limit: a.limit, Level: a.level, Entries: h.entries, DeniedUntil: a.deniedUntil}
}

// Transfers returns what to tell the pools of the given names, and takes from the accounts what it gives away.
// wanted holds the names whose pools are known to take credit.
func (h *Holder) Transfers(names []string, wanted map[string]bool, now time.Time) []Transfer {
	if h.entries == 1 {
		return nil
	}
	var transfers []Transfer
	for _, name := range names {
		a := h.accounts[name]
		if a == nil || !a.limit.Limited() {
			continue
		}
		if wanted[name] {
			a.full = false
		}
		if t, any := h.transfer(name, a, now); any {
			transfers = append(transfers, t)
		}
	}
	return transfers
}

func (h *Holder) transfer(name string, a *account, now time.Time) (t Transfer, any bool) {
	h.accrue(a, now)
	target := h.target(a, now)
	t = Transfer{Name: name, Refused: a.refused}
	switch {
	case a.largest > 0:
		// Parts of a request's cost at many entries cover nothing: the pool gets them all, and returns what
		// covers a whole one.
		t.Give = max(a.level, 0)
		a.level -= t.Give
		t.Ask = max(target, a.lacking) - a.level
		t.Least = max(a.largest-a.level-h.overdraft(a, now), 0)
	case a.level < target:
		t.Ask = target - a.level
	case !a.full:
		t.Give = a.level - target
		a.level = target
	}
	a.lacking, a.largest, a.refused = 0, 0, 0
	return t, t.Give > 0 || t.Ask > 0 || t.Refused > 0
}

// target returns the level that an entry keeps; none where what all hold is bounded: an entry that was in demand
// would keep what others need.
func (h *Holder) target(a *account, now time.Time) float64 {
	target := a.decayedUse(now) * targetIntervals * h.options.Interval.Seconds()
	if h.options.MaxHeld > 0 || target < keptRequests*a.mean {
		return 0
	}
	return target
}

// Receive adds what a pool granted.
func (h *Holder) Receive(grants []Grant, now time.Time) {
	for _, g := range grants {
		a := h.accounts[g.Name]
		if a == nil {
			continue
		}
		h.accrue(a, now)
		a.level += g.Units
		a.full = g.Full
		a.deniedUntil = now
		if g.AfterMillis > 0 {
			// What other entries create reaches the pool with their next exchanges.
			pause := min(max(minAskPause, time.Duration(g.PauseMillis)*time.Millisecond), h.options.Interval)
			a.deniedUntil = now.Add(time.Duration(g.AfterMillis)*time.Millisecond + pause)
		}
	}
}
