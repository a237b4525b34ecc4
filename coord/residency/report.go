package residency

import "time"

// Report is what the engine says of itself.
type Report struct {
	// Held are the adapters it holds with their versions.
	Held map[string]int64
	// Coming are the adapters on their way, with their versions.
	Coming map[string]int64
	// Runs are the requests that it runs.
	Runs map[string]bool
	// Waiting is the number of requests that wait at the engine.
	Waiting int
	// Asked is when the report was asked for; orders given later may not show.
	Asked time.Time
}

const (
	// unseenPatience is how long a started request may stay out of the reports
	// before its end is assumed: an entry that died cannot tell.
	unseenPatience = 3 * time.Second
	// missingReports is how many reports in a row must lack a request that was
	// seen before.
	missingReports = 3
)

// Take makes the table agree with the engine's report.
func (t *Table) Take(r Report, now time.Time) []Action {
	for name, version := range r.Held {
		if t.places[name] == nil && !r.Asked.After(t.unloaded[name]) {
			continue
		}
		t.takeHeld(name, version, r.Coming, now)
	}
	for name, at := range t.unloaded {
		if r.Asked.After(at) {
			delete(t.unloaded, name)
		}
	}
	for name := range r.Coming {
		if t.places[name] == nil {
			t.places[name] = &place{version: absent, loading: true, since: now, usedAt: now}
		}
	}
	for _, name := range t.sortedNames() {
		t.takeAbsent(name, r)
	}
	t.takeEnding(r)
	t.takeRuns(r, now)
	return t.plan(now)
}

func (t *Table) takeHeld(name string, version int64, coming map[string]int64, now time.Time) {
	p := t.places[name]
	if p == nil {
		p = &place{usedAt: now}
		t.places[name] = p
	}
	_, underWay := coming[name]
	if p.loading && !underWay && (version > p.version || version >= t.newest[name].version) {
		p.loading = false
	}
	p.version = version
}

// takeAbsent forgets what the engine neither holds nor loads, unless an order
// for it is younger than the report.
func (t *Table) takeAbsent(name string, r Report) {
	p := t.places[name]
	_, held := r.Held[name]
	_, coming := r.Coming[name]
	if held || coming {
		return
	}
	if p.loading && r.Asked.Sub(p.since) < orderPatience {
		return
	}
	p.version = absent
	p.loading, p.unloading = false, false
	if p.pins == 0 && p.ending == 0 {
		delete(t.places, name)
	}
}

// takeEnding lets go of what the engine has stopped running, and counts what
// nobody here has started. An agent that has restarted knows of none of the
// engine's requests; to unload an adapter under one of them would cut it off.
func (t *Table) takeEnding(r Report) {
	for id, e := range t.ending {
		if r.Runs[id] || !r.Asked.After(e.at) {
			continue
		}
		delete(t.ending, id)
		if p := t.places[e.adapter]; p != nil {
			p.ending--
		}
	}
	t.foreign = 0
	for id := range r.Runs {
		if _, known := t.ending[id]; !known && t.started[id] == nil {
			t.foreign++
		}
	}
}

func (t *Table) takeRuns(r Report, now time.Time) {
	for id, s := range t.started {
		if r.Runs[id] {
			s.seen, s.missing = true, 0
			continue
		}
		s.missing++
		lost := s.seen && s.missing >= missingReports && r.Waiting == 0
		if lost || !s.seen && now.Sub(s.at) > unseenPatience && r.Waiting == 0 {
			delete(t.started, id)
			t.tokens -= s.tokens
			if p := t.places[s.adapter]; p != nil {
				p.pins--
			}
		}
	}
}
