package suspicion

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Prompts share parts, and one part may crash each server that begins to write an answer on it, in
// requests of which no two are alike. A part is at an end of a server if one of its runs there had just
// begun, whichever entry sent it. Ends count since a run last proved the part sound.

// Part is a part of prompts.
type Part struct {
	ID          string
	Fingerprint uint64
}

// Request is what a request is known by: itself, and the parts of its prompt that others may share.
type Request struct {
	Fingerprint uint64
	Parts       []Part
}

// Decision is what may be done with a request.
type Decision struct {
	Verdict Verdict
	// Left is how long to wait where the verdict is Wait or Refuse; 0 where that is not known.
	Left time.Duration
	// Part is the ID of the part that decides; empty where it is the request as a whole.
	Part string
	// trials are the fingerprints whose trials must begin where the verdict is RunAlone.
	trials []uint64
}

const (
	// MaxParts is the number of parts of a prompt that are looked at.
	MaxParts = 64
	// partStrikeLimit is the number of ends from which a part is refused: one more than for a request,
	// since runs of many callers hold it, and it is at more ends by chance.
	partStrikeLimit = strikeLimit + 1
	// popularFor is the time after a proof of soundness in which a part counts as popular.
	popularFor = answerLifetime
	// LearningTime is the time after its start in which an entry cannot know what is popular.
	LearningTime = popularFor
	// sameMoment is the time within which entries may see servers end that ended together.
	sameMoment = 25 * time.Millisecond
	// refusedPartPause is the pause after the last end until a refused part is tried again, and
	// disputedPartPause the first one between two trials of a part for which something speaks. Pauses are
	// multiplied by partPauseGrowth after each trial.
	refusedPartPause  = 8 * time.Second
	disputedPartPause = time.Second
	partPauseGrowth   = 4
	// maxPartPauses keeps the longest pause below the lifetime of strikes.
	maxPartPauses = 3
)

// Decide returns what may be done with a request. Doubts count once they are older than grace.
func (s *Strikes) Decide(request Request, grace time.Duration, now time.Time) Decision {
	d := Decision{Verdict: Run}
	d.add(s.judgement(request.Fingerprint, grace, now))
	for _, part := range request.Parts {
		d.add(s.judgePart(part, request.Parts, grace, now))
	}
	return d
}

// judgement is the verdict on a request as a whole, or on one part.
type judgement struct {
	fingerprint uint64
	part        string
	verdict     Verdict
	left        time.Duration
}

// severity orders the verdicts.
var severity = map[Verdict]int{Run: 0, RunAlone: 1, Wait: 2, Refuse: 3}

// add takes the severer verdict, and of two that refuse the one that lasts longer.
func (d *Decision) add(j judgement) {
	if j.verdict == RunAlone {
		d.trials = append(d.trials, j.fingerprint)
	}
	if c := cmp.Compare(severity[j.verdict], severity[d.Verdict]); c > 0 || c == 0 && j.left > d.Left {
		d.Verdict, d.Left, d.Part = j.verdict, j.left, j.part
	}
}

func (s *Strikes) judgement(fingerprint uint64, grace time.Duration, now time.Time) judgement {
	verdict, left := s.Judge(fingerprint, grace, now)
	return judgement{fingerprint: fingerprint, verdict: verdict, left: left}
}

// judgePart returns what may be done with a request for one part of its prompt.
func (s *Strikes) judgePart(part Part, parts []Part, grace time.Duration, now time.Time) judgement {
	j := judgement{fingerprint: part.Fingerprint, part: part.ID, verdict: Run}
	r := s.records[part.Fingerprint]
	if r == nil || now.Sub(r.last) >= strikeLifetime {
		return j
	}
	refused := s.Refused(part.Fingerprint, now)
	if !refused && !s.doubted(r, grace, now) {
		return j
	}
	disputed := refused && (r.isPopular() || s.disputed(r, parts))
	if j.left = r.nextPartTrial(refused, disputed).Sub(now); j.left <= 0 {
		j.verdict, j.left = RunAlone, 0
		return j
	}
	j.verdict = Wait
	if refused && !disputed {
		j.verdict = Refuse
	}
	return j
}

// nextPartTrial returns when the next request with a part may run.
func (r *strikeRecord) nextPartTrial(refused, disputed bool) time.Time {
	pause := refusedPartPause
	if disputed {
		pause = disputedPartPause
	}
	if r.trial.Trial == 0 {
		if refused && !disputed {
			return r.last.Add(pause)
		}
		return time.Time{}
	}
	if refused && !disputed {
		// The trial that has passed counts as the first pause.
		pause *= partPauseGrowth
	}
	for range min(r.trial.Trial-1, maxPartPauses) {
		pause *= partPauseGrowth
	}
	return r.trial.at.Add(min(pause, strikeLifetime/2))
}

// disputed reports whether another suspect was at exactly the ends of a part, and is not among the parts
// of the request at hand: what happens to this request then tells the two apart.
func (s *Strikes) disputed(r *strikeRecord, parts []Part) bool {
	own := r.struck()
	for fingerprint, other := range s.records {
		if other == r || other.part == "" || len(other.strikes) != len(own) || !other.mayBeCause(r) || !within(own, other.struck()) {
			continue
		}
		if !slices.ContainsFunc(parts, func(part Part) bool { return part.Fingerprint == fingerprint }) {
			return true
		}
	}
	return false
}

// isPopular reports whether the part was proved sound shortly before one of its ends.
func (r *strikeRecord) isPopular() bool {
	if r.part == "" {
		return false
	}
	for _, held := range r.strikes {
		if held.Popular {
			return true
		}
	}
	for _, held := range r.silent {
		if held.Popular {
			return true
		}
	}
	return false
}

// popularAt reports whether a run proved a part sound shortly before an end, as far as this entry knows.
func (s *Strikes) popularAt(r *strikeRecord, fingerprint uint64, at time.Time) bool {
	since := at.Add(-popularFor)
	_, proved := s.AnsweredAfter(fingerprint, since)
	return proved || r.answer.at.After(since)
}

// successive counts the ends that followed one another: each run was sent after the end before. Servers
// that end at the same moment have another cause than the part that all of them ran.
func successive(ends []heldStrike) int {
	return countApart(ends, func(last time.Time, end heldStrike) bool {
		return end.at.Add(-time.Duration(end.RunMillis) * time.Millisecond).After(last)
	})
}

// moments counts the ends that did not come together.
func moments(ends []heldStrike) int {
	return countApart(ends, func(last time.Time, end heldStrike) bool { return end.at.Sub(last) > sameMoment })
}

// countApart counts the ends, in their order, that stand apart from the one that was counted last.
func countApart(ends []heldStrike, apart func(last time.Time, end heldStrike) bool) int {
	slices.SortFunc(ends, func(a, b heldStrike) int { return a.at.Compare(b.at) })
	n := 0
	var last time.Time
	for _, end := range ends {
		if n == 0 || apart(last, end) {
			n, last = n+1, end.at
		}
	}
	return n
}

// staysAtLimit reports whether a part is at the limit without the ends at which another part was that is
// more likely the cause.
func (s *Strikes) staysAtLimit(r *strikeRecord) bool {
	if r.part == "" {
		return true
	}
	own := slices.Collect(maps.Values(r.strikes))
	for _, other := range s.records {
		if other != r && other.outweighs(r) {
			own = slices.DeleteFunc(own, func(end heldStrike) bool {
				_, there := other.strikes[end.Server]
				return there
			})
		}
	}
	return r.count(own) >= r.limit()
}

// outweighs reports whether a part at the limit is more likely to have caused ends than another one.
func (r *strikeRecord) outweighs(other *strikeRecord) bool {
	if r.part == "" || !r.atLimit() || r.isPopular() && !other.isPopular() {
		return false
	}
	return len(r.strikes) > len(other.strikes) || other.isPopular() && !r.isPopular()
}

// BeginTrials returns the trials that an entry must begin to run a request, to be told to all entries.
// There are none if the request must not run, or needs none.
func (s *Strikes) BeginTrials(request Request, entry string, grace time.Duration, now time.Time) []Strike {
	d := s.Decide(request, grace, now)
	if d.Verdict != RunAlone {
		return nil
	}
	trials := make([]Strike, 0, len(d.trials))
	for _, fingerprint := range d.trials {
		trials = append(trials, s.nextTrial(fingerprint, entry))
	}
	return trials
}

// Ends returns the number of servers that crashed under a request or part since it was last answered.
func (s *Strikes) Ends(fingerprint uint64) int {
	if r := s.records[fingerprint]; r != nil {
		return len(r.strikes)
	}
	return 0
}
