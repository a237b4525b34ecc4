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
	// serversFile holds the known servers, beside the files of the log.
	serversFile = "servers.json"
	// serversWriteInterval is the minimum interval between two writes of serversFile.
	serversWriteInterval = 500 * time.Millisecond
	// diskOnlyTimeout is how long a server that is known only from the disk stays listed:
	// a few heartbeats.
	diskOnlyTimeout = 4 * time.Second
)

// loadServers restores the servers that this process knew before it restarted. Without
// them it would refuse every request until the servers have announced themselves again.
// Stale entries are corrected soon: a heartbeat carries newer information, a server that
// ended does not answer, and another server at its address responds that it is not the
// addressed one.
func (m *Mesh) loadServers(now time.Time) {
	data, err := os.ReadFile(m.serversPath())
	if err != nil {
		return
	}
	var servers []roster.Server
	if err := json.Unmarshal(data, &servers); err != nil {
		// The file is not synced: a power loss may leave it truncated.
		m.log.Info("the servers on the disk cannot be read", telemetry.Cause(err))
		return
	}
	heardAt := now.Add(diskOnlyTimeout - silentRetention)
	for _, s := range servers {
		m.roster.Apply(s, heardAt)
		m.heardVia[s.ID] = viaDirect
		m.diskOnly[s.ID] = true
	}
	m.log.Info("servers recalled from the disk", zap.Int("servers", len(servers)))
}

func (m *Mesh) serversPath() string { return filepath.Join(m.options.Folder, serversFile) }

// persistServers writes the known servers to the disk whenever they change. A hung disk
// delays nothing else.
func (m *Mesh) persistServers(ctx context.Context) {
	var written uint64
	for wait.For(ctx, serversWriteInterval) == nil {
		m.mu.Lock()
		change := m.roster.Material()
		var servers []roster.Server
		if change != written {
			servers = m.serversToPersist()
		}
		m.mu.Unlock()
		if change == written {
			continue
		}
		if err := m.writeServers(servers); err != nil {
			m.log.Warn("failed to write the servers to disk", telemetry.Cause(err))
			continue
		}
		written = change
	}
}

// serversToPersist lists all servers that were heard of, including gone ones: a late
// announcement must not bring them back. Adapters are left out, since the agents of the
// servers report them. The caller holds mu.
func (m *Mesh) serversToPersist() []roster.Server {
	var servers []roster.Server
	for _, e := range m.roster.Since(0) {
		if !m.diskOnly[e.ID] {
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

// DropDiskOnly drops a server that is known only from the disk and did not answer as the
// expected one, and reports whether it dropped it.
func (m *Mesh) DropDiskOnly(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.diskOnly[id] {
		return false
	}
	delete(m.diskOnly, id)
	m.roster.Forget(id)
	return true
}
