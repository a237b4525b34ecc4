package mesh

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// Decode decodes the body of a configuration.
type Decode func(body []byte) (*route.Document, error)

// ActiveConfig is the configuration that a process holds, and uses once it is confirmed.
// It is immutable.
type ActiveConfig struct {
	State document.State
	// Table is nil before the first configuration.
	Table *route.Table
	// Confirmed is true once the state is known to include every change that was
	// acknowledged, or in force anywhere, before this process started or resumed from a
	// pause.
	Confirmed bool
	// versionTimes holds when this process learned of adapter versions, as far as it knows
	// that they were announced only then.
	versionTimes map[string]time.Time
}

// Usable reports whether requests may be admitted, routed and refused by the
// configuration.
func (c *ActiveConfig) Usable() bool { return c.Confirmed && c.Table != nil }

const (
	// maxVersionAge is the age of a version that was announced at an unknown time, and the
	// age from which ages do not matter.
	maxVersionAge = time.Hour
	// maxVersionTimes bounds the versions whose ages are known.
	maxVersionTimes = 1 << 14
)

// VersionAge returns how long ago the newest version of an adapter was announced. A version
// that was there when this process started, or that it learned of before it caught up after
// a pause, may have been announced long before, and counts as old.
func (c *ActiveConfig) VersionAge(adapter string, now time.Time) time.Duration {
	learned, known := c.versionTimes[adapter]
	if !known {
		return maxVersionAge
	}
	return min(max(now.Sub(learned), 0), maxVersionAge)
}

// versionTimesWith returns the version times behind a change to a state.
func (c *ActiveConfig) versionTimesWith(next *document.State, now time.Time) map[string]time.Time {
	times := make(map[string]time.Time)
	for adapter, learned := range c.versionTimes {
		if now.Sub(learned) < maxVersionAge && next.Adapters[adapter] == c.State.Adapters[adapter] {
			times[adapter] = learned
		}
	}
	if !c.Confirmed {
		return times
	}
	for adapter, version := range next.Adapters {
		if version != c.State.Adapters[adapter] && len(times) < maxVersionTimes {
			times[adapter] = now
		}
	}
	return times
}

// Documents holds the configuration in force in this process. It never goes back: of two
// states the one with the higher index wins, whatever its origin.
type Documents struct {
	decode  Decode
	log     *zap.Logger
	current atomic.Pointer[ActiveConfig]

	mu      sync.Mutex
	changed chan struct{}
}

// NewDocuments returns a holder without a configuration.
func NewDocuments(decode Decode, log *zap.Logger) *Documents {
	d := &Documents{decode: decode, log: log, changed: make(chan struct{})}
	d.current.Store(&ActiveConfig{})
	return d
}

// Current returns the configuration that is held now.
func (d *Documents) Current() *ActiveConfig { return d.current.Load() }

// Changed returns a channel that is closed at the next change.
func (d *Documents) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Origins of a state, as named in log messages; originRead and originPull are followed by
// the address of the source.
const (
	originLog  = "own log"
	originDisk = "own disk"
	originRead = "confirmed read at "
	originPull = "pulled from "
)

// Apply puts a committed state in force if it is newer. origin names where it came from.
func (d *Documents) Apply(state document.State, origin string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.current.Load()
	if state.Index <= held.State.Index {
		return
	}
	next := &ActiveConfig{State: state, Table: held.Table, Confirmed: held.Confirmed, versionTimes: held.versionTimesWith(&state, time.Now())}
	switch {
	case held.Table != nil && state.Version == held.State.Version:
		next.State.Body = held.State.Body
	case state.Body != nil:
		parsed, err := d.decode(state.Body)
		if err != nil {
			// The configuration was validated before it was accepted, so another program
			// version wrote it. The previous one stays in force.
			d.log.Error("failed to decode the accepted configuration", zap.Uint64("version", state.Version), telemetry.Cause(err))
			return
		}
		next.Table = route.NewTable(parsed)
	}
	d.replace(next)
	d.logState(next, zap.String("origin", origin))
}

// replace makes next the current configuration and wakes the waiting goroutines. The
// caller holds mu.
func (d *Documents) replace(next *ActiveConfig) {
	d.current.Store(next)
	if next.Table != nil {
		configHeld.Reach()
	}
	if next.Usable() {
		configConfirmed.Reach()
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// Confirm marks the held state as including every change that was acknowledged before
// this process started or resumed from a pause.
func (d *Documents) Confirm() { d.setConfirmed(true) }

// Unconfirm marks the held state as possibly missing acknowledged changes.
func (d *Documents) Unconfirm() { d.setConfirmed(false) }

func (d *Documents) setConfirmed(confirmed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := *d.current.Load()
	if held.Confirmed == confirmed {
		return
	}
	held.Confirmed = confirmed
	d.replace(&held)
	d.logState(&held)
}

// logState logs the held configuration.
func (d *Documents) logState(config *ActiveConfig, extra ...zap.Field) {
	message := "configuration in force"
	switch {
	case config.Confirmed && config.State.Index == 0:
		message = "no configuration was accepted yet"
	case !config.Confirmed:
		message = "configuration held, not confirmed yet"
	}
	fields := []zap.Field{zap.Uint64("version", config.State.Version), zap.Uint64("index", config.State.Index), zap.Int("adapterVersions", len(config.State.Adapters))}
	d.log.Info(message, append(fields, extra...)...)
}
