package mesh

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/serverrate"
)

// RateNamed records that an answer of a server named a rate, in requests a second.
func (m *Mesh) RateNamed(life serverrate.Life, rate float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	told, before := m.rates.Change(), m.rateOf(life)
	m.rateChanged(m.rates.AnswerWith(life, rate, time.Now()), life, before, false)
	if m.rates.Change() != told {
		m.wakeAll()
	}
}

// RateNotNamed records that an answer of a server named no rate. The request had been sent at the given time.
func (m *Mesh) RateNotNamed(life serverrate.Life, sentAt time.Time) {
	if !m.ratesInForce.Load().Recorded {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	told, before := m.rates.Change(), m.rateOf(life)
	m.rateChanged(m.rates.AnswerWithout(life, sentAt, time.Now()), life, before, false)
	if m.rates.Change() != told {
		m.wakeAll()
	}
}

// mergeRates records what a peer tells of servers' rates, and wakes the peers to which it must be forwarded. The
// caller holds mu.
func (m *Mesh) mergeRates(from *peer, fromHub bool, namings []serverrate.Naming, now time.Time) {
	told := m.rates.Change()
	for _, n := range namings {
		before := m.rateOf(n.Life)
		m.rateChanged(m.rates.Apply(n, fromHub, now), n.Life, before, true)
	}
	if m.rates.Change() == told {
		return
	}
	for _, q := range m.relayTargets(from, fromHub, now) {
		q.wake()
	}
}

// ServerRates are the rates that servers name, in requests a second, by incarnation. Version is that of the last
// change.
type ServerRates struct {
	Version uint64
	// Recorded is set where some server names a rate, or did a short time ago.
	Recorded bool
	Rates    map[serverrate.Life]float64
}

// ServerRates returns the rates that servers name now. They must not be changed.
func (m *Mesh) ServerRates() *ServerRates { return m.ratesInForce.Load() }

func (m *Mesh) publishRates() {
	m.ratesInForce.Store(&ServerRates{Version: m.rates.Version(), Recorded: m.rates.Len() > 0, Rates: m.rates.InForce()})
}

// rateOf returns the rate that a server names, 0 for none. The caller holds mu.
func (m *Mesh) rateOf(life serverrate.Life) float64 {
	rate, _ := m.rates.Rate(life)
	return rate
}

// rateChanged publishes and logs what has changed of a server's rate. The caller holds mu.
func (m *Mesh) rateChanged(outcome serverrate.Outcome, life serverrate.Life, before float64, heard bool) {
	if outcome == serverrate.Unchanged {
		return
	}
	m.publishRates()
	rate := m.rateOf(life)
	msg := "backend server names another rate"
	switch outcome {
	case serverrate.Named:
		msg = "backend server names a rate"
	case serverrate.Lifted:
		msg = "backend server names no rate any more"
	}
	m.log.Info(msg, zap.String("server", life.ID), zap.Int64("born", life.Born), zap.Float64("rate", rate), zap.Float64("before", before), zap.Bool("heard", heard))
}

// forgetRates removes the rates of incarnations that are not known any more. The caller holds mu.
func (m *Mesh) forgetRates() {
	m.rates.Forget(func(life serverrate.Life) bool {
		e, ok := m.roster.Get(life.ID)
		return ok && e.Born == life.Born && !e.Gone
	})
	if published := m.ratesInForce.Load(); m.rates.Version() != published.Version || m.rates.Len() > 0 != published.Recorded {
		m.publishRates()
	}
}
