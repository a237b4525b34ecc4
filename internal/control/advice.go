package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/placement"
)

// adviceInterval is the time between two observations of the demand.
const adviceInterval = 5 * time.Second

// adviceMonitor observes the demand on backend servers and derives the advice for
// operators from it. Observations are lost when the instance restarts; the advice
// includes the period that it covers.
type adviceMonitor struct {
	servers func() []membership.Announcement

	mu      sync.Mutex
	advisor *placement.Advisor
}

func newAdviceMonitor(servers func() []membership.Announcement) *adviceMonitor {
	return &adviceMonitor{servers: servers, advisor: placement.NewAdvisor()}
}

func (m *adviceMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(adviceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.observe(now)
		}
	}
}

func (m *adviceMonitor) observe(now time.Time) {
	announced := m.servers()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advisor.Observe(announced, now)
}

func (m *adviceMonitor) get(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	m.observe(now)
	m.mu.Lock()
	advice := m.advisor.Advise(now)
	m.mu.Unlock()
	writeJSON(w, http.StatusOK, advice)
}
