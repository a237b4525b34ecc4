package settings

import "time"

// Entry configures the entry role.
type Entry struct {
	// Listen is the callers' address.
	Listen string `json:"listen"`
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// DialTimeout bounds connecting to the next hop.
	DialTimeout Duration `json:"dialTimeout"`
	// DrainTimeout bounds a planned stop.
	DrainTimeout Duration `json:"drainTimeout"`
}

// Bounds and defaults that roles share.
const (
	defaultMaxBodyBytes = 4 << 20
	maxMaxBodyBytes     = 1 << 30
	defaultDialTimeout  = time.Second
	defaultDrainTimeout = 2 * time.Minute
	maxDrainTimeout     = time.Hour
)

func (e *Entry) setDefaults() {
	setDefault(&e.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&e.DialTimeout, Duration(defaultDialTimeout))
	setDefault(&e.DrainTimeout, Duration(defaultDrainTimeout))
}

func (e *Entry) check(p *problems) {
	p.checkAddress("entry.listen", e.Listen)
	p.checkPositive("entry.maxBodyBytes", e.MaxBodyBytes)
	if e.MaxBodyBytes > maxMaxBodyBytes {
		p.add("entry.maxBodyBytes", "must be at most 1073741824 (1 GiB)")
	}
	p.checkDuration("entry.dialTimeout", e.DialTimeout, time.Millisecond, time.Minute)
	p.checkDuration("entry.drainTimeout", e.DrainTimeout, time.Second, maxDrainTimeout)
}
