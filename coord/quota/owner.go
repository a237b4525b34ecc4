package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

// Contracts looks up a contract by its ID. It does not return retired contracts.
type Contracts func(id string) (contract.Contract, bool)

// Tenure is the period during which one instance owns the quotas.
type Tenure struct {
	// Epoch is the fencing token. It increases with every owner.
	Epoch uint64
	// Index is the log index at which the tenure began. A contract created
	// later cannot have been leased by an earlier owner of this log.
	Index uint64
	// Began is when the tenure began. No earlier owner grants anything after it.
	Began time.Time
}

// Owner divides contracts among holders during one tenure. It is not safe for
// concurrent use.
type Owner struct {
	options   Options
	tenure    Tenure
	contracts Contracts
	holders   map[holderKey]*holderRecord
	// newest is the highest incarnation seen, by holder name.
	newest  map[string]uint64
	ledgers map[string]*ledger
	// overLeased is the sum over all ledgers, including dropped ones.
	overLeased uint64
}

type holderKey struct {
	name        string
	incarnation uint64
}

// holderRecord is the owner's state for one incarnation of a holder.
type holderRecord struct {
	// number is that of the last renewal.
	number  uint64
	expires time.Time
	// known is true from a full renewal until the lease expires.
	known bool
	// ledgers are the contracts of which this holder has an allocation.
	ledgers map[string]struct{}
}

// NewOwner returns an owner at the beginning of a tenure.
func NewOwner(options Options, tenure Tenure, contracts Contracts) *Owner {
	return &Owner{
		options:   options,
		tenure:    tenure,
		contracts: contracts,
		holders:   make(map[holderKey]*holderRecord),
		newest:    make(map[string]uint64),
		ledgers:   make(map[string]*ledger),
	}
}

// opens returns the time at which every lease granted by earlier owners has expired.
func (o *Owner) opens() time.Time {
	return o.tenure.Began.Add(o.options.Lease + o.options.Margin)
}

// Renew processes a renewal and grants shares.
func (o *Owner) Renew(now time.Time, renewal Renewal) Reply {
	reply := Reply{Incarnation: renewal.Incarnation, Number: renewal.Number, Epoch: o.tenure.Epoch}
	if renewal.Epoch > o.tenure.Epoch {
		return reply
	}
	key := holderKey{renewal.Holder, renewal.Incarnation}
	record := o.record(key)
	if renewal.Number <= record.number {
		return reply
	}
	record.number = renewal.Number
	if !renewal.Full && !record.known {
		// Accepting the renewal would extend the holder's lease also on shares
		// that it does not list, which may be leased to others.
		reply.Full = true
		return reply
	}
	record.known = true
	record.expires = now.Add(o.options.Lease + o.options.Margin)
	reply.Accepted = true
	reply.Grants = make([]Grant, 0, len(renewal.Holdings))
	for _, holding := range renewal.Holdings {
		reply.Grants = append(reply.Grants, o.grant(now, key, record, holding, renewal.Epoch == o.tenure.Epoch))
	}
	if renewal.Full {
		o.dropUnlisted(now, key, record, renewal.Holdings)
	}
	return reply
}

func (o *Owner) record(key holderKey) *holderRecord {
	record, ok := o.holders[key]
	if !ok {
		record = &holderRecord{ledgers: make(map[string]struct{})}
		o.holders[key] = record
	}
	o.newest[key.name] = max(o.newest[key.name], key.incarnation)
	return record
}

// dropUnlisted frees the shares that a full renewal does not list.
func (o *Owner) dropUnlisted(now time.Time, key holderKey, record *holderRecord, holdings []Holding) {
	listed := make(map[string]struct{}, len(holdings))
	for _, holding := range holdings {
		listed[holding.Contract] = struct{}{}
	}
	for id := range record.ledgers {
		if _, ok := listed[id]; !ok {
			o.dropAllocation(now, key, record, id)
		}
	}
}

func (o *Owner) dropAllocation(now time.Time, key holderKey, record *holderRecord, id string) {
	l := o.ledgers[id]
	l.accrue(now)
	l.remove(key)
	delete(record.ledgers, id)
}

func (o *Owner) grant(now time.Time, key holderKey, record *holderRecord, holding Holding, known bool) Grant {
	agreed, ok := o.contracts(holding.Contract)
	if !ok {
		o.reportRetired(now, key, holding)
		return Grant{Contract: holding.Contract, Short: allClauses}
	}
	l := o.ledger(now, holding.Contract, agreed)
	// Accrue up to now by the old limits before applying the new ones.
	l.accrue(now)
	l.limits = agreed.Limits
	l.count(holding)
	if !known {
		// A delayed copy from an earlier tenure would return credit twice.
		holding.Returned = Credit{}
	}
	l.report(key, holding)
	record.ledgers[holding.Contract] = struct{}{}
	if holding.empty() {
		o.dropAllocation(now, key, record, holding.Contract)
		return Grant{Contract: holding.Contract}
	}
	if now.Before(l.opens) {
		return l.renewOnly(key, holding)
	}
	before := l.overLeased
	grant := l.divide(key, holding)
	o.overLeased += l.overLeased - before
	return grant
}

// OverLeased returns the number of grants in this tenure after which more than a
// contract was leased. A value other than 0 shows a bug in this package.
func (o *Owner) OverLeased() uint64 { return o.overLeased }

// reportRetired records what a holder still has of a retired contract, which
// grants nothing more.
func (o *Owner) reportRetired(now time.Time, key holderKey, holding Holding) {
	l, ok := o.ledgers[holding.Contract]
	if !ok || l.allocations[key] == nil {
		return
	}
	l.accrue(now)
	l.report(key, holding)
	l.allocations[key].planned = Share{}
}

func (o *Owner) ledger(now time.Time, id string, agreed contract.Contract) *ledger {
	if l, ok := o.ledgers[id]; ok {
		return l
	}
	l := newLedger(agreed.Limits, o.opens())
	// A contract created during this tenure starts with full buckets, but not
	// before the leases of earlier owners have expired: a log that was founded
	// anew may contain a contract again whose shares, granted from the lost log,
	// entries still use. Opened immediately it would be leased twice, and a
	// customer could run twice its concurrency.
	if agreed.Created > o.tenure.Index {
		l.openFull(later(now, o.opens()))
	}
	o.ledgers[id] = l
	return l
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Expire drops holders whose leases have expired, and ledgers without allocations
// whose buckets are full. It is called periodically; until then expired leases
// count as held, which is safe.
func (o *Owner) Expire(now time.Time) {
	for key, record := range o.holders {
		if now.Before(record.expires) {
			continue
		}
		o.expireHolder(now, key, record)
	}
	for id, l := range o.ledgers {
		if len(l.allocations) > 0 {
			continue
		}
		l.accrue(now)
		if l.full() {
			delete(o.ledgers, id)
		}
	}
}

// expireHolder frees the shares of a holder whose lease has expired. Its requests
// may still run, as a holder that cannot reach control may still reach its backend
// servers. So its slots stay counted for SlotHold, unless a newer incarnation of
// the same name proves that the process has ended.
func (o *Owner) expireHolder(now time.Time, key holderKey, record *holderRecord) {
	record.known = false
	gone := o.newest[key.name] > key.incarnation || !now.Before(record.expires.Add(o.options.SlotHold))
	for id := range record.ledgers {
		l := o.ledgers[id]
		if slots := l.allocations[key].outstanding[Slots]; slots > 0 && !gone {
			l.accrue(now)
			l.keepSlots(key)
			continue
		}
		o.dropAllocation(now, key, record, id)
	}
	if len(record.ledgers) > 0 || now.Before(record.expires.Add(o.options.Memory)) {
		return
	}
	delete(o.holders, key)
	if o.newest[key.name] == key.incarnation {
		delete(o.newest, key.name)
	}
}

// Standing describes the use of one contract to operators.
type Standing struct {
	Contract string `json:"contract"`
	// Leased is the fraction of the contract that entries hold.
	Leased Share `json:"leased"`
	// Busy is the fraction of the concurrency in use.
	Busy float64 `json:"busy"`
	// Reserve is the unleased content of the buckets.
	Reserve Credit `json:"reserve"`
	// Holders is the number of entries with a share.
	Holders int `json:"holders"`
	// Admitted counts admitted requests in this tenure.
	Admitted uint64 `json:"admitted"`
	// Refused counts refused requests by clause in this tenure.
	Refused map[contract.Clause]uint64 `json:"refused"`
}

// Standing returns the use of one contract. An unused contract has full reserves
// and no holders.
func (o *Owner) Standing(id string) Standing {
	standing := Standing{Contract: id, Refused: make(map[contract.Clause]uint64)}
	l, ok := o.ledgers[id]
	if !ok {
		standing.Reserve = Credit{1, 1}
		return standing
	}
	standing.Leased = l.outstanding()
	standing.Reserve = l.reserve
	standing.Holders = len(l.allocations)
	standing.Admitted = l.admitted
	for i, clause := range clauseNames {
		standing.Refused[clause] = l.refused[i]
	}
	for _, alloc := range l.allocations {
		standing.Busy += alloc.busy
	}
	return standing
}

// Contracts returns the identifiers of the contracts in use, in no particular order.
func (o *Owner) Contracts() []string {
	return slices.Collect(maps.Keys(o.ledgers))
}
