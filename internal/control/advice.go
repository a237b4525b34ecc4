package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/placement"
)

// adviceInterval is the time between two looks at the demand.
const adviceInterval = 5 * time.Second

// adviceDuty watches the demand on backend servers for the operators' advice.
// It begins anew when the instance restarts, and says for how long it has watched.
type adviceDuty struct {
	servers func() []membership.Announcement

	mu      sync.Mutex
	advisor *placement.Advisor
}

func newAdviceDuty(servers func() []membership.Announcement) *adviceDuty {
	return &adviceDuty{servers: servers, advisor: placement.NewAdvisor()}
}

func (d *adviceDuty) run(ctx context.Context) {
	ticker := time.NewTicker(adviceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.observe(now)
		}
	}
}

func (d *adviceDuty) observe(now time.Time) {
	announced := d.servers()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advisor.Observe(announced, now)
}

func (d *adviceDuty) get(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	d.observe(now)
	d.mu.Lock()
	advice := d.advisor.Advise(now)
	d.mu.Unlock()
	writeJSON(w, http.StatusOK, advice)
}
