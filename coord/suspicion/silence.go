package suspicion

import "time"

// A server whose machine loses power says nothing: the call that ended it stays unanswered, like one
// at a server that stands still, is cut off or is slow. Only the servers' heartbeats and answers tell
// these apart, and only afterwards. So a silent server under a request is a doubt and no strike: it
// never refuses a request, but one with several doubts runs in one copy at a time, at growing pauses.
// Its doubts end with its first whole answer, and those about a server with that server's next
// heartbeat.

const (
	// BeginTime is the time within which what crashes servers does so. A server that is heard later
	// has survived, and one that fell silent earlier was not ended by the request.
	BeginTime = earlyOutput
	// firstTrialPause is the pause after the first trial; it doubles after each.
	firstTrialPause = 4 * time.Second
	// repeatedNews is the time within which two answers, or two heartbeats of a server, are taken for
	// the same one: the age that a message carries grows on its way.
	repeatedNews = time.Second
	// answersKept is the number of requests whose last answers are remembered, in two generations.
	answersKept = 2048
	// answerLifetime is the longest time for which one of them serves.
	answerLifetime = 10 * time.Second
)

// silences is what is known of servers that fell silent, and of those that were heard.
type silences struct {
	// since is when the first request was sent to a server that answered none after it.
	since map[string]time.Time
	// heard holds, by server, the last proof that it lives, which ended doubts.
	heard map[string]heldStrike
	// recent and earlier hold when requests were last answered, by fingerprint; recentFrom is when
	// recent was begun.
	recent, earlier map[uint64]time.Time
	recentFrom      time.Time
}

func newSilences() silences {
	return silences{since: make(map[string]time.Time), heard: make(map[string]heldStrike), recent: make(map[uint64]time.Time)}
}

// RecordAnswer remembers that a request got a whole answer, which refutes doubts that come later.
func (s *Strikes) RecordAnswer(fingerprint uint64, now time.Time) {
	q := &s.silences
	if len(q.recent) >= answersKept || now.Sub(q.recentFrom) >= answerLifetime/2 {
		q.earlier, q.recent, q.recentFrom = q.recent, make(map[uint64]time.Time), now
	}
	if now.After(q.recent[fingerprint]) {
		q.recent[fingerprint] = now
	}
}

// AnsweredAfter returns the answer that a request got after the given time.
func (s *Strikes) AnsweredAfter(fingerprint uint64, at time.Time) (time.Time, bool) {
	for _, answers := range []map[uint64]time.Time{s.silences.recent, s.silences.earlier} {
		if answered, ok := answers[fingerprint]; ok && answered.After(at) {
			return answered, true
		}
	}
	return time.Time{}, false
}

// addSilence records that a server fell silent under a request that was sent to it at the given
// time.
func (s *Strikes) addSilence(r *strikeRecord, strike Strike, at, now time.Time) bool {
	_, struck := r.strikes[strike.Server]
	_, known := r.silent[strike.Server]
	if struck || known || len(r.silent) >= maxRequestStrikes || s.heardAfter(strike.Server, at) {
		return false
	}
	if r.silent == nil {
		r.silent = make(map[string]heldStrike)
	}
	s.change++
	r.silent[strike.Server] = heldStrike{Strike: strike, at: at, change: s.change, told: now}
	if since, silent := s.silences.since[strike.Server]; !silent || at.Before(since) {
		s.silences.since[strike.Server] = at
	}
	return true
}

// heardAfter reports whether a server was heard after it must have ended if a request that was sent
// at the given time ended it.
func (s *Strikes) heardAfter(server string, sentAt time.Time) bool {
	return s.silences.heard[server].at.Sub(sentAt) > BeginTime
}

// addHeard records that a server lives, and ends the doubts about it.
func (s *Strikes) addHeard(strike Strike, at time.Time) bool {
	known := s.silences.heard[strike.Server].at
	if !at.After(known) || at.Sub(known) < repeatedNews && !s.Doubted(strike.Server, at) {
		return false
	}
	s.change++
	s.silences.heard[strike.Server] = heldStrike{Strike: strike, at: at, change: s.change}
	delete(s.silences.since, strike.Server)
	for _, r := range s.records {
		held, silent := r.silent[strike.Server]
		if silent && s.heardAfter(strike.Server, held.at) {
			delete(r.silent, strike.Server)
		}
	}
	return true
}

// Doubted reports whether a server counts as silent under a request, and would not if it is heard
// now.
func (s *Strikes) Doubted(server string, now time.Time) bool {
	since, silent := s.silences.since[server]
	return silent && now.Sub(since) > BeginTime
}

// addTrial records that a trial of a request began. Of two entries that begin the same one, that with
// the lower address has it.
func (s *Strikes) addTrial(r *strikeRecord, strike Strike, at time.Time) bool {
	known := &r.trial
	if strike.Trial < known.Trial || strike.Trial == known.Trial && strike.Server >= known.Server {
		return false
	}
	s.change++
	r.trial = heldStrike{Strike: strike, at: at, change: s.change}
	return true
}

// Judge returns what may be done with a request as a whole: RunAlone stands for a trial, and the time is how long
// to wait where the verdict is Wait. Doubts count
// once they are older than grace, the time in which a server that lives is heard.
func (s *Strikes) Judge(fingerprint uint64, grace time.Duration, now time.Time) (Verdict, time.Duration) {
	r := s.records[fingerprint]
	switch {
	case r == nil || now.Sub(r.last) >= strikeLifetime:
		return Run, 0
	case s.Refused(fingerprint, now):
		return Refuse, 0
	case !s.doubted(r, grace, now):
		return Run, 0
	case r.trial.Trial == 0:
		return RunAlone, 0
	}
	if left := firstTrialPause<<min(r.trial.Trial-1, maxTrialDoublings) - now.Sub(r.trial.at); left > 0 {
		return Wait, left
	}
	return RunAlone, 0
}

// maxTrialDoublings keeps the pause between two trials below the lifetime of strikes.
const maxTrialDoublings = 6

// doubted reports whether the doubts about a request, with its strikes, are so many that it must run
// alone.
func (s *Strikes) doubted(r *strikeRecord, grace time.Duration, now time.Time) bool {
	doubts := s.doubts(r, grace, now)
	return doubts > 0 && !r.isPopular() && len(r.strikes)+doubts >= r.limit() && !s.explained(r, (*strikeRecord).withSilent)
}

// doubts counts the servers that fell silent as a request began to run on them. One that was silent
// before, under another request, was not ended by this one.
func (s *Strikes) doubts(r *strikeRecord, grace time.Duration, now time.Time) int {
	n := 0
	for server, held := range r.silent {
		if now.Sub(held.told) >= grace && held.at.Sub(s.silences.since[server]) <= BeginTime {
			n++
		}
	}
	return n
}

// nextTrial returns the next trial of a request or part, to be told to all entries.
func (s *Strikes) nextTrial(fingerprint uint64, entry string) Strike {
	r := s.records[fingerprint]
	return Strike{Fingerprint: fingerprint, Part: r.part, Trial: r.trial.Trial + 1, Server: entry}
}

// HasTrial reports whether an entry has the last trial of a request.
func (s *Strikes) HasTrial(fingerprint uint64, entry string) bool {
	r := s.records[fingerprint]
	return r != nil && r.trial.Trial > 0 && r.trial.Server == entry
}

// expireSilences forgets servers that have long been silent, or were heard long ago.
func (s *Strikes) expireSilences(now time.Time) {
	for server, since := range s.silences.since {
		if now.Sub(since) >= strikeLifetime {
			delete(s.silences.since, server)
		}
	}
	for server, heard := range s.silences.heard {
		if now.Sub(heard.at) >= strikeLifetime {
			delete(s.silences.heard, server)
		}
	}
}
