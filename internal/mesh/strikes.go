package mesh

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/suspicion"
)

// maxGreetingStrikes bounds the strikes that one greeting carries.
const maxGreetingStrikes = 256

// Strike records that a server crashed while running a request, and notifies all entries.
func (m *Mesh) Strike(strike suspicion.Strike) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeStrikes(nil, false, []suspicion.Strike{strike}, time.Now())
}

// Answered records that a run of a request got a whole answer, and notifies all entries if the
// request had strikes.
func (m *Mesh) Answered(fingerprint uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.strikes.Suspected(fingerprint) {
		m.mergeStrikes(nil, false, []suspicion.Strike{{Fingerprint: fingerprint, Answered: true}}, time.Now())
	}
}

// mergeStrikes records strikes and answers, and wakes the peers to which new ones must be forwarded. The
// caller holds mu.
func (m *Mesh) mergeStrikes(from *peer, fromHub bool, strikes []suspicion.Strike, now time.Time) {
	for _, strike := range strikes {
		strike.FromHub = fromHub
		refusedBefore := m.strikes.Refused(strike.Fingerprint, now)
		if !m.strikes.Add(strike, now) {
			continue
		}
		if strike.Answered {
			m.log.Info("request was answered: earlier ends of servers do not count against it", zap.Uint64("fingerprint", strike.Fingerprint),
				zap.Bool("heard", from != nil), zap.Bool("refusedBefore", refusedBefore))
		}
		if !refusedBefore && m.strikes.Refused(strike.Fingerprint, now) {
			m.log.Warn("request refused from now on: backend servers ended while running it", zap.Uint64("fingerprint", strike.Fingerprint),
				zap.Bool("heard", from != nil), zap.Any("strikes", m.strikes.Of(strike.Fingerprint)))
		}
		for _, q := range m.relayTargets(from, fromHub, now) {
			q.wake()
		}
	}
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
	p.Strikes, p.Answers = splitStrikes(strikes)
}

// allStrikes returns the strikes and answers that this process holds, as many as a greeting carries;
// the peer's own greetings bring the rest. The caller holds mu.
func (m *Mesh) allStrikes(now time.Time) (strikes, answers []suspicion.Strike) {
	all, _ := m.strikes.Since(0, maxGreetingStrikes, now)
	return splitStrikes(all)
}

func splitStrikes(all []suspicion.Strike) (strikes, answers []suspicion.Strike) {
	for _, strike := range all {
		if strike.Answered {
			answers = append(answers, strike)
			continue
		}
		strikes = append(strikes, strike)
	}
	return strikes, answers
}
