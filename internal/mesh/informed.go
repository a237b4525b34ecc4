package mesh

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// informTimeout bounds the time for which a process that has started waits to be told of the
// strikes.
const informTimeout = 2 * time.Second

// Informed reports whether this process may decide by the strikes that it holds: another entry has
// told it those from before its start, or there is none that could. Until then it would send on a
// request that all others refuse.
func (m *Mesh) Informed() bool { return m.informed.Load() }

// isUninformed reports whether the next greetings ask for what other entries know from before the
// start of this process.
func (m *Mesh) isUninformed() bool {
	if !m.Informed() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.streams.isComplete(time.Now())
}

// informedAtStart reports whether nobody can tell a process more than it knows.
func (o *Options) informedAtStart() bool {
	return o.Bootstrap || !o.Self.Entry || !slices.ContainsFunc(o.Seeds, func(seed string) bool { return seed != o.Self.Address })
}

// takeStrikes merges the strikes of a peer's reply. The caller holds mu.
func (q *peer) takeStrikes(reply *greetingReply, now time.Time) {
	if q.mesh.Informed() {
		return
	}
	q.asked = true
	q.mesh.mergeStrikes(q, true, reply.Strikes, now)
	if reply.Informed {
		q.mesh.setInformed("told by another entry")
		return
	}
	q.mesh.checkInformed()
}

// checkInformed looks whether all peers have been asked. The caller holds mu.
func (m *Mesh) checkInformed() {
	for _, q := range m.peers {
		if !q.asked {
			return
		}
	}
	m.setInformed("no other entry can tell")
}

// setInformed ends the wait. The caller holds mu.
func (m *Mesh) setInformed(reason string) {
	if m.informed.Swap(true) {
		return
	}
	m.relink = true
	strikesKnown.Reach()
	m.log.Info("strikes from before the start are known", zap.String("reason", reason), zap.Uint64("strikes", m.strikes.Change()))
}
