// Package intake bounds what a process holds of requests that it has not answered, and selects those to be given up
// when the bound is reached. Bytes are charged as they arrive, not when they are announced: a caller that announces much
// and sends nothing holds nothing.
//
// It is deterministic: the caller passes the time. It holds counts of bytes only, not the bytes themselves.
//
// Invariants: what is held never exceeds the limit, and each byte is given back once. A request that is refused room is
// given up by its reader, which makes room for the others, so one of several requests that do not fit together always
// becomes whole.
package intake

import "time"

// Limits are the bounds of a table.
type Limits struct {
	// Total bounds what all requests hold together, in bytes.
	Total int64
	// Reserved is the part of Total that only requests of up to Small bytes may use, in bytes.
	Reserved int64
	Small    int64
	// Grace is the time after its begin from which a request that is read more slowly than Rate, in bytes a second,
	// may be given up for others.
	Grace time.Duration
	Rate  int64
}

// DefaultLimits returns limits with a total in bytes.
func DefaultLimits(total int64) Limits {
	return Limits{Total: total, Reserved: total / reservedPart, Small: defaultSmall, Grace: defaultGrace, Rate: defaultRate}
}

const (
	// reservedPart is the part of the total that is kept for small requests.
	reservedPart = 4
	defaultSmall = 64 << 10
	defaultGrace = time.Second
	defaultRate  = 64 << 10
)

// LargestBody returns the size in bytes of the largest request that fits if no other is there. Its buffer grows as
// NextBuffer says, and the last two buffers are there at once.
func (l Limits) LargestBody() int64 { return (l.Total - l.Reserved) / 3 * 2 }

// NextBuffer returns the size of the buffer that follows one that is full, in bytes, on the way to the largest size that the
// request may have: the last step doubles it, so that the old and the new buffer hold one and a half times that size.
func NextBuffer(full, largest int64) int64 {
	next := max(largest, 1)
	for next/2 > full && next > firstBuffer {
		next = (next + 1) / 2
	}
	return next
}

// firstBuffer is the size up to which the first buffer is not split further, in bytes.
const firstBuffer = 4 << 10

// Table holds the requests.
type Table struct {
	limits Limits
	// growing are the requests that are not whole.
	growing []*Request
	// held is what all requests hold, heldLarge the part held by those of more than Small bytes, in bytes.
	held, heldLarge int64
}

// Request is one request that is being read, or that is whole and not answered yet.
type Request struct {
	// begun is when its first byte was read, received how many bytes have been read since.
	begun    time.Time
	received int64
	held     int64
	// at is its index in Table.growing, notGrowing if it is not there.
	at int
	// givenUp is set once its room was given to others.
	givenUp bool
}

// notGrowing is the index of a request that is whole, given up or released.
const notGrowing = -1

// New returns an empty table.
func New(limits Limits) *Table { return &Table{limits: limits} }

// GivenUp reports whether the room of the request was given to others.
func (r *Request) GivenUp() bool { return r.givenUp }

// Limits returns the limits of the table.
func (t *Table) Limits() Limits { return t.limits }

// Held returns what all requests hold together, in bytes.
func (t *Table) Held() int64 { return t.held }

// Begin adds a request that holds nothing.
func (t *Table) Begin(now time.Time) *Request {
	r := &Request{begun: now, at: len(t.growing)}
	t.growing = append(t.growing, r)
	return r
}

// Receive counts bytes that were read of a request.
func (t *Table) Receive(r *Request, bytes int64) { r.received += bytes }

// Grow raises what a request holds to a size in bytes. Where there is no room, it gives up requests that are read too slowly
// and returns them. It returns false, and gives up none, if that is not enough or the request was given up itself.
func (t *Table) Grow(r *Request, size int64, now time.Time) (victims []*Request, granted bool) {
	if r.givenUp {
		return nil, false
	}
	if size <= r.held {
		return nil, true
	}
	victims, enough := t.selectVictims(r, size, now)
	if !enough {
		return nil, false
	}
	for _, victim := range victims {
		t.remove(victim)
		victim.givenUp = true
	}
	t.hold(r, size)
	return victims, true
}

// selectVictims returns the requests whose room a request needs to hold a size in bytes, the most overdue ones first.
func (t *Table) selectVictims(r *Request, size int64, now time.Time) (victims []*Request, enough bool) {
	held, large := t.held-r.held+size, t.heldLarge-t.largePart(r.held)+t.largePart(size)
	selected := make(map[*Request]bool)
	for !t.fits(held, large, size) {
		victim := t.mostOverdue(now, func(other *Request) bool {
			return other != r && other.held > 0 && !selected[other]
		})
		if victim == nil {
			return nil, false
		}
		selected[victim] = true
		victims = append(victims, victim)
		held, large = held-victim.held, large-t.largePart(victim.held)
	}
	return victims, true
}

// fits reports whether a request of a size in bytes may be held, where all together hold so much with it.
func (t *Table) fits(held, large, size int64) bool {
	if held > t.limits.Total {
		return false
	}
	return size <= t.limits.Small || large <= t.limits.Total-t.limits.Reserved
}

// largePart returns how much of what a request holds counts as held by large ones.
func (t *Table) largePart(held int64) int64 {
	if held <= t.limits.Small {
		return 0
	}
	return held
}

// mostOverdue returns the growing request that is the furthest behind the slowest rate, nil if none is.
func (t *Table) mostOverdue(now time.Time, eligible func(*Request) bool) *Request {
	var found *Request
	var earliest time.Time
	for _, r := range t.growing {
		due := t.due(r)
		if due.Before(now) && (found == nil || due.Before(earliest)) && eligible(r) {
			found, earliest = r, due
		}
	}
	return found
}

// GiveUpSlowest gives up the growing request that is the furthest behind the slowest rate and returns it, nil if none is
// behind it. It is for a process that lacks something else that requests hold, such as connections.
func (t *Table) GiveUpSlowest(now time.Time) *Request {
	victim := t.mostOverdue(now, func(*Request) bool { return true })
	if victim != nil {
		t.remove(victim)
		victim.givenUp = true
	}
	return victim
}

// due returns the time at which a request that is read at the slowest rate has what was received of it.
func (t *Table) due(r *Request) time.Time {
	return r.begun.Add(t.limits.Grace + time.Duration(float64(r.received)/float64(t.limits.Rate)*float64(time.Second)))
}

// Shrink lowers what a request holds to a size in bytes, if it holds more.
func (t *Table) Shrink(r *Request, size int64) { t.hold(r, min(size, r.held)) }

// Complete records that a request is whole, and lowers what it holds to a size in bytes. From then on it is not given up
// for others. It returns false if it was given up before.
func (t *Table) Complete(r *Request, size int64) bool {
	if r.givenUp {
		return false
	}
	t.stopGrowing(r)
	t.Shrink(r, size)
	return true
}

// Release gives back what a request holds and forgets it.
func (t *Table) Release(r *Request) { t.remove(r) }

// remove gives back what a request holds.
func (t *Table) remove(r *Request) {
	t.stopGrowing(r)
	t.hold(r, 0)
}

// hold sets what a request holds.
func (t *Table) hold(r *Request, size int64) {
	t.held += size - r.held
	t.heldLarge += t.largePart(size) - t.largePart(r.held)
	r.held = size
}

func (t *Table) stopGrowing(r *Request) {
	if r.at == notGrowing {
		return
	}
	last := len(t.growing) - 1
	moved := t.growing[last]
	t.growing[r.at], moved.at = moved, r.at
	t.growing[last] = nil
	t.growing, r.at = t.growing[:last], notGrowing
}
