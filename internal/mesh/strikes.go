package mesh

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/suspicion"
)

// maxGreetingStrikes bounds the strikes that one greeting carries.
const maxGreetingStrikes = 256

// Strike records that a server crashed while running a request, and notifies all entries. There is one
// strike for the request, and one for each part of its prompt that counts.
func (m *Mesh) Strike(strikes ...suspicion.Strike) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	learning := now.Sub(time.Unix(0, m.options.Self.Started)) < suspicion.LearningTime
	for i := range strikes {
		strikes[i].Unsure = learning && strikes[i].Part != ""
	}
	m.mergeStrikes(nil, false, strikes, now)
}

// Answered records that a run of a request got a whole answer, and notifies all entries if the
// request had strikes or doubts.
func (m *Mesh) Answered(fingerprint uint64) {
	m.AnsweredBefore(0, suspicion.Strike{Fingerprint: fingerprint})
}

// Proved records that a run of a request showed that the parts of its prompt crash no servers, and
// notifies all entries of those that had strikes or doubts.
func (m *Mesh) Proved(request suspicion.Request) { m.AnsweredBefore(0, PartStrikes(request)...) }

// PartStrikes returns a strike for each part of a request's prompt.
func PartStrikes(request suspicion.Request) []suspicion.Strike {
	strikes := make([]suspicion.Strike, 0, len(request.Parts))
	for _, part := range request.Parts {
		strikes = append(strikes, suspicion.Strike{Fingerprint: part.Fingerprint, Part: part.ID, Request: request.Fingerprint})
	}
	return strikes
}

// AnsweredBefore records answers that came some time ago.
func (m *Mesh) AnsweredBefore(age time.Duration, answers ...suspicion.Strike) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, answer := range answers {
		m.strikes.RecordAnswer(answer.Fingerprint, now.Add(-age))
		if m.strikes.Suspected(answer.Fingerprint) {
			answer.Answered, answer.AgeMillis = true, age.Milliseconds()
			m.mergeStrikes(nil, false, []suspicion.Strike{answer}, now)
		}
	}
}

// mergeStrikes records strikes, answers and doubts, and wakes the peers to which new ones must be
// forwarded. The caller holds mu.
func (m *Mesh) mergeStrikes(from *peer, fromHub bool, strikes []suspicion.Strike, now time.Time) {
	for _, strike := range strikes {
		if refuted, ok := m.refute(strike, now); ok {
			// All must hear it, the process that doubts included.
			m.mergeStrike(nil, false, refuted, now)
			continue
		}
		m.mergeStrike(from, fromHub, strike, now)
	}
}

func (m *Mesh) mergeStrike(from *peer, fromHub bool, strike suspicion.Strike, now time.Time) {
	strike.FromHub = fromHub
	before := standing{ends: m.strikes.Ends(strike.Fingerprint), refused: m.strikes.Refused(strike.Fingerprint, now)}
	if !m.strikes.Add(strike, now) {
		return
	}
	m.logDoubt(from, strike)
	after := standing{ends: m.strikes.Ends(strike.Fingerprint), refused: m.strikes.Refused(strike.Fingerprint, now)}
	if strike.Part != "" {
		m.logPart(from, strike, before, after)
	} else {
		m.logRequest(from, strike, before, after)
	}
	for _, q := range m.relayTargets(from, fromHub, now) {
		q.wake()
	}
}

// standing is what is held against a request, or a part of prompts.
type standing struct {
	ends    int
	refused bool
}

// logRequest logs what changes whether a request may run.
func (m *Mesh) logRequest(from *peer, strike suspicion.Strike, before, after standing) {
	if strike.Answered {
		m.log.Info("request was answered: earlier ends of servers do not count against it", zap.Uint64("fingerprint", strike.Fingerprint),
			zap.Bool("heard", from != nil), zap.Bool("refusedBefore", before.refused))
	}
	if !before.refused && after.refused {
		m.log.Warn("request refused from now on: backend servers ended while running it", zap.Uint64("fingerprint", strike.Fingerprint),
			zap.Bool("heard", from != nil), zap.Any("strikes", m.strikes.Of(strike.Fingerprint)))
	}
}

// minLoggedEnds is the number of ends from which a line tells of a part: at one end, all parts that its
// server had begun on are suspected.
const minLoggedEnds = 2

// logPart logs what changes whether requests with a part in their prompts may run.
func (m *Mesh) logPart(from *peer, strike suspicion.Strike, before, after standing) {
	fields := []zap.Field{zap.String("part", strike.Part), zap.Uint64("request", strike.Request), zap.Bool("heard", from != nil), zap.Int("ends", after.ends)}
	switch {
	case strike.Answered && (before.refused || before.ends >= minLoggedEnds):
		m.log.Info("part of prompts is cleared: a run with it gave output", append(fields, zap.Int("endsBefore", before.ends), zap.Bool("refusedBefore", before.refused))...)
	case !before.refused && after.refused:
		m.log.Warn("part of prompts refused from now on: backend servers ended as they began to answer it", append(fields, zap.Any("strikes", m.strikes.Of(strike.Fingerprint)))...)
	case after.ends > before.ends && after.ends >= minLoggedEnds:
		m.log.Info("part of prompts is suspected: a backend server ended as it began to answer it", append(fields, zap.String("server", strike.Server), zap.Bool("popular", strike.Popular))...)
	}
}

// refute returns what this process knows against a doubt: an answer to the request, or a heartbeat of
// the server. The caller holds mu.
func (m *Mesh) refute(strike suspicion.Strike, now time.Time) (suspicion.Strike, bool) {
	if !strike.Silent {
		return suspicion.Strike{}, false
	}
	sentAt := now.Add(-time.Duration(strike.AgeMillis) * time.Millisecond)
	if at, ok := m.strikes.AnsweredAfter(strike.Fingerprint, sentAt); ok {
		return suspicion.Strike{Fingerprint: strike.Fingerprint, Part: strike.Part, Answered: true, AgeMillis: now.Sub(at).Milliseconds()}, true
	}
	e, ok := m.roster.Get(strike.Server)
	if !ok || e.Gone || m.heardVia[strike.Server] != viaDirect || e.LastHeard.Sub(sentAt) <= suspicion.BeginTime {
		return suspicion.Strike{}, false
	}
	return suspicion.Strike{Server: strike.Server, Heard: true, AgeMillis: now.Sub(e.LastHeard).Milliseconds()}, true
}

// heard ends the doubts about a server of which a heartbeat has just arrived. The caller holds mu.
func (m *Mesh) heard(server string, now time.Time) {
	if m.strikes.Doubted(server, now) {
		m.mergeStrikes(nil, false, []suspicion.Strike{{Server: server, Heard: true}}, now)
	}
}

// logDoubt logs what changes whether a request may run.
func (m *Mesh) logDoubt(from *peer, strike suspicion.Strike) {
	switch {
	case strike.Silent:
		m.log.Info("server fell silent under a request", zap.Uint64("fingerprint", strike.Fingerprint), zap.String("part", strike.Part), zap.String("server", strike.Server),
			zap.Int64("sentMillisAgo", strike.AgeMillis), zap.Bool("heard", from != nil))
	case strike.Heard:
		m.log.Info("silent server was heard", zap.String("server", strike.Server), zap.Bool("heard", from != nil))
	case strike.Trial > 0:
		m.log.Info("request on trial after servers fell silent", zap.Uint64("fingerprint", strike.Fingerprint), zap.String("part", strike.Part), zap.Int("trial", strike.Trial), zap.Bool("heard", from != nil))
	}
}

// Decide returns what may be done with a request (suspicion.Strikes.Decide).
func (m *Mesh) Decide(request suspicion.Request, grace time.Duration) suspicion.Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.strikes.Decide(request, grace, time.Now())
}

// Suspected reports whether a request has strikes or doubts.
func (m *Mesh) Suspected(fingerprint uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.strikes.Suspected(fingerprint)
}

// BeginTrials begins the trials that a request needs to run, if they may begin, and tells all entries. The
// request may be sent if HasTrials is still true once the others may have told theirs.
func (m *Mesh) BeginTrials(request suspicion.Request, grace time.Duration) []suspicion.Strike {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	trials := m.strikes.BeginTrials(request, m.options.Self.Address, grace, now)
	m.mergeStrikes(nil, false, trials, now)
	return trials
}

// HasTrials reports whether this process has all of these trials.
func (m *Mesh) HasTrials(trials []suspicion.Strike) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(trials) > 0 && !slices.ContainsFunc(trials, func(trial suspicion.Strike) bool {
		return !m.strikes.HasTrial(trial.Fingerprint, m.options.Self.Address)
	})
}

// Refused reports whether a request has crashed too many servers to run again.
func (m *Mesh) Refused(fingerprint uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.strikes.Refused(fingerprint, time.Now())
}

// Ended returns how an incarnation of a server is known to have ended; it is empty when it is not
// known to have.
func (m *Mesh) Ended(id string, born int64) suspicion.Evidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.roster.Get(id)
	switch {
	case !ok:
		// It has not announced itself for long: it may be cut off, or stand still.
		return ""
	case e.Born != born:
		return suspicion.Restarted
	case e.Gone:
		return suspicion.Gone
	}
	return ""
}

// addStrikes adds the strikes that the peer has not received. The caller holds mu.
func (q *peer) addStrikes(p *pending, now time.Time) {
	strikes, last := q.mesh.strikes.Since(q.ackedStrikes, maxGreetingStrikes, now)
	p.strikeChange, p.more = last, p.more || len(strikes) == maxGreetingStrikes
	if !q.spoke && q.knowsStrikes {
		strikes = slices.DeleteFunc(strikes, func(strike suspicion.Strike) bool { return strike.FromHub })
	}
	p.Strikes, p.Answers, p.Doubts = splitStrikes(strikes)
}

// allStrikes returns the strikes that this process holds, as many as a greeting carries; its own
// greetings bring the rest. The caller holds mu.
func (m *Mesh) allStrikes(now time.Time) []suspicion.Strike {
	return m.strikes.All(maxGreetingStrikes, now)
}

// splitStrikes splits strikes into the lists of a greeting.
func splitStrikes(all []suspicion.Strike) (strikes, answers, doubts []suspicion.Strike) {
	for _, strike := range all {
		switch {
		case strike.Answered:
			answers = append(answers, strike)
		case strike.Silent || strike.Heard || strike.Trial > 0:
			doubts = append(doubts, strike)
		default:
			strikes = append(strikes, strike)
		}
	}
	return strikes, answers, doubts
}
