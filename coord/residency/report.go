package residency

import "time"

// Report is the state that the engine reports.
type Report struct {
	// Held maps the adapters that the engine holds to their versions.
	Held map[string]int64
	// Loading maps the adapters that the engine is loading to their versions.
	Loading map[string]int64
	// Running holds the IDs of the running requests.
	Running map[string]bool
	// Events maps the running requests to the numbers of events that they have made;
	// nil when the report does not contain them.
	Events map[string]int
	// Waiting is the number of requests queued at the engine.
	Waiting int
	// RequestedAt is when the report was requested; later orders may not show in it.
	RequestedAt time.Time
}

const (
	// unseenTimeout is how long a started request may be missing from the reports
	// before it is assumed to have ended: an entry that crashed cannot report the
	// end.
	unseenTimeout = 3 * time.Second
	// missingReports is how many consecutive reports must lack a request that was
	// seen before.
	missingReports = 3
)

// Apply reconciles the table with the engine's report.
func (t *Table) Apply(r Report, now time.Time) []Action {
	for name, version := range r.Held {
		if t.adapters[name] == nil && !r.RequestedAt.After(t.unloaded[name]) {
			continue
		}
		t.applyHeld(name, version, r.Loading, now)
	}
	for name, at := range t.unloaded {
		if r.RequestedAt.After(at) {
			delete(t.unloaded, name)
		}
	}
	for name := range r.Loading {
		if t.adapters[name] == nil {
			t.adapters[name] = &adapterState{version: absent, loading: true, since: now, usedAt: now}
		}
	}
	for _, name := range t.sortedNames() {
		t.applyAbsent(name, r)
	}
	t.applyEnding(r)
	t.applyRuns(r, now)
	t.observeProgress(r, now)
	return t.plan(now)
}

func (t *Table) applyHeld(name string, version int64, loads map[string]int64, now time.Time) {
	a := t.adapters[name]
	if a == nil {
		a = &adapterState{usedAt: now}
		t.adapters[name] = a
	}
	_, loading := loads[name]
	if a.loading && !loading && (version > a.version || version >= t.newest[name].version) {
		a.loading = false
	}
	a.version = version
}

// applyAbsent removes an adapter that the engine neither holds nor loads,
// unless a load was ordered after the report or less than orderTimeout before
// it.
func (t *Table) applyAbsent(name string, r Report) {
	a := t.adapters[name]
	_, held := r.Held[name]
	_, loading := r.Loading[name]
	if held || loading {
		return
	}
	if a.loading && r.RequestedAt.Sub(a.since) < orderTimeout {
		return
	}
	a.version = absent
	a.loading, a.unloading = false, false
	if a.pins == 0 && a.ending == 0 {
		delete(t.adapters, name)
	}
}

// applyEnding removes the ending requests that the engine no longer runs, and
// counts the running requests that this table has not started. A restarted
// agent knows none of the engine's requests; unloading an adapter that one of
// them uses would cut it off.
func (t *Table) applyEnding(r Report) {
	for id, e := range t.ending {
		if r.Running[id] || !r.RequestedAt.After(e.at) {
			continue
		}
		delete(t.ending, id)
		if a := t.adapters[e.adapter]; a != nil {
			a.ending--
		}
	}
	t.foreign = 0
	for id := range r.Running {
		if _, known := t.ending[id]; !known && t.started[id] == nil {
			t.foreign++
		}
	}
}

func (t *Table) applyRuns(r Report, now time.Time) {
	for id, s := range t.started {
		if r.Running[id] {
			s.seen, s.missing = true, 0
			continue
		}
		s.missing++
		lost := s.seen && s.missing >= missingReports && r.Waiting == 0
		if lost || !s.seen && now.Sub(s.at) > unseenTimeout && r.Waiting == 0 {
			t.turnover.advance(len(t.started), now)
			delete(t.started, id)
			t.tokens -= s.tokens
			if a := t.adapters[s.adapter]; a != nil {
				a.pins--
			}
		}
	}
}
