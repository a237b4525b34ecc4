package placement

import (
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
)

// maxRecords bounds the dispatches and ends remembered for a server whose
// reports have stopped.
const maxRecords = 256

// ledger counts one viewer's own dispatches to a server since its last report.
type ledger struct {
	inFlight    int
	incarnation uint64
	sequence    uint64
	load        membership.Load
	records     []record
	sum         int
	failures    failures
	// full is set when the server has declined a request for lack of a slot since
	// its last report.
	full bool
}

type record struct {
	at time.Time
	// ref is set for a dispatch and empty for an end.
	ref   catalogue.Ref
	delta int
	// cold is set when the adapter was not known to be on the server.
	cold bool
}

func (l *ledger) add(ref catalogue.Ref, cold bool, now time.Time) {
	l.inFlight++
	l.appendRecord(record{at: now, ref: ref, delta: 1, cold: cold})
}

func (l *ledger) end(now time.Time) {
	l.inFlight--
	l.appendRecord(record{at: now, delta: -1})
}

func (l *ledger) appendRecord(r record) {
	if len(l.records) == maxRecords {
		l.records = slices.Delete(l.records, 0, maxRecords/2)
	}
	l.records = append(l.records, r)
	l.sum += r.delta
}

// maxReportAge is the maximum age of an announced server's load report. A
// directory that sends only changes does not repeat an unchanged report, so
// everything older counts as reported.
const maxReportAge = 5 * time.Second

// reported drops the records that a new report includes: those before upTo.
func (l *ledger) reported(a *membership.Announcement, upTo time.Time) {
	if l.isNew(a) {
		l.full = false
	} else {
		upTo = upTo.Add(-maxReportAge)
	}
	l.incarnation, l.sequence, l.load = a.Incarnation, a.Sequence, a.Load
	l.records = slices.DeleteFunc(l.records, func(r record) bool { return r.at.Before(upTo) })
	l.sum = 0
	for _, r := range l.records {
		l.sum += r.delta
	}
}

func (l *ledger) isNew(a *membership.Announcement) bool {
	return a.Incarnation != l.incarnation || a.Sequence != l.sequence || !sameLoad(&a.Load, &l.load)
}

func sameLoad(a, b *membership.Load) bool {
	return a.Running == b.Running && a.Waiting == b.Waiting && a.Obtainable == b.Obtainable &&
		a.VictimUse == b.VictimUse && a.LoadMillis == b.LoadMillis &&
		slices.Equal(a.Resident, b.Resident) && slices.Equal(a.Loading, b.Loading)
}

// delta returns the change in requests in flight since the report.
func (l *ledger) delta() int { return l.sum }

// since reports whether the adapter was dispatched to the server since the
// report, and how many dispatches of other adapters have each taken a slot.
func (l *ledger) since(ref catalogue.Ref) (sent bool, taken int) {
	for i := range l.records {
		r := &l.records[i]
		switch {
		case r.delta < 0:
		case r.ref == ref:
			sent = true
		case r.cold:
			taken++
		}
	}
	return sent, taken
}
