// Package suspicion finds the requests that crash the backend servers that run
// them, without blaming the other requests on the same servers.
//
// Every request that was on a server when it crashed becomes a suspect,
// identified by its fingerprint. A suspect runs again only in a trial, alone on
// its server. One that survives its trial is cleared; one whose server crashes
// again is convicted and refused for a time. The number of concurrent trials is
// limited, because a server on trial serves no other requests.
//
// Table is a pure state machine behind the replicated log, so that all entries
// share one view and a retry through another entry does not evade it.
package suspicion

import (
	"cmp"
	"slices"
	"time"
)

// Limits bounds a table. All instances of one log must use the same limits.
type Limits struct {
	// Trials is the maximum number of concurrent trials.
	Trials int
	// TrialLease is the maximum duration of a trial. An entry ends its trial
	// before that, by its own clock.
	TrialLease time.Duration
	// Suspect and Convicted are how long a request stays in that state.
	Suspect   time.Duration
	Convicted time.Duration
	// Records is the maximum number of records; further suspects are not
	// recorded.
	Records int
}

// DefaultLimits are the limits of the control instances.
var DefaultLimits = Limits{Trials: 2, TrialLease: time.Minute, Suspect: 10 * time.Minute, Convicted: time.Hour, Records: 10_000}

// Fingerprint identifies a request by contract, adapter, version and body.
type Fingerprint string

// State is the state of a suspected request.
type State string

const (
	// Suspect means that the request was on a server that crashed.
	Suspect State = "suspect"
	// OnTrial means that the request runs alone.
	OnTrial State = "on-trial"
	// Convicted means that the server crashed while the request ran alone.
	Convicted State = "convicted"
	// Cleared means that the request survived its trial.
	Cleared State = "cleared"
)

// Record is the state of one request.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	State       State       `json:"state"`
	// Crashes counts the crashes of servers that had the request.
	Crashes int `json:"crashes"`
	// Token identifies the trial, and Lease is its end in milliseconds since the
	// Unix epoch.
	Token string `json:"token,omitempty"`
	Lease int64  `json:"lease,omitempty"`
	// Expires is the expiry time by the log's clock, in milliseconds since the Unix
	// epoch.
	Expires int64 `json:"expires"`
	// Revision is the log index of the record's last change.
	Revision uint64 `json:"revision"`
}

// Restricted reports whether the record still restricts its request.
func (r Record) Restricted(now time.Time) bool {
	return r.State != Cleared && r.Expires > now.UnixMilli()
}

// Command is one input to the table. Exactly one of the pointers is set.
type Command struct {
	Crash *Crash `json:"crash,omitempty"`
	Ask   *Ask   `json:"ask,omitempty"`
	End   *End   `json:"end,omitempty"`
}

// Crash reports the requests that were on a server when it crashed. A repeated
// report for the same incarnation counts once.
type Crash struct {
	Server string `json:"server"`
	// Incarnation distinguishes the crashes of one server and increases from one
	// to the next; a repeated report has the same incarnation.
	Incarnation  uint64        `json:"incarnation"`
	Fingerprints []Fingerprint `json:"fingerprints"`
}

// Ask asks whether a suspect may run now, in a trial identified by the token.
type Ask struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Token       string      `json:"token"`
}

// End ends the trial identified by the token. Survived is true when the request
// ran to completion; otherwise it did not run and remains a suspect.
type End struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Token       string      `json:"token"`
	Survived    bool        `json:"survived"`
}

// Verdict is the answer to a command.
type Verdict string

const (
	// Run means that the request may run without restriction.
	Run Verdict = "run"
	// RunAlone means that the trial was granted.
	RunAlone Verdict = "run-alone"
	// Wait means that too many trials are in progress, or one of this request.
	Wait Verdict = "wait"
	// Refuse means that the request is convicted.
	Refuse Verdict = "refuse"
	// Noted means that a Crash or End was applied.
	Noted Verdict = "noted"
)

// Table holds the records. It is not safe for concurrent use.
type Table struct {
	limits  Limits
	records map[Fingerprint]Record
	// crashed is the last incarnation of each server whose crash was counted.
	crashed map[string]uint64
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, records: make(map[Fingerprint]Record), crashed: make(map[string]uint64)}
}

// Apply executes a command at a log index and at the time of the log's clock.
// It returns the records that changed.
func (t *Table) Apply(index uint64, command Command, clock time.Time) (Verdict, []Record) {
	t.expire(clock)
	switch {
	case command.Crash != nil:
		return Noted, t.crash(index, *command.Crash, clock)
	case command.Ask != nil:
		return t.ask(index, *command.Ask, clock)
	case command.End != nil:
		return Noted, t.end(index, *command.End, clock)
	default:
		return Noted, nil
	}
}

func (t *Table) crash(index uint64, crash Crash, clock time.Time) []Record {
	if crash.Incarnation <= t.crashed[crash.Server] {
		return nil
	}
	t.crashed[crash.Server] = crash.Incarnation
	alone := len(crash.Fingerprints) == 1
	var changed []Record
	for _, fingerprint := range crash.Fingerprints {
		if r, ok := t.blame(fingerprint, alone, clock); ok {
			changed = append(changed, t.put(index, r))
		}
	}
	return changed
}

// blame returns the record of a request after a crash. Only a crash in a trial,
// where the request ran alone, convicts: two crashes with other requests on the
// server may have two other causes.
func (t *Table) blame(fingerprint Fingerprint, alone bool, clock time.Time) (Record, bool) {
	r, known := t.records[fingerprint]
	if !known && len(t.records) >= t.limits.Records {
		return Record{}, false
	}
	if r.State == Convicted {
		return Record{}, false
	}
	onTrial := r.State == OnTrial
	r.Fingerprint, r.Token, r.Lease = fingerprint, "", 0
	r.Crashes++
	r.State, r.Expires = Suspect, clock.Add(t.limits.Suspect).UnixMilli()
	if onTrial && alone {
		r.State, r.Expires = Convicted, clock.Add(t.limits.Convicted).UnixMilli()
	}
	return r, true
}

func (t *Table) ask(index uint64, ask Ask, clock time.Time) (Verdict, []Record) {
	r, known := t.records[ask.Fingerprint]
	switch {
	case !known || r.State == Cleared:
		return Run, nil
	case r.State == Convicted:
		return Refuse, nil
	case r.State == OnTrial && r.Token == ask.Token:
		return RunAlone, nil
	case r.State == OnTrial || t.trials() >= t.limits.Trials:
		return Wait, nil
	}
	r.State, r.Token = OnTrial, ask.Token
	r.Lease = clock.Add(t.limits.TrialLease).UnixMilli()
	r.Expires = clock.Add(t.limits.Suspect).UnixMilli()
	return RunAlone, []Record{t.put(index, r)}
}

func (t *Table) end(index uint64, end End, clock time.Time) []Record {
	r, known := t.records[end.Fingerprint]
	if !known || r.State != OnTrial || r.Token != end.Token {
		return nil
	}
	r.Token, r.Lease, r.State = "", 0, Suspect
	if end.Survived {
		r.State = Cleared
	}
	r.Expires = clock.Add(t.limits.Suspect).UnixMilli()
	return []Record{t.put(index, r)}
}

func (t *Table) put(index uint64, r Record) Record {
	r.Revision = index
	t.records[r.Fingerprint] = r
	return r
}

func (t *Table) trials() int {
	n := 0
	for _, r := range t.records {
		if r.State == OnTrial {
			n++
		}
	}
	return n
}

// expire removes expired records and ends trials whose entry crashed. Daemons
// evaluate the expiry of a record themselves.
func (t *Table) expire(clock time.Time) {
	now := clock.UnixMilli()
	for fingerprint, r := range t.records {
		switch {
		case r.Expires <= now:
			delete(t.records, fingerprint)
		case r.State == OnTrial && r.Lease <= now:
			r.State, r.Token, r.Lease = Suspect, "", 0
			t.records[fingerprint] = r
		}
	}
}

// Records returns all records, ordered by fingerprint.
func (t *Table) Records() []Record {
	all := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// Incarnation is the last incarnation of a server whose crash was counted.
type Incarnation struct {
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"`
}

// Crashed returns the last counted crash of each server, ordered by name.
func (t *Table) Crashed() []Incarnation {
	all := make([]Incarnation, 0, len(t.crashed))
	for server, incarnation := range t.crashed {
		all = append(all, Incarnation{Server: server, Incarnation: incarnation})
	}
	slices.SortFunc(all, func(a, b Incarnation) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// Restore loads the results of Records and Crashed into an empty table.
func (t *Table) Restore(records []Record, crashed []Incarnation) {
	for _, r := range records {
		t.records[r.Fingerprint] = r
	}
	for _, c := range crashed {
		t.crashed[c.Server] = c.Incarnation
	}
}
