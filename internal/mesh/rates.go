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
	before, _ := m.rates.Rate(life)
	m.logRate(m.rates.AnswerWith(life, rate, time.Now()), life, before, false)
}

// RateNotNamed records that an answer of a server named no rate. The request had been sent at the given time.
func (m *Mesh) RateNotNamed(life serverrate.Life, sentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, _ := m.rates.Rate(life)
	m.logRate(m.rates.AnswerWithout(life, sentAt, time.Now()), life, before, false)
}

// ServerRate returns the rate that a server names, in requests a second.
func (m *Mesh) ServerRate(life serverrate.Life) (rate float64, named bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rates.Rate(life)
}

// logRate logs what has changed of a server's rate. The caller holds mu.
func (m *Mesh) logRate(outcome serverrate.Outcome, life serverrate.Life, before float64, heard bool) {
	if outcome == serverrate.Unchanged {
		return
	}
	rate, _ := m.rates.Rate(life)
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
}
