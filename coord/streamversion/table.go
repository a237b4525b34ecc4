// Package streamversion decides at which software version of a service a stream may go on. What
// servers of two versions write does not fit together, so a stream belongs to the version of the
// server that gave its first event: within one answer, and when its caller takes it up at another
// entry.
//
// The entry that began a stream may be dead by then. It tells a few other processes, which all
// entries derive from the stream's ID (Told, Asked), and which keep the record for as long as the caller
// may come back (Table). A stream of which nobody knows goes on only where no second version can have
// served it (Decide).
package streamversion

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Stream identifies a stream by the caller's attempt that brought its first event.
type Stream uint64

// Of returns the stream that began with an attempt; 0 is no stream.
func Of(attempt string) Stream {
	if attempt == "" || len(attempt) > MaxAttemptLength {
		return 0
	}
	return Stream(max(xxhash.Sum64String(attempt), 1))
}

const (
	// MaxAttemptLength and MaxVersionLength are the longest ID of an attempt, and the longest
	// version, in bytes, that are taken for one.
	MaxAttemptLength = 256
	MaxVersionLength = 128
	// Retention is the longest time for which a caller may take up a stream, and for which a version
	// is remembered after its last server was heard.
	Retention = time.Minute
)

// Record tells at which version a stream began.
type Record struct {
	Stream  Stream `json:"stream"`
	Service string `json:"service"`
	// Version is empty when it is not certain: servers of two versions may have sent events.
	Version string `json:"version,omitempty"`
	// LeftMillis is how much longer the caller may take up the stream.
	LeftMillis int64 `json:"left"`
	// Origin is the server that gave the stream its first event.
	Origin Origin `json:"origin,omitzero"`
}

// Origin is the server that gave a stream its first event, as it was announced then.
type Origin struct {
	// Server is its ID; empty if none is known.
	Server string `json:"server"`
	// Born is its start, by its own clock, and AtMillis the time of the event, by the clock of the entry; both in
	// Unix milliseconds.
	Born     int64 `json:"born"`
	AtMillis int64 `json:"at"`
}

// Restarted reports whether a later start of the server, which it announces since, lies before the event: what gave
// the event had not been announced. While the two clocks differ, this is wrong for a restart within the difference.
func (o *Origin) Restarted(born int64) bool {
	return o.Server != "" && born > o.Born && born <= o.AtMillis
}

// Left returns how much longer the caller may take up the stream.
func (r *Record) Left() time.Duration {
	return min(time.Duration(r.LeftMillis)*time.Millisecond, Retention)
}

// Table holds the records of a process, at most a fixed number; the oldest make room for new ones.
type Table struct {
	max     int
	records map[Stream]*kept
	// order lists the records from the oldest, including those that were replaced.
	order []*kept
	// change counts the records that were put.
	change uint64
}

type kept struct {
	Record
	until time.Time
	// own is set for a stream that this process began; told once others have its record.
	own  bool
	told bool
}

// NewTable returns an empty table for at most size records.
func NewTable(size int) *Table {
	return &Table{max: size, records: make(map[Stream]*kept)}
}

// Put keeps a record; own is set where this process began the stream. Two records of one stream that
// differ leave its version uncertain.
func (t *Table) Put(r Record, own bool, now time.Time) {
	if r.Stream == 0 || r.Left() <= 0 {
		return
	}
	k := &kept{Record: r, until: now.Add(r.Left()), own: own}
	if known := t.find(r.Stream, now); known != nil {
		if known.Service != r.Service || known.Version != r.Version {
			k.Version = ""
		}
		k.own = own || known.own
		k.until = later(k.until, known.until)
		k.told = known.told && known.Version == k.Version
	}
	t.trim(now)
	t.records[r.Stream] = k
	t.order = append(t.order, k)
	t.change++
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// trim removes what has expired from the front, and the oldest records beyond the limit.
func (t *Table) trim(now time.Time) {
	for len(t.order) > 0 {
		oldest := t.order[0]
		replaced := t.records[oldest.Stream] != oldest
		if !replaced && oldest.until.After(now) && len(t.order) < t.max {
			return
		}
		if !replaced {
			delete(t.records, oldest.Stream)
		}
		t.order[0] = nil
		t.order = t.order[1:]
	}
}

func (t *Table) find(s Stream, now time.Time) *kept {
	k := t.records[s]
	if k == nil || !k.until.After(now) {
		return nil
	}
	return k
}

// Get returns the record of a stream, if there is one.
func (t *Table) Get(s Stream, now time.Time) (Record, bool) {
	k := t.find(s, now)
	if k == nil {
		return Record{}, false
	}
	return k.record(now), true
}

func (k *kept) record(now time.Time) Record {
	r := k.Record
	r.LeftMillis = k.until.Sub(now).Milliseconds()
	return r
}

// All lists the records.
func (t *Table) All(now time.Time) []Record {
	t.trim(now)
	return t.list(now, func(*kept) bool { return true })
}

// Untold lists the records of streams that this process began and of which no other was told, where
// wanted is true for their service.
func (t *Table) Untold(now time.Time, wanted func(service string) bool) []Record {
	return t.list(now, func(k *kept) bool { return k.own && !k.told && wanted(k.Service) })
}

func (t *Table) list(now time.Time, wanted func(*kept) bool) []Record {
	var list []Record
	for _, k := range t.order {
		if t.find(k.Stream, now) == k && wanted(k) {
			list = append(list, k.record(now))
		}
	}
	return list
}

// Told notes that another process has a record.
func (t *Table) Told(r Record) {
	if k := t.records[r.Stream]; k != nil && k.Version == r.Version {
		k.told = true
	}
}

// Change counts the changes.
func (t *Table) Change() uint64 { return t.change }
