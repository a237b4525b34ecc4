package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

// Contracts looks a contract up; a retired one is not found.
type Contracts func(id string) (contract.Contract, bool)

// Tenure is the time during which one instance owns the quotas.
type Tenure struct {
	// Epoch is the fencing token; it grows with every owner.
	Epoch uint64
	// Index is the log index at which the tenure began. A contract created
	// later cannot have been shared out by an earlier owner of this log.
	Index uint64
	// Began is when the tenure began: no earlier owner grants after it.
	Began time.Time
}

// Owner divides contracts among holders during one tenure. It is not safe for
// concurrent use: one duty owns it.
type Owner struct {
	options   Options
	tenure    Tenure
	contracts Contracts
	holders   map[holderKey]*holderRecord
	newest    map[string]uint64
	ledgers   map[string]*ledger
	// overLeased is the sum over all ledgers, also of those dropped since.
	overLeased uint64
}

type holderKey struct {
	name        string
	incarnation uint64
}

// holderRecord is what the owner knows of one incarnation of a holder.
type holderRecord struct {
	number  uint64
	expires time.Time
	// known is true since a full renewal, until the lease runs out.
	known bool
	// ledgers are those with a line of this holder.
	ledgers map[string]struct{}
}

// NewOwner begins a tenure.
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

// opens is when every lease of earlier owners has run out.
func (o *Owner) opens() time.Time {
	return o.tenure.Began.Add(o.options.Lease + o.options.Margin)
}

// Renew takes a renewal into account and grants shares.
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
		// What the holder does not speak of would be leased to others while
		// an accepted renewal prolongs its lease.
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
		o.dropUnnamed(now, key, record, renewal.Holdings)
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

// dropUnnamed frees what a full renewal does not speak of.
func (o *Owner) dropUnnamed(now time.Time, key holderKey, record *holderRecord, holdings []Holding) {
	named := make(map[string]struct{}, len(holdings))
	for _, holding := range holdings {
		named[holding.Contract] = struct{}{}
	}
	for id := range record.ledgers {
		if _, ok := named[id]; !ok {
			o.dropLine(now, key, record, id)
		}
	}
}

func (o *Owner) dropLine(now time.Time, key holderKey, record *holderRecord, id string) {
	l := o.ledgers[id]
	l.accrue(now)
	l.remove(key)
	delete(record.ledgers, id)
}

func (o *Owner) grant(now time.Time, key holderKey, record *holderRecord, holding Holding, known bool) Grant {
	agreed, ok := o.contracts(holding.Contract)
	if !ok {
		o.reportRetired(now, key, holding)
		return Grant{Contract: holding.Contract, Short: everything}
	}
	l := o.ledger(now, holding.Contract, agreed)
	// The past accrues by the limits that held then.
	l.accrue(now)
	l.limits = agreed.Limits
	l.count(holding)
	if !known {
		// A late copy from an earlier tenure would return credit twice.
		holding.Returned = Credit{}
	}
	l.report(key, holding)
	record.ledgers[holding.Contract] = struct{}{}
	if holding.over() {
		o.dropLine(now, key, record, holding.Contract)
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

// OverLeased counts grants in this tenure after which more than a contract was
// out. It stays 0 unless this package is at fault.
func (o *Owner) OverLeased() uint64 { return o.overLeased }

// reportRetired notes what is left of a contract that grants nothing any more.
func (o *Owner) reportRetired(now time.Time, key holderKey, holding Holding) {
	l, ok := o.ledgers[holding.Contract]
	if !ok || l.lines[key] == nil {
		return
	}
	l.accrue(now)
	l.report(key, holding)
	l.lines[key].planned = Share{}
}

func (o *Owner) ledger(now time.Time, id string, agreed contract.Contract) *ledger {
	if l, ok := o.ledgers[id]; ok {
		return l
	}
	l := newLedger(agreed.Limits, o.opens())
	if agreed.Created > o.tenure.Index {
		l.openFull(later(now, o.opens()))
	}
	o.ledgers[id] = l
	return l
}

// later returns the later of two moments. A contract of the owner's own time
// opens full, but not before leases of earlier owners have run out: a log that
// is founded anew may hold a contract again whose shares, from the lost log,
// entries still use. Opened at once it would be leased twice, and a customer
// could run twice its concurrency.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Expire drops holders whose leases have run out and ledgers that hold nothing
// worth remembering. A timer calls it; until then such leases count as held,
// which is safe.
func (o *Owner) Expire(now time.Time) {
	for key, record := range o.holders {
		if now.Before(record.expires) {
			continue
		}
		o.expireHolder(now, key, record)
	}
	for id, l := range o.ledgers {
		if len(l.lines) > 0 {
			continue
		}
		l.accrue(now)
		if l.full() {
			delete(o.ledgers, id)
		}
	}
}

// expireHolder frees the shares of a silent holder. Its requests may still run:
// a holder that is cut off from control is not cut off from its servers. So its
// slots stay counted for the longest run, unless the process is gone, which a
// newer incarnation of the same name proves.
func (o *Owner) expireHolder(now time.Time, key holderKey, record *holderRecord) {
	record.known = false
	gone := o.newest[key.name] > key.incarnation || !now.Before(record.expires.Add(o.options.SlotHold))
	for id := range record.ledgers {
		l := o.ledgers[id]
		if slots := l.lines[key].outstanding[Slots]; slots > 0 && !gone {
			l.accrue(now)
			l.keepSlots(key)
			continue
		}
		o.dropLine(now, key, record, id)
	}
	if len(record.ledgers) > 0 || now.Before(record.expires.Add(o.options.Memory)) {
		return
	}
	delete(o.holders, key)
	if o.newest[key.name] == key.incarnation {
		delete(o.newest, key.name)
	}
}

// Standing is what operators see of one contract.
type Standing struct {
	Contract string `json:"contract"`
	// Leased is the part of the contract that entries hold.
	Leased Share `json:"leased"`
	// Busy is the part of the concurrency in use.
	Busy float64 `json:"busy"`
	// Reserve is the unleased content of the buckets.
	Reserve Credit `json:"reserve"`
	// Holders is the number of entries with a share.
	Holders int `json:"holders"`
	// Admitted counts requests in this tenure.
	Admitted uint64 `json:"admitted"`
	// Refused counts refusals by clause in this tenure.
	Refused map[contract.Clause]uint64 `json:"refused"`
}

// Standing reports on one contract; it is empty for one that nobody uses.
func (o *Owner) Standing(id string) Standing {
	standing := Standing{Contract: id, Refused: make(map[contract.Clause]uint64)}
	l, ok := o.ledgers[id]
	if !ok {
		standing.Reserve = Credit{1, 1}
		return standing
	}
	standing.Leased = l.outstanding()
	standing.Reserve = l.reserve
	standing.Holders = len(l.lines)
	standing.Admitted = l.admitted
	for i, clause := range clauseNames {
		standing.Refused[clause] = l.refused[i]
	}
	for _, line := range l.lines {
		standing.Busy += line.busy
	}
	return standing
}

// Contracts returns the identifiers of the contracts in use, in no order.
func (o *Owner) Contracts() []string {
	return slices.Collect(maps.Keys(o.ledgers))
}
