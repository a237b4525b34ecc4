// Package quota enforces a contract's limits across all entries.
//
// One owner divides each contract among the entries that use it. Each entry (a
// holder) leases a share and admits requests locally within it. The shares of a
// contract never add up to more than the contract:
//
//   - A share grows only by a grant. The owner counts the larger of what a
//     holder reported and what it was last granted, until the holder's next
//     report or the end of its lease.
//   - A holder starts its lease when it sends the renewal, the owner when it
//     receives it, so the holder's lease ends first without a common clock.
//   - A new owner raises no share until every lease granted by its predecessor
//     has expired, but renews the shares that holders report.
//
// Shares are fractions of the contract. Each side applies them to the limits
// that it knows, so a changed contract takes effect at an entry as soon as the
// entry receives it, without a message of this package.
//
// An unused contract has no state here and causes no messages.
package quota

import (
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

// Measure is one of the quantities that the owner divides among holders.
type Measure int

// The measures. A rate is a fraction of a bucket's refill rate, a burst a
// fraction of its capacity.
const (
	RequestRate Measure = iota
	TokenRate
	RequestBurst
	TokenBurst
	Slots
	measures
)

// bucket is one of the two token buckets of a contract.
type bucket int

const (
	requestBucket bucket = iota
	tokenBucket
	buckets
)

func (b bucket) rate() Measure  { return RequestRate + Measure(b) }
func (b bucket) burst() Measure { return RequestBurst + Measure(b) }

// Share is a fraction of a contract, by measure, each from 0 to 1.
type Share [measures]float64

// Credit is an amount moved between buckets, in fractions of their capacity.
type Credit [buckets]float64

const (
	// burstTime is the period over which unused request rate accumulates.
	burstTime = time.Second
	// epsilon absorbs rounding errors in sums of fractions.
	epsilon = 1e-9
)

// capacity returns the size of a bucket. Together with refill it defines what a
// contract allows in any period of t seconds: capacity + refill*t. A request
// bucket holds one second's requests plus one, a token bucket one minute's tokens.
func capacity(b bucket, limits contract.Limits) float64 {
	if b == tokenBucket {
		return float64(limits.TokensPerMinute)
	}
	return limits.RequestsPerSecond*burstTime.Seconds() + 1
}

// refill returns the refill rate of a bucket in units per second.
func refill(b bucket, limits contract.Limits) float64 {
	if b == tokenBucket {
		return float64(limits.TokensPerMinute) / time.Minute.Seconds()
	}
	return limits.RequestsPerSecond
}

// Options configure both the owner and the holders.
type Options struct {
	// Lease is how long a share is valid after its renewal was sent.
	Lease time.Duration
	// Margin is added to the lease by the owner, to allow for clocks that run
	// at different speeds.
	Margin time.Duration
	// SlotHold is how long the owner keeps counting the slots of a holder
	// after its lease has expired: the longest time that a request is
	// expected to run.
	SlotHold time.Duration
	// Memory is how long the owner keeps the number of a holder's last
	// renewal, so that a delayed copy of an older one has no effect.
	Memory time.Duration
	// QueueLimit is the maximum number of queued requests of one contract at
	// one holder.
	QueueLimit int
}

// DefaultOptions returns the options that the daemons use.
func DefaultOptions() Options {
	return Options{
		Lease:      2 * time.Second,
		Margin:     200 * time.Millisecond,
		SlotHold:   30 * time.Second,
		Memory:     10 * time.Minute,
		QueueLimit: 1024,
	}
}

// Holding is a holder's report on one contract.
type Holding struct {
	Contract string `json:"c"`
	// Held is the most that the holder can use before a newer grant.
	Held Share `json:"h,omitzero"`
	// Demand is how much of the rates and slots the holder could use.
	Demand Share `json:"d,omitzero"`
	// Need is the smallest fraction of the slots that lets a queued request
	// start.
	Need float64 `json:"n,omitempty"`
	// Level is the content of the holder's buckets, Mean the average cost of a
	// request.
	Level Credit `json:"l,omitzero"`
	Mean  Credit `json:"m,omitzero"`
	// Ask is the credit that the queued requests need, First the credit that
	// the first of them needs.
	Ask   Credit `json:"a,omitzero"`
	First Credit `json:"f,omitzero"`
	// Returned is credit that the holder gives back to the owner.
	Returned Credit `json:"r,omitzero"`
	// Busy is the fraction of the concurrency in use. It may exceed the share
	// after the share was reduced.
	Busy float64 `json:"b,omitempty"`
	// Admitted and Refused count requests since the last renewal, for
	// operators. The counts of a lost renewal are lost.
	Admitted uint32          `json:"ad,omitempty"`
	Refused  [clauses]uint32 `json:"re,omitzero"`
}

// empty reports whether the holder neither holds nor needs any part of the contract.
func (h Holding) empty() bool {
	return h.Held == Share{} && h.Demand == Share{} && h.First == Credit{} && h.Busy == 0
}

// Indexes of the clauses that this package enforces. The clauses of the buckets
// come first, in the order of the buckets.
const (
	requestClause = int(requestBucket)
	tokenClause   = int(tokenBucket)
	slotClause    = int(buckets)
	clauses       = slotClause + 1
)

var clauseNames = [clauses]contract.Clause{
	requestClause: contract.ClauseRequestsPerSecond,
	tokenClause:   contract.ClauseTokensPerMinute,
	slotClause:    contract.ClauseConcurrency,
}

// shortage is the set of clauses for which a holder got less than it needs.
type shortage uint8

func (s shortage) has(clause int) bool { return s&(1<<clause) != 0 }

func (s *shortage) add(clause int, short bool) {
	if short {
		*s |= 1 << clause
	}
}

// Renewal is a holder's message to the owner. It renews the lease on every share
// of the holder, including those that it does not list.
type Renewal struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Number increases with every renewal of an incarnation.
	Number uint64 `json:"number"`
	// Epoch is the highest owner epoch known to the holder.
	Epoch uint64 `json:"epoch,omitempty"`
	// Full is true when Holdings lists everything that the holder has.
	// Otherwise it lists only what has changed.
	Full     bool      `json:"full,omitempty"`
	Holdings []Holding `json:"holdings,omitempty"`
}

// Grant sets a holder's share of one contract.
type Grant struct {
	Contract string `json:"c"`
	Share    Share  `json:"s,omitzero"`
	Credit   Credit `json:"k,omitzero"`
	// Short is the set of clauses for which the holder got less than it needs,
	// so that asking again immediately would not help.
	Short shortage `json:"t,omitempty"`
	// Reserve is the content of the owner's buckets.
	Reserve Credit `json:"v,omitzero"`
}

// Reply answers a renewal.
type Reply struct {
	// Incarnation and Number are those of the renewal. A restarted holder
	// numbers its renewals from 1 again and must not accept a reply to its
	// predecessor.
	Incarnation uint64 `json:"incarnation"`
	Number      uint64 `json:"number"`
	Epoch       uint64 `json:"epoch,omitempty"`
	// Accepted is false when this instance does not own the quotas or the
	// renewal is not the holder's newest.
	Accepted bool `json:"accepted,omitempty"`
	// Full asks for a full renewal, because the owner has no record of the shares
	// that the renewal does not list.
	Full   bool    `json:"full,omitempty"`
	Grants []Grant `json:"grants,omitempty"`
}
