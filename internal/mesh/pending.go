package mesh

import "time"

// pending is a greeting together with the state that its reply acknowledges.
type pending struct {
	greeting
	// to is the incarnation of the peer.
	to            int64
	change        uint64
	strikeChange  uint64
	versionChange uint64
	rateChange    uint64
	// relist is true when the peer is asked for all processes that it knows.
	relist bool
	// more is true when not all updates fit into the greeting.
	more bool
}

func (p *pending) empty() bool {
	return len(p.Servers)+len(p.Beats)+len(p.Strikes)+len(p.Answers)+len(p.Doubts)+len(p.Versions)+len(p.Rates) == 0
}

// pendingUpdates lists what the peer has not acknowledged: servers with material changes
// in full, and heartbeats of the servers that the peer does not hear of on a shorter
// path. The caller holds mu.
func (q *peer) pendingUpdates(now time.Time) pending {
	m := q.mesh
	p := pending{to: q.process.Started, change: q.acked, relist: now.Sub(q.listReceived) >= relistInterval}
	p.Spoke, p.Cursor = m.spoke, q.cursor
	for _, e := range m.roster.Since(q.acked) {
		if len(p.Servers) == maxGreetingServers {
			p.more = true
			break
		}
		p.change = e.Change
		switch {
		case e.Material > q.acked:
			p.Servers = append(p.Servers, e.Aged(now))
		case m.heardVia[e.ID] == viaDirect || q.spoke:
			p.Beats = append(p.Beats, e.Heartbeat(now))
		}
	}
	if !p.more {
		p.change = m.roster.Change()
	}
	q.addStrikes(&p, now)
	if p.versionChange = m.streams.seen.Change(); p.versionChange != q.ackedVersions {
		p.Versions = m.streams.seen.List(now)
	}
	if p.rateChange = m.rates.Change(); p.rateChange != q.ackedRates {
		p.Rates = m.rates.Since(q.ackedRates, q.spoke, now)
	}
	for _, id := range q.missing {
		if e, ok := m.roster.Get(id); ok {
			p.Servers = append(p.Servers, e.Aged(now))
		}
	}
	return p
}
