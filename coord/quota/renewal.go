package quota

import (
	"time"
)

// Renewing reports whether a renewal is in flight.
func (h *Holder) Renewing() bool { return h.pending != 0 }

// Short reports whether a request is still queued although its needs were sent to
// the owner, so that the next renewal should be sent before the regular interval
// ends.
func (h *Holder) Short() bool {
	for a := range h.waiting {
		if a.needSent {
			return true
		}
	}
	return false
}

// Leased reports whether the holder has a lease.
func (h *Holder) Leased(now time.Time) bool { return now.Before(h.expires) }

// InUse returns the number of contracts with state at this holder.
func (h *Holder) InUse() int { return len(h.accounts) }

// Renewal returns the next message to the owner. Replies to earlier ones are
// ignored from then on. If all is true, it lists every contract with changes,
// otherwise only those with queued requests whose needs have not been sent.
func (h *Holder) Renewal(now time.Time, all bool) Renewal {
	h.expire(now)
	h.number++
	h.pending, h.sent = h.number, now
	r := Renewal{Holder: h.name, Incarnation: h.incarnation, Number: h.number, Epoch: h.epoch, Full: h.full}
	if !all && !h.full {
		for a := range h.waiting {
			if !a.needSent {
				r.Holdings = append(r.Holdings, a.holding(now))
			}
		}
		return r
	}
	for _, a := range h.accounts {
		if h.full || a.needsRenewal(now) {
			r.Holdings = append(r.Holdings, a.holding(now))
		}
	}
	return r
}

// Reply processes the owner's reply.
func (h *Holder) Reply(now time.Time, reply Reply) []Action {
	h.expire(now)
	if h.pending == 0 || reply.Incarnation != h.incarnation || reply.Number != h.pending {
		return nil
	}
	h.pending = 0
	if !reply.Accepted || reply.Epoch < h.epoch {
		h.full = h.full || reply.Full
		h.markUnsent()
		return nil
	}
	h.epoch = reply.Epoch
	h.full = false
	h.renewedAt, h.expires = h.sent, h.sent.Add(h.options.Lease)
	// The reply may have taken longer than the lease.
	if !now.Before(h.expires) {
		h.markUnsent()
		h.expire(now)
		return nil
	}
	var actions []Action
	for _, grant := range reply.Grants {
		if a, ok := h.accounts[grant.Contract]; ok {
			a.apply(grant, now)
			actions = h.drain(now, a, actions)
		}
	}
	h.dropIdle()
	return actions
}

// RenewalFailed reports that the renewal in flight got no reply.
func (h *Holder) RenewalFailed() {
	h.pending = 0
	h.markUnsent()
}

// markUnsent discards what was reported in a renewal that got no usable reply, so
// that the next renewal reports it again.
func (h *Holder) markUnsent() {
	for _, a := range h.accounts {
		a.needSent, a.sent = false, false
	}
}

// Extend extends the lease without an owner. It is safe only until a time before
// which no new owner can grant anything, such as while too few control instances
// run to elect one. An expired lease stays expired, because its shares may have
// been leased to others since.
func (h *Holder) Extend(now, until time.Time) {
	h.expire(now)
	if !h.expires.IsZero() && until.After(h.expires) {
		h.expires = until
	}
}

// dropIdle drops idle accounts that have been reported to the owner as empty. If
// they were dropped earlier, the owner would count their shares as held until the
// next full renewal.
func (h *Holder) dropIdle() {
	for id, a := range h.accounts {
		if a.reportedEmpty && a.sent && a.idle() && a.share == (Share{}) {
			delete(h.accounts, id)
		}
	}
}

// expire drops every share if the lease has expired.
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

// Release gives up every share and returns the final renewal. It is for a planned
// stop, after the last request has ended.
func (h *Holder) Release(now time.Time) Renewal {
	h.expire(now)
	h.number++
	h.pending = 0
	clear(h.accounts)
	clear(h.waiting)
	return Renewal{Holder: h.name, Incarnation: h.incarnation, Number: h.number, Epoch: h.epoch, Full: true}
}
