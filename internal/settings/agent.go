package settings

import (
	"cmp"
	"net/url"
	"time"
)

// Agent configures the agent role.
type Agent struct {
	// Listen is the address that entries send requests to.
	Listen string `json:"listen"`
	// Server is the backend server's name, Pool the name of its group.
	Server string `json:"server"`
	Pool   string `json:"pool"`
	// Engine is the engine's base URL.
	Engine string `json:"engine"`
	// BaseModel is the model that the engine serves.
	BaseModel string `json:"baseModel"`
	// Slots is the number of adapter slots of the engine.
	Slots int `json:"slots"`
	// Queue is the maximum number of requests that wait for a slot.
	Queue int `json:"queue"`
	// LoadTimeout bounds the duration of one adapter load.
	LoadTimeout Duration `json:"loadTimeout"`
	// AnnounceInterval is the time between announcements.
	AnnounceInterval Duration `json:"announceInterval"`
	// DrainTimeout bounds the duration of a planned stop.
	DrainTimeout Duration `json:"drainTimeout"`
}

const (
	defaultQueue            = 256
	defaultLoadTimeout      = 10 * time.Second
	defaultAnnounceInterval = 500 * time.Millisecond
	// maxAnnounceInterval fits two announcements into the shortest lease, so that
	// a live server stays listed when one message is lost.
	maxAnnounceInterval = time.Second
)

func (a *Agent) setDefaults() {
	a.Queue = cmp.Or(a.Queue, defaultQueue)
	a.LoadTimeout = cmp.Or(a.LoadTimeout, Duration(defaultLoadTimeout))
	a.AnnounceInterval = cmp.Or(a.AnnounceInterval, Duration(defaultAnnounceInterval))
	a.DrainTimeout = cmp.Or(a.DrainTimeout, Duration(defaultDrainTimeout))
}

func (a *Agent) check(p *problems) {
	p.checkAddress("agent.listen", a.Listen)
	p.checkName("agent.server", a.Server)
	p.checkName("agent.pool", a.Pool)
	p.checkName("agent.baseModel", a.BaseModel)
	p.checkPositive("agent.slots", int64(a.Slots))
	p.checkPositive("agent.queue", int64(a.Queue))
	p.checkDuration("agent.loadTimeout", a.LoadTimeout, time.Millisecond, time.Hour)
	p.checkDuration("agent.announceInterval", a.AnnounceInterval, 10*time.Millisecond, maxAnnounceInterval)
	p.checkDuration("agent.drainTimeout", a.DrainTimeout, time.Second, maxDrainTimeout)
	if u, err := url.Parse(a.Engine); err != nil || u.Scheme != "http" || u.Host == "" {
		p.add("agent.engine", `the engine's base URL is required, such as "http://127.0.0.1:9000"`)
	}
}
