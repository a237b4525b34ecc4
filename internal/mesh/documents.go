package mesh

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// Decode reads a configuration's body.
type Decode func(body []byte) (*route.Document, error)

// InForce is the configuration that a process holds, and acts by once it is
// confirmed. It is immutable.
type InForce struct {
	State document.State
	// Table is nil before the first configuration.
	Table *route.Table
	// Confirmed is true once every change that was acknowledged, or in force
	// anywhere, before this process started or ran on is known to be in the state.
	Confirmed bool
}

// Usable reports whether requests may be admitted, routed and refused by it.
func (f *InForce) Usable() bool { return f.Confirmed && f.Table != nil }

// Documents holds the configuration in force in this process. It never steps
// back: of two states the one with the higher index counts, whichever way it
// came.
type Documents struct {
	decode  Decode
	log     *zap.Logger
	current atomic.Pointer[InForce]

	mu      sync.Mutex
	changed chan struct{}
}

// NewDocuments returns a holder with no configuration.
func NewDocuments(decode Decode, log *zap.Logger) *Documents {
	d := &Documents{decode: decode, log: log, changed: make(chan struct{})}
	d.current.Store(&InForce{})
	return d
}

// Current is what is in force now.
func (d *Documents) Current() *InForce { return d.current.Load() }

// Changed is closed with the next change.
func (d *Documents) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// originLog and originRead name where a state came from; one that was pulled
// bears its source's address.
const (
	originLog  = "own log"
	originDisk = "own disk"
	originRead = "confirmed read at "
	originPull = "pulled from "
)

// Take puts a committed state in force if it is newer. The origin says where it
// came from.
func (d *Documents) Take(state document.State, origin string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.current.Load()
	if state.Index <= held.State.Index {
		return
	}
	next := &InForce{State: state, Table: held.Table, Confirmed: held.Confirmed}
	switch {
	case held.Table != nil && state.Version == held.State.Version:
		next.State.Body = held.State.Body
	case state.Body != nil:
		parsed, err := d.decode(state.Body)
		if err != nil {
			// It was checked before it was accepted: another program version
			// wrote it. What was in force stays.
			d.log.Error("the accepted configuration cannot be read", zap.Uint64("version", state.Version), telemetry.Cause(err))
			return
		}
		next.Table = route.NewTable(parsed)
	}
	d.replace(next)
	d.tell(next, zap.String("origin", origin))
}

// replace makes next the current one and wakes those who wait. The caller holds
// mu.
func (d *Documents) replace(next *InForce) {
	d.current.Store(next)
	close(d.changed)
	d.changed = make(chan struct{})
}

// Confirm notes that what is held includes every change that was acknowledged
// before this process started or ran on.
func (d *Documents) Confirm() { d.setConfirmed(true) }

// Doubt notes that changes may have been acknowledged that are not held.
func (d *Documents) Doubt() { d.setConfirmed(false) }

func (d *Documents) setConfirmed(confirmed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := *d.current.Load()
	if held.Confirmed == confirmed {
		return
	}
	held.Confirmed = confirmed
	d.replace(&held)
	d.tell(&held)
}

// tell logs what is held now.
func (d *Documents) tell(now *InForce, more ...zap.Field) {
	message := "configuration in force"
	switch {
	case now.Confirmed && now.State.Index == 0:
		message = "no configuration was accepted yet"
	case !now.Confirmed:
		message = "configuration held, not confirmed yet"
	}
	fields := []zap.Field{zap.Uint64("version", now.State.Version), zap.Uint64("index", now.State.Index), zap.Int("adapterVersions", len(now.State.Adapters))}
	d.log.Info(message, append(fields, more...)...)
}
