package mesh

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

var departuresNotPersistedCount = telemetry.Counter("mesh_departures_not_persisted")

// departure tells a process with a disk that a server leaves or is gone.
type departure struct {
	// From is the address of the process that tells it, Spoke as in a greeting.
	From   string        `json:"from"`
	Spoke  bool          `json:"spoke,omitempty"`
	Server roster.Server `json:"server"`
}

// Leave records that a server has left, also if this process does not know it: its first
// announcement may still be on its way. It returns as confirmDeparture does.
func (m *Mesh) Leave(ctx context.Context, id string, born int64) error {
	if !m.Connected() {
		return ErrPartitioned
	}
	now := time.Now()
	m.mu.Lock()
	before, known := m.roster.Get(id)
	changed := m.roster.Leave(id, born, now)
	if changed {
		m.heardVia[id] = viaDirect
		delete(m.diskOnly, id)
		m.wakeAll()
		m.notifyProgress()
	}
	m.mu.Unlock()
	m.log.Info("backend server left", zap.String("server", id), zap.Int64("born", born), zap.Bool("known", known),
		zap.Int64("knownBorn", before.Born), zap.Bool("repeated", !changed))
	return m.confirmDeparture(ctx, id)
}

// confirmDeparture returns nil once the departure of a server may be acknowledged: the reachable entries
// know of it, or of a later incarnation, and most disks hold that. It does the same for a departure that is
// told again, since the earlier call may have failed.
func (m *Mesh) confirmDeparture(ctx context.Context, id string) error {
	m.mu.Lock()
	e, ok := m.roster.Get(id)
	m.mu.Unlock()
	if !ok {
		return nil
	}
	persisted := make(chan error, 1)
	go func() { persisted <- m.persistDeparture(ctx, &e) }()
	if err := m.waitAcked(ctx, e.Material); err != nil {
		return err
	}
	return <-persisted
}

// persistDeparture returns nil once most of the disks hold a departure. After a restart of all entries,
// more than half of them meet at least one that recalls it.
func (m *Mesh) persistDeparture(ctx context.Context, e *roster.Entry) error {
	m.mu.Lock()
	told := departure{From: m.options.Self.Address, Spoke: m.spoke, Server: e.Aged(time.Now())}
	m.mu.Unlock()
	err := m.persistOnMostDisks(ctx, methodPersistDeparture, told, func(ctx context.Context) error { return m.serversFile.persist(ctx, e.Material) })
	if err != nil {
		departuresNotPersistedCount.Add(1)
		m.log.Warn("too few disks hold a departure", zap.String("server", e.ID), telemetry.Cause(err))
		return ErrNotPersisted
	}
	return nil
}

// handlePersistDeparture records a departure and returns once it is on the local disk.
func (m *Mesh) handlePersistDeparture(ctx context.Context, in departure) (struct{}, error) {
	if m.serversFile == nil {
		return struct{}{}, errNoDisk
	}
	m.mu.Lock()
	m.mergeServers(m.peers[in.From], greeting{Spoke: in.Spoke, Servers: []roster.Server{in.Server}}, time.Now())
	e, _ := m.roster.Get(in.Server.ID)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, diskWriteTimeout)
	defer cancel()
	return struct{}{}, m.serversFile.persist(ctx, e.Material)
}

// waitAcked waits until all reachable entries have acknowledged a change. A server that
// still receives work after it was allowed to leave would end in the middle of a request.
func (m *Mesh) waitAcked(ctx context.Context, change uint64) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		m.mu.Lock()
		unacked := m.countUnacked(change, time.Now())
		progress := m.progress
		m.mu.Unlock()
		if unacked == 0 {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			if m.Connected() {
				return nil
			}
			return ErrPartitioned
		}
	}
}

// countUnacked counts the reachable entries that have not acknowledged a change. The
// caller holds mu.
func (m *Mesh) countUnacked(change uint64, now time.Time) int {
	unacked := 0
	for _, q := range m.peers {
		if q.active(now) && q.process.Started != 0 && now.Sub(q.lastHeard) < reachableTimeout && q.acked < change {
			unacked++
		}
	}
	return unacked
}
