// Package backlog bounds what a server buffers for callers that read slowly, and
// selects the streams to be cut when a bound is exceeded.
//
// It is deterministic: the caller passes the time. It holds counts of bytes only, not
// the bytes themselves.
package backlog

import "time"

// Limits are the bounds in bytes. A bound of 0 or less is none.
type Limits struct {
	// Stream bounds what one stream has queued, Team what the streams of one team
	// hold together, and Total what all streams hold together.
	Stream int64
	Team   int64
	Total  int64
}

// ID identifies a stream.
type ID uint64

// Held describes a stream that was removed from the table.
type Held struct {
	ID    ID
	Team  string
	Bytes int64
	// Age is the time since its caller became slow; 0 if nothing was held.
	Age time.Duration
}

// Table holds the streams with slow callers. A cut stream is removed from it at once.
type Table struct {
	limits Limits
	byID   map[ID]*stream
	teams  map[string]*team
	// all lists the streams: a slice is faster to search than a map.
	all   []*stream
	total int64
	// epoch is the origin of the times in the streams.
	epoch time.Time
}

type stream struct {
	id   ID
	team *team
	// bytes is the number of bytes held, unqueued the part of it that was being
	// written when the stream was added.
	bytes    int64
	unqueued int64
	// since is when bytes last rose from 0, movedAt when the caller last read
	// something after that.
	since   time.Duration
	movedAt time.Duration
	// at and atTeam are its indexes in Table.all and team.streams.
	at     int
	atTeam int
}

type team struct {
	name    string
	streams []*stream
	total   int64
}

// New returns an empty table.
func New(limits Limits) *Table {
	return &Table{limits: limits, byID: make(map[ID]*stream), teams: make(map[string]*team)}
}

// Begin adds a stream whose caller has not read a piece of the given size, in bytes, in
// time. The piece counts towards the bounds of the team and of all streams, but not
// towards that of the stream, since the caller does not choose its size. Begin returns
// the streams to be cut.
func (t *Table) Begin(id ID, teamName string, piece int64, now time.Time) []Held {
	if t.byID[id] != nil {
		return nil
	}
	owner := t.teams[teamName]
	if owner == nil {
		owner = &team{name: teamName}
		t.teams[teamName] = owner
	}
	s := &stream{id: id, team: owner, unqueued: piece, at: len(t.all), atTeam: len(owner.streams)}
	t.all = append(t.all, s)
	owner.streams = append(owner.streams, s)
	t.byID[id] = s
	return t.grow(s, piece, now)
}

// Add queues bytes for a stream and returns the streams to be cut, which may include
// it. It has no effect on a stream that is not in the table.
func (t *Table) Add(id ID, bytes int64, now time.Time) []Held {
	s := t.byID[id]
	if s == nil {
		return nil
	}
	return t.grow(s, bytes, now)
}

func (t *Table) grow(s *stream, bytes int64, at time.Time) []Held {
	now := t.at(at)
	if s.bytes == 0 {
		s.since, s.movedAt = now, now
	}
	s.bytes += bytes
	s.team.total += bytes
	t.total += bytes
	var cut []Held
	if t.limits.Stream > 0 && s.bytes-s.unqueued > t.limits.Stream {
		cut = append(cut, t.remove(s, now))
	}
	for t.limits.Team > 0 && s.team.total > t.limits.Team {
		cut = append(cut, t.remove(heaviest(s.team.streams, now), now))
	}
	for t.limits.Total > 0 && t.total > t.limits.Total {
		cut = append(cut, t.remove(heaviest(t.all, now), now))
	}
	return cut
}

// at converts a time to the duration since the epoch, which is faster to compare.
func (t *Table) at(now time.Time) time.Duration {
	if t.epoch.IsZero() {
		t.epoch = now
	}
	return now.Sub(t.epoch)
}

// heaviest returns the stream with the greatest product of the bytes held and the time
// since its caller became slow. Ties go to the one that holds more, then to the lowest
// ID.
func heaviest(streams []*stream, now time.Duration) *stream {
	best, bestWeight := streams[0], streams[0].weight(now)
	for _, s := range streams[1:] {
		weight := s.weight(now)
		if weight > bestWeight || weight == bestWeight && (s.bytes > best.bytes || s.bytes == best.bytes && s.id < best.id) {
			best, bestWeight = s, weight
		}
	}
	return best
}

func (s *stream) weight(now time.Duration) float64 { return float64(s.bytes) * float64(s.age(now)) }

func (s *stream) age(now time.Duration) time.Duration { return max(now-s.since, 0) }

// Taken records that a stream's caller has read bytes, in the order in which they were
// added.
func (t *Table) Taken(id ID, bytes int64, now time.Time) {
	s := t.byID[id]
	if s == nil {
		return
	}
	bytes = min(bytes, s.bytes)
	s.bytes -= bytes
	s.unqueued = max(s.unqueued-bytes, 0)
	s.team.total -= bytes
	t.total -= bytes
	s.movedAt = t.at(now)
}

// Moved records that a stream's caller has read something, although no bytes can be
// released yet.
func (t *Table) Moved(id ID, now time.Time) {
	if s := t.byID[id]; s != nil {
		s.movedAt = t.at(now)
	}
}

// Stalled removes and returns the streams that hold bytes and whose callers have read
// nothing for the timeout.
func (t *Table) Stalled(at time.Time, timeout time.Duration) []Held {
	now := t.at(at)
	var stalled []Held
	for i := len(t.all) - 1; i >= 0; i-- {
		if s := t.all[i]; s.bytes > 0 && now-s.movedAt >= timeout {
			stalled = append(stalled, t.remove(s, now))
		}
	}
	return stalled
}

// End removes a stream. It returns false if the stream is not in the table, for example
// because it was cut.
func (t *Table) End(id ID, now time.Time) (Held, bool) {
	s := t.byID[id]
	if s == nil {
		return Held{}, false
	}
	return t.remove(s, t.at(now)), true
}

func (t *Table) remove(s *stream, now time.Duration) Held {
	t.total -= s.bytes
	s.team.total -= s.bytes
	t.all = removeAt(t.all, s.at, func(moved *stream) { moved.at = s.at })
	s.team.streams = removeAt(s.team.streams, s.atTeam, func(moved *stream) { moved.atTeam = s.atTeam })
	if len(s.team.streams) == 0 {
		delete(t.teams, s.team.name)
	}
	delete(t.byID, s.id)
	held := Held{ID: s.id, Team: s.team.name, Bytes: s.bytes}
	if s.bytes > 0 {
		held.Age = s.age(now)
	}
	return held
}

// removeAt removes an element by moving the last one to its place.
func removeAt(streams []*stream, at int, placed func(moved *stream)) []*stream {
	last := len(streams) - 1
	if at != last {
		streams[at] = streams[last]
		placed(streams[at])
	}
	streams[last] = nil
	return streams[:last]
}

// Total returns the number of bytes held for all streams.
func (t *Table) Total() int64 { return t.total }

// Len returns the number of streams.
func (t *Table) Len() int { return len(t.all) }
