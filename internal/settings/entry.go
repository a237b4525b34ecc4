package settings

import (
	"cmp"
	"time"
)

// Entry configures the entry role.
type Entry struct {
	// Listen is the listen address for callers.
	Listen string `json:"listen"`
	// MaxBodyBytes is the largest accepted request body, in bytes.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// DialTimeout bounds connecting to the next hop.
	DialTimeout Duration `json:"dialTimeout"`
	// BodyTimeout bounds how long a caller may take to send its body.
	BodyTimeout Duration `json:"bodyTimeout"`
	// WriteTimeout bounds how long a caller may take to accept one write of its
	// answer.
	WriteTimeout Duration `json:"writeTimeout"`
	// FirstByteTimeout bounds the wait for an answer's first byte.
	FirstByteTimeout Duration `json:"firstByteTimeout"`
	// StallTimeout bounds how long a server may send nothing within an answer.
	StallTimeout Duration `json:"stallTimeout"`
	// DrainTimeout bounds the duration of a planned stop.
	DrainTimeout Duration `json:"drainTimeout"`
	// FreshnessLease is the maximum age of the proof that the entry has seen all
	// changes of contracts. With an older proof the entry admits no requests. A
	// change is therefore in force everywhere at most one lease after it was
	// accepted.
	FreshnessLease Duration `json:"freshnessLease"`
}

// Bounds and defaults, some of them shared by several roles.
const (
	defaultMaxBodyBytes = 4 << 20
	maxMaxBodyBytes     = 1 << 30
	defaultDialTimeout  = time.Second
	defaultDrainTimeout = 2 * time.Minute
	maxDrainTimeout     = time.Hour

	defaultCallerTimeout    = 30 * time.Second
	defaultFirstByteTimeout = 2 * time.Minute
	defaultStallTimeout     = 30 * time.Second
	// minRelayTimeout excludes timeouts so short that they would cut off healthy
	// calls.
	minRelayTimeout = 100 * time.Millisecond
	maxRelayTimeout = time.Hour

	defaultFreshnessLease = 3 * time.Second
	// minFreshnessLease leaves time for one poll and one round of queries to all
	// control instances.
	minFreshnessLease = 2500 * time.Millisecond
	maxFreshnessLease = time.Hour
)

func (e *Entry) setDefaults() {
	e.MaxBodyBytes = cmp.Or(e.MaxBodyBytes, defaultMaxBodyBytes)
	e.DialTimeout = cmp.Or(e.DialTimeout, Duration(defaultDialTimeout))
	e.BodyTimeout = cmp.Or(e.BodyTimeout, Duration(defaultCallerTimeout))
	e.WriteTimeout = cmp.Or(e.WriteTimeout, Duration(defaultCallerTimeout))
	e.FirstByteTimeout = cmp.Or(e.FirstByteTimeout, Duration(defaultFirstByteTimeout))
	e.StallTimeout = cmp.Or(e.StallTimeout, Duration(defaultStallTimeout))
	e.DrainTimeout = cmp.Or(e.DrainTimeout, Duration(defaultDrainTimeout))
	e.FreshnessLease = cmp.Or(e.FreshnessLease, Duration(defaultFreshnessLease))
}

func (e *Entry) check(p *problems) {
	p.checkAddress("entry.listen", e.Listen)
	p.checkPositive("entry.maxBodyBytes", e.MaxBodyBytes)
	if e.MaxBodyBytes > maxMaxBodyBytes {
		p.add("entry.maxBodyBytes", "must be at most 1073741824 (1 GiB)")
	}
	p.checkDuration("entry.dialTimeout", e.DialTimeout, time.Millisecond, time.Minute)
	relayTimeouts := []struct {
		name  string
		value Duration
	}{
		{"entry.bodyTimeout", e.BodyTimeout}, {"entry.writeTimeout", e.WriteTimeout},
		{"entry.firstByteTimeout", e.FirstByteTimeout}, {"entry.stallTimeout", e.StallTimeout},
	}
	for _, timeout := range relayTimeouts {
		p.checkDuration(timeout.name, timeout.value, minRelayTimeout, maxRelayTimeout)
	}
	p.checkDuration("entry.freshnessLease", e.FreshnessLease, minFreshnessLease, maxFreshnessLease)
	p.checkDuration("entry.drainTimeout", e.DrainTimeout, time.Second, maxDrainTimeout)
}
