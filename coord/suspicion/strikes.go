package suspicion

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Strikes counts, by fingerprint, the servers that crashed while they ran a
// request, or requests whose prompts share a part. It replaces trials where
// servers run many requests at once and retries arrive within seconds: a request
// that has crashed strikeLimit servers is refused for a time. Strikes does no I/O;
// entries notify each other of strikes.
type Strikes struct {
	records map[uint64]*strikeRecord
	// change is the number of the last strike that was added.
	change uint64
	// expiredAt is when expired records were last removed.
	expiredAt time.Time
	silences  silences
}

// Strike records that one server crashed while it ran a request, or one whose prompt holds a part.
type Strike struct {
	Fingerprint uint64 `json:"fingerprint"`
	// Part is the ID of the part that Fingerprint stands for, Request then the fingerprint of the request
	// that ran; both are empty where Fingerprint stands for a request.
	Part    string `json:"part,omitempty"`
	Request uint64 `json:"request,omitempty"`
	// RunMillis is the time from the sending of the request until its server crashed.
	RunMillis int64 `json:"runMillis,omitempty"`
	// Popular is set where a run had proved the part sound shortly before.
	Popular bool `json:"popular,omitempty"`
	// Unsure is set where the entry that saw the crash had just started, and cannot know what is popular.
	Unsure bool `json:"unsure,omitempty"`
	// Server is the incarnation of the server that crashed.
	Server   string   `json:"server"`
	Evidence Evidence `json:"evidence,omitempty"`
	// OutputMillis is the time for which the run had been giving output when the server crashed.
	OutputMillis int64 `json:"outputMillis,omitempty"`
	// Answered is set where a run of the request got a whole answer, or proved the part sound, in place of a
	// crash.
	Answered bool `json:"answered,omitempty"`
	// Silent is set where the server fell silent under the request, in place of a crash; its age then
	// counts from when the request was sent. Heard is set where a server was heard, whatever the request.
	Silent bool `json:"silent,omitempty"`
	Heard  bool `json:"heard,omitempty"`
	// Trial is the number of the trial of the request that began, in place of a crash; 0 for none. Server
	// is then the address of the entry that began it.
	Trial int `json:"trial,omitempty"`
	// AgeMillis is the time since the server crashed, as far as the sender knows.
	AgeMillis int64 `json:"ageMillis,omitempty"`
	// FromHub is set when the strike came from a process that sends it to all other hubs itself.
	FromHub bool `json:"-"`
}

// Evidence is how the end of a server became known. It is empty while the server is not known to
// have ended, and in strikes of entries that do not report it.
type Evidence string

const (
	// Gone means that the server has left, or that a later one has its address.
	Gone Evidence = "gone"
	// Restarted means that a later incarnation has the server's ID.
	Restarted Evidence = "restarted"
	// Refuses means that after a call broke nothing listened at the server's address.
	Refuses Evidence = "refuses connections"
	// Closes means that whatever holds the address of a server whose connections broke closes all new
	// ones at once.
	Closes Evidence = "closes connections"
)

type strikeRecord struct {
	// part is the ID of a part of prompts; empty where the record is that of a request.
	part string
	// strikes holds the strikes by server, silent the doubts.
	strikes map[string]heldStrike
	silent  map[string]heldStrike
	// trial is the last trial.
	trial heldStrike
	// answer is the last whole answer; strikes from before it do not count.
	answer heldStrike
	// early counts the strikes of runs that had just begun.
	early int
	// last is the time of the last crash or answer.
	last time.Time
}

type heldStrike struct {
	Strike
	at time.Time
	// change is the number that the strike got when it was added.
	change uint64
	// told is when this entry learned of it.
	told time.Time
}

const (
	// strikeLimit is the number of server crashes from which a request is
	// refused: one crash may have another cause than the request, and so may a
	// second one when many servers crash.
	strikeLimit = 3
	// earlyOutput is the time of output up to which a run counts as just begun:
	// what crashes servers does so as it begins to run, and a run that got further
	// was most likely only there.
	earlyOutput = 500 * time.Millisecond
	// lateStrikeLimit is the limit for a request of which one run got further.
	// There is one, since some request may crash servers late.
	lateStrikeLimit = 6
	// maxRequestStrikes bounds the remembered servers of a request.
	maxRequestStrikes = 16
	// strikeLifetime is how long a request is refused after its last strike; a
	// caller that retries it stops doing so long before.
	strikeLifetime = 5 * time.Minute
	// expireInterval is the shortest time between two removals of expired records.
	expireInterval = time.Second
	// maxStrikeRecords bounds the number of remembered requests.
	maxStrikeRecords = 4096
	// evictedAtOnce is the number of requests that give way when the table is full.
	evictedAtOnce = 256
)

// NewStrikes returns an empty table.
func NewStrikes() *Strikes {
	return &Strikes{records: make(map[uint64]*strikeRecord), silences: newSilences()}
}

// Early reports whether the run had just begun.
func (s *Strike) Early() bool {
	return time.Duration(s.OutputMillis)*time.Millisecond <= earlyOutput
}

// atLimit reports whether so many servers crashed that the request must not run.
func (r *strikeRecord) atLimit() bool { return r.ends() >= r.limit() }

// ends returns the number of ends that count.
func (r *strikeRecord) ends() int { return r.count(slices.Collect(maps.Values(r.strikes))) }

// count returns how many of these ends count.
func (r *strikeRecord) count(ends []heldStrike) int {
	switch {
	case r.isPopular():
		return successive(ends)
	case slices.ContainsFunc(ends, func(end heldStrike) bool { return end.Unsure }):
		return moments(ends)
	}
	return len(ends)
}

// limit returns the number of ends from which the request must not run.
func (r *strikeRecord) limit() int {
	switch {
	case r.part != "":
		return partStrikeLimit
	case r.early < len(r.strikes):
		return lateStrikeLimit
	}
	return strikeLimit
}

// struck returns the servers that crashed under the request.
func (r *strikeRecord) struck() map[string]bool {
	servers := make(map[string]bool, len(r.strikes))
	for server := range r.strikes {
		servers[server] = true
	}
	return servers
}

// withSilent returns the servers that crashed or fell silent under the request.
func (r *strikeRecord) withSilent() map[string]bool {
	servers := r.struck()
	for server := range r.silent {
		servers[server] = true
	}
	return servers
}

// within reports whether another request was at each of these ends.
func within(ends, other map[string]bool) bool {
	for server := range ends {
		if !other[server] {
			return false
		}
	}
	return true
}

// explained reports whether another request or part was at all ends of this one and at more. It then
// crashed the servers, rather than this one. A request also explains the ends of a part that it alone
// brought.
func (s *Strikes) explained(r *strikeRecord, ends func(*strikeRecord) map[string]bool) bool {
	own := ends(r)
	for _, other := range s.records {
		least := len(own) + 1
		if r.part != "" && other.part == "" {
			least = len(own)
		}
		if other == r || len(other.strikes)+len(other.silent) < least || !other.mayBeCause(r) {
			continue
		}
		if others := ends(other); len(others) >= least && within(own, others) {
			return true
		}
	}
	return false
}

// mayBeCause reports whether the request or part may have crashed servers, rather than the other one. A
// popular part may only have in place of another popular one.
func (r *strikeRecord) mayBeCause(other *strikeRecord) bool {
	if r.early < len(r.strikes) {
		return false
	}
	return !r.isPopular() || other.isPopular() && r.atLimit()
}

// Add records a strike, or an answer, and reports whether it says anything new. It returns false for one that it
// has no room for.
func (s *Strikes) Add(strike Strike, now time.Time) bool {
	at := now.Add(-time.Duration(strike.AgeMillis) * time.Millisecond)
	if now.Sub(at) >= strikeLifetime {
		return false
	}
	if strike.Heard {
		return s.addHeard(strike, at)
	}
	r := s.records[strike.Fingerprint]
	if r == nil || now.Sub(r.last) >= strikeLifetime {
		s.expire(now)
		if len(s.records) >= maxStrikeRecords && !s.evict() {
			return false
		}
		r = &strikeRecord{strikes: make(map[string]heldStrike)}
		s.records[strike.Fingerprint] = r
	}
	if strike.Part != "" {
		r.part = strike.Part
		strike.Popular = strike.Popular || s.popularAt(r, strike.Fingerprint, at)
	}
	if !at.After(r.answer.at) {
		return false
	}
	if at.After(r.last) {
		r.last = at
	}
	switch {
	case strike.Answered:
		if at.Sub(r.answer.at) < repeatedNews && len(r.strikes)+len(r.silent) == 0 {
			return false
		}
		s.change++
		r.clear(heldStrike{Strike: strike, at: at, change: s.change})
		return true
	case strike.Silent:
		return s.addSilence(r, strike, at, now)
	case strike.Trial > 0:
		return s.addTrial(r, strike, at)
	}
	// Of two runs of the request on one server, the one that had just begun counts.
	known, ok := r.strikes[strike.Server]
	if ok && (known.Early() || !strike.Early()) || !ok && len(r.strikes) >= maxRequestStrikes {
		return false
	}
	if strike.Early() {
		r.early++
	}
	s.change++
	r.strikes[strike.Server] = heldStrike{Strike: strike, at: at, change: s.change}
	return true
}

// clear removes the strikes and doubts from before an answer.
func (r *strikeRecord) clear(answer heldStrike) {
	r.answer, r.early, r.trial = answer, 0, heldStrike{}
	for server, held := range r.silent {
		if !held.at.After(answer.at) {
			delete(r.silent, server)
		}
	}
	for server, held := range r.strikes {
		switch {
		case !held.at.After(answer.at):
			delete(r.strikes, server)
		case held.Early():
			r.early++
		}
	}
}

// Answered records that a run of the request got a whole answer, which what crashes servers never
// does. It reports whether the request had strikes.
func (s *Strikes) Answered(fingerprint uint64, now time.Time) bool {
	return s.Suspected(fingerprint) && s.Add(Strike{Fingerprint: fingerprint, Answered: true}, now)
}

// Suspected reports whether the request has strikes or doubts.
func (s *Strikes) Suspected(fingerprint uint64) bool {
	r := s.records[fingerprint]
	return r != nil && len(r.strikes)+len(r.silent) > 0
}

// Refused reports whether a request must not run, or which part of prompts requests must not hold.
func (s *Strikes) Refused(fingerprint uint64, now time.Time) bool {
	r := s.records[fingerprint]
	return r != nil && r.atLimit() && now.Sub(r.last) < strikeLifetime && !s.explained(r, (*strikeRecord).struck) && s.staysAtLimit(r)
}

// evict removes the requests with the oldest strikes of those that are not refused, and reports
// whether there was one. It removes several at once, since it has to look at all of them.
func (s *Strikes) evict() bool {
	var evictable []uint64
	for fingerprint, r := range s.records {
		if !r.atLimit() {
			evictable = append(evictable, fingerprint)
		}
	}
	slices.SortFunc(evictable, func(a, b uint64) int {
		return cmp.Or(s.records[a].last.Compare(s.records[b].last), cmp.Compare(a, b))
	})
	for _, fingerprint := range evictable[:min(evictedAtOnce, len(evictable))] {
		delete(s.records, fingerprint)
	}
	return len(evictable) > 0
}

// Of returns the strikes of a request, in the order of their servers.
func (s *Strikes) Of(fingerprint uint64) []Strike {
	r := s.records[fingerprint]
	if r == nil {
		return nil
	}
	var strikes []Strike
	for _, server := range slices.Sorted(maps.Keys(r.strikes)) {
		strikes = append(strikes, r.strikes[server].Strike)
	}
	return strikes
}

// Change returns the number of the last strike or answer that was added.
func (s *Strikes) Change() uint64 { return s.change }

// OfRefused returns the strikes of the requests and parts that are refused, in the order in which they
// were added.
func (s *Strikes) OfRefused(now time.Time) []Strike {
	refused, _ := s.splitByRefusal(now)
	return refused
}

// All returns up to limit of the strikes, those of what is refused first.
func (s *Strikes) All(limit int, now time.Time) []Strike {
	refused, others := s.splitByRefusal(now)
	all := append(refused, others...)
	return all[:min(len(all), limit)]
}

// splitByRefusal returns all strikes, split by whether their request or part is refused.
func (s *Strikes) splitByRefusal(now time.Time) (refused, others []Strike) {
	all, _ := s.Since(0, math.MaxInt, now)
	known := make(map[uint64]bool)
	for _, strike := range all {
		isRefused, ok := known[strike.Fingerprint]
		if !ok {
			isRefused = s.Refused(strike.Fingerprint, now)
			known[strike.Fingerprint] = isRefused
		}
		if isRefused {
			refused = append(refused, strike)
		} else {
			others = append(others, strike)
		}
	}
	return refused, others
}

// Since returns up to limit of the strikes that were added after the change with the given number,
// in their order, and the number up to which it lists them.
func (s *Strikes) Since(change uint64, limit int, now time.Time) ([]Strike, uint64) {
	if change == s.change {
		return nil, change
	}
	var added []heldStrike
	for _, r := range s.records {
		if now.Sub(r.last) >= strikeLifetime {
			continue
		}
		if r.answer.change > change {
			added = append(added, r.answer)
		}
		if r.trial.change > change {
			added = append(added, r.trial)
		}
		added = appendChanged(added, r.strikes, change)
		added = appendChanged(added, r.silent, change)
	}
	added = appendChanged(added, s.silences.heard, change)
	if len(added) == 0 {
		return nil, s.change
	}
	slices.SortFunc(added, func(a, b heldStrike) int { return cmp.Compare(a.change, b.change) })
	last := s.change
	if len(added) > limit {
		added = added[:limit]
		last = added[limit-1].change
	}
	strikes := make([]Strike, 0, len(added))
	for _, held := range added {
		held.AgeMillis = now.Sub(held.at).Milliseconds()
		strikes = append(strikes, held.Strike)
	}
	return strikes, last
}

// appendChanged appends the strikes that were added after a change.
func appendChanged(added []heldStrike, strikes map[string]heldStrike, change uint64) []heldStrike {
	for _, held := range strikes {
		if held.change > change {
			added = append(added, held)
		}
	}
	return added
}

// expire removes the requests that are no longer refused or suspected. It looks at all of them, so
// it does that once in expireInterval.
func (s *Strikes) expire(now time.Time) {
	if now.Sub(s.expiredAt) < expireInterval {
		return
	}
	s.expiredAt = now
	s.expireSilences(now)
	for fingerprint, r := range s.records {
		if now.Sub(r.last) >= strikeLifetime {
			delete(s.records, fingerprint)
		}
	}
}
