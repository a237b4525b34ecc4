package mesh

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

const (
	// serversFile holds the servers that were known, beside the log's files.
	serversFile = "servers.json"
	// keepPause is the least time between two writes of it.
	keepPause = 500 * time.Millisecond
	// recalledAge is how long a server that is known from the disk alone stays
	// listed: a few heartbeats.
	recalledAge = 4 * time.Second
)

// recall takes the servers that this process knew before it restarted. Without
// them each caller would be refused until the servers have announced themselves
// again. What is no longer true shows soon: a heartbeat says more, a server that
// ended answers nobody, and another one at its address answers that it is not
// the one that was meant.
func (m *Mesh) recall(now time.Time) {
	data, err := os.ReadFile(m.serversPath())
	if err != nil {
		return
	}
	var servers []roster.Server
	if err := json.Unmarshal(data, &servers); err != nil {
		// It is not synced: a loss of power may leave a part of it.
		m.log.Info("the servers on the disk cannot be read", telemetry.Cause(err))
		return
	}
	heard := now.Add(recalledAge - silentAge)
	for _, s := range servers {
		m.roster.Take(s, heard)
		m.heardFrom[s.ID] = wayDirect
		m.unheard[s.ID] = true
	}
	m.log.Info("servers recalled from the disk", zap.Int("servers", len(servers)))
}

func (m *Mesh) serversPath() string { return filepath.Join(m.options.Folder, serversFile) }

// keepServers writes down what servers there are whenever that changes. A disk
// that hangs holds up nothing else.
func (m *Mesh) keepServers(ctx context.Context) {
	var kept uint64
	for wait.For(ctx, keepPause) == nil {
		m.mu.Lock()
		change := m.roster.Material()
		var servers []roster.Server
		if change != kept {
			servers = m.heardServers()
		}
		m.mu.Unlock()
		if change == kept {
			continue
		}
		if err := m.writeServers(servers); err != nil {
			m.log.Warn("the servers cannot be written to the disk", telemetry.Cause(err))
			continue
		}
		kept = change
	}
}

// heardServers lists all that was heard of, gone ones too: a late announcement
// must not bring them back. What adapters they hold their agents know. The caller
// holds mu.
func (m *Mesh) heardServers() []roster.Server {
	var servers []roster.Server
	for _, e := range m.roster.Since(0) {
		if !m.unheard[e.ID] {
			e.Server.Adapters = nil
			servers = append(servers, e.Server)
		}
	}
	return servers
}

func (m *Mesh) writeServers(servers []roster.Server) error {
	data, err := json.Marshal(servers)
	if err != nil {
		return err
	}
	path := m.serversPath()
	if err := os.WriteFile(path+".tmp", data, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".tmp", path)
}

// Doubt drops a server that is known from the disk alone, and reports whether it
// did: it did not answer as the one that it was.
func (m *Mesh) Doubt(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.unheard[id] {
		return false
	}
	delete(m.unheard, id)
	m.roster.Forget(id)
	return true
}
