package mesh

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/roster"
)

// diskOnlyTimeout is how long a server that is known only from the disk stays listed: a few
// heartbeats.
const diskOnlyTimeout = 4 * time.Second

// newServersFile returns the copy of the known servers on the disk.
func newServersFile(m *Mesh) *diskCopy[[]roster.Server] {
	return newDiskCopy(m, "servers.json", m.roster.Material, m.serversToPersist)
}

// loadServers restores the servers that this process knew before it restarted. Without
// them it would refuse every request until the servers have announced themselves again.
// Stale entries are corrected soon: a heartbeat carries newer information, a server that
// ended does not answer, and another server at its address responds that it is not the
// addressed one. Nothing corrects a server that has left and still answers, so its
// departure is on the disk before it is acknowledged.
func (m *Mesh) loadServers(now time.Time) {
	servers, ok := m.serversFile.read()
	if !ok {
		return
	}
	heardAt := now.Add(diskOnlyTimeout - silentRetention)
	left := 0
	for _, s := range servers {
		if departed(&s) {
			left++
		}
		m.roster.Apply(s, heardAt)
		m.streams.heardVersion(&s, now)
		m.heardVia[s.ID] = viaDirect
		m.diskOnly[s.ID] = true
	}
	m.log.Info("servers recalled from the disk", zap.Int("servers", len(servers)), zap.Int("left", left))
}

// departed reports whether a server takes no more work.
func departed(s *roster.Server) bool { return s.Leaving || s.Gone }

// serversToPersist lists all servers that were heard of, including gone ones: a late
// announcement must not bring them back. A departure that is known only from the disk is
// kept through a second restart too. Adapters are left out, since the agents of the
// servers report them. The caller holds mu.
func (m *Mesh) serversToPersist() []roster.Server {
	var servers []roster.Server
	for _, e := range m.roster.Since(0) {
		if !m.diskOnly[e.ID] || departed(&e.Server) {
			e.Server.Adapters = nil
			servers = append(servers, e.Server)
		}
	}
	return servers
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
