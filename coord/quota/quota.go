// Package quota makes a contract's limits hold across all entries.
//
// One owner divides each contract among the entries that use it. An entry (the
// holder) has a lease on a share and admits requests on its own within it. The
// shares of a contract never add up to more than the contract:
//
//   - a share grows only by a grant, and the owner counts the larger of what a
//     holder said it holds and what it was last granted, until the holder says
//     otherwise or its lease has run out;
//   - a holder counts its lease from when it sent the renewal, the owner from
//     when it received it, so the holder's ends first without a common clock;
//   - a new owner raises no share until every lease of its predecessor has run
//     out, but renews what holders report.
//
// Shares are fractions of the contract. Each side applies them to the limits
// that it follows, so a changed contract is in force at an entry as soon as the
// entry knows it, without a message of this package.
//
// A contract that nobody uses has no state here and no messages.
package quota

import (
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

// Measure is one of the quantities that are shared out.
type Measure int

// The measures. A rate is a part of the bucket's refill, a burst a part of its
// capacity.
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

// Credit is an amount that moves between buckets, as fractions of their capacity.
type Credit [buckets]float64

const (
	// burstTime is how long the unused rate of requests may be saved up.
	burstTime = time.Second
	// epsilon absorbs rounding of sums of fractions.
	epsilon = 1e-9
)

// Capacity and Refill define what a contract allows in any period of t
// seconds: Capacity + Refill*t. A request bucket holds one second's requests
// and one more, a token bucket one minute's tokens.
func capacity(b bucket, limits contract.Limits) float64 {
	if b == tokenBucket {
		return float64(limits.TokensPerMinute)
	}
	return limits.RequestsPerSecond*burstTime.Seconds() + 1
}

// refill is in units per second.
func refill(b bucket, limits contract.Limits) float64 {
	if b == tokenBucket {
		return float64(limits.TokensPerMinute) / time.Minute.Seconds()
	}
	return limits.RequestsPerSecond
}

// Options are common to the owner and the holders.
type Options struct {
	// Lease is how long a share lasts after its renewal was sent.
	Lease time.Duration
	// Margin is what the owner waits beyond a lease for clocks that run at
	// different speeds.
	Margin time.Duration
	// SlotHold is how long the slots of a holder that fell silent stay
	// counted after its lease: the longest time that a request is expected
	// to run.
	SlotHold time.Duration
	// Memory is how long the owner remembers the number of a holder's last
	// renewal, so that a late copy of an older one has no effect.
	Memory time.Duration
	// QueueLimit bounds the waiting requests of one contract at one holder.
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

// Holding is what a holder says about one contract.
type Holding struct {
	Contract string `json:"c"`
	// Held is the most that the holder can use until a newer grant.
	Held Share `json:"h,omitzero"`
	// Demand is what it could use of the rates and slots.
	Demand Share `json:"d,omitzero"`
	// Need is the least part of the slots that helps it.
	Need float64 `json:"n,omitempty"`
	// Level is the content of its buckets and Mean what a request takes on
	// average.
	Level Credit `json:"l,omitzero"`
	Mean  Credit `json:"m,omitzero"`
	// Ask is the credit that its waiting requests need, First what the first
	// of them needs.
	Ask   Credit `json:"a,omitzero"`
	First Credit `json:"f,omitzero"`
	// Returned is credit that the holder no longer has.
	Returned Credit `json:"r,omitzero"`
	// Busy is the part of the concurrency that runs requests; it may be more
	// than the share after a cut.
	Busy float64 `json:"b,omitempty"`
	// Admitted and Refused count requests since the last renewal, for
	// operators; a lost renewal loses them.
	Admitted uint32          `json:"ad,omitempty"`
	Refused  [clauses]uint32 `json:"re,omitzero"`
}

// over reports that the holder has no more to do with the contract.
func (h Holding) over() bool {
	return h.Held == Share{} && h.Demand == Share{} && h.First == Credit{} && h.Busy == 0
}

// The clauses that this package enforces are counted in this order; those of
// the buckets come first, in the order of the buckets.
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

// shortage is the set of clauses of which a holder got less than it needs.
type shortage uint8

func (s shortage) has(clause int) bool { return s&(1<<clause) != 0 }

func (s *shortage) add(clause int, short bool) {
	if short {
		*s |= 1 << clause
	}
}

// Renewal is one holder's message. It renews the lease of every share that the
// holder has, whether or not it speaks of it.
type Renewal struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Number grows with every renewal of an incarnation.
	Number uint64 `json:"number"`
	// Epoch is the highest owner epoch that the holder knows.
	Epoch uint64 `json:"epoch,omitempty"`
	// Full is true when Holdings are all that the holder has. Otherwise they
	// are those about which there is something new to say.
	Full     bool      `json:"full,omitempty"`
	Holdings []Holding `json:"holdings,omitempty"`
}

// Grant is a holder's share of one contract from now on.
type Grant struct {
	Contract string `json:"c"`
	Share    Share  `json:"s,omitzero"`
	Credit   Credit `json:"k,omitzero"`
	// Short names the clauses of which the holder got less than it needs, so
	// that asking again at once is of no use.
	Short shortage `json:"t,omitempty"`
	// Reserve is the owner's content of the buckets.
	Reserve Credit `json:"v,omitzero"`
}

// Reply answers a renewal.
type Reply struct {
	// Incarnation and Number are those of the renewal. A restarted holder
	// counts from 1 again and must not take an answer to its predecessor.
	Incarnation uint64 `json:"incarnation"`
	Number      uint64 `json:"number"`
	Epoch       uint64 `json:"epoch,omitempty"`
	// Accepted is false when this instance does not own the quotas or the
	// renewal is not the holder's newest.
	Accepted bool `json:"accepted,omitempty"`
	// Full asks for a full renewal: the owner does not know what else the
	// holder has.
	Full   bool    `json:"full,omitempty"`
	Grants []Grant `json:"grants,omitempty"`
}
