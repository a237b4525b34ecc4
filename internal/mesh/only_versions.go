package mesh

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/streamversion"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// A stream that began while one version of its service served is told to nobody. If its entry dies before a second
// version is heard of, nobody has a record of it. It began at the first version all the same: streams that began
// beside several versions have records at other processes, unless those are lost too.

// onlyVersion is the version of a service that was the only one within streamversion.Retention before a second one
// was heard of.
type onlyVersion struct {
	version string
	// until is when the second version was heard of.
	until time.Time
}

// maxPersistedVersions bounds the versions that are known to be on most disks; one that is not known is told again.
const maxPersistedVersions = 256

var versionsNotPersistedCount = telemetry.Counter("mesh_versions_not_persisted")

// endOnlyVersion records that a second version of a service is heard of. The caller holds mesh.mu.
func (s *streams) endOnlyVersion(service, version string, now time.Time) {
	if version == "" {
		return
	}
	s.only[service] = onlyVersion{version: version, until: now}
	s.publishOnlyVersions()
}

// publishOnlyVersions makes the only versions readable without mesh.mu. The caller holds it.
func (s *streams) publishOnlyVersions() {
	published := make(map[string]string, len(s.only))
	for service, only := range s.only {
		published[service] = only.version
	}
	s.published.Store(&published)
}

// onlyVersions returns the only versions, by service.
func (s *streams) onlyVersions() map[string]string {
	if published := s.published.Load(); published != nil {
		return *published
	}
	return nil
}

// dropOnlyVersions drops those that match. The caller holds mesh.mu.
func (s *streams) dropOnlyVersions(matches func(onlyVersion) bool) {
	before := len(s.only)
	maps.DeleteFunc(s.only, func(_ string, only onlyVersion) bool { return matches(only) })
	if len(s.only) != before {
		s.publishOnlyVersions()
	}
}

// expireOnlyVersions drops those from before which no caller can take up a stream any more. The caller holds
// mesh.mu.
func (s *streams) expireOnlyVersions(now time.Time) {
	s.dropOnlyVersions(func(only onlyVersion) bool { return now.Sub(only.until) >= streamversion.Retention })
}

// processEnded records that another process, which was heard last at a time, has ended or is lost. If it ran beside
// several versions, records of streams may be lost with it. The caller holds mesh.mu.
func (s *streams) processEnded(lastHeard time.Time) {
	s.dropOnlyVersions(func(only onlyVersion) bool { return lastHeard.After(only.until) })
}

// onlyVersion returns the version of a service that was the only one before a second one was heard of, as most
// processes with a disk say; empty if there is none. The caller holds mu.
//
// A second version begins no stream before most disks hold it. So a process that ran beside it, and has started
// anew, is outvoted: the others have noticed its end, or have it on their disks.
func (m *Mesh) onlyVersion(service string, now time.Time) string {
	disks := 0
	votes := make(map[string]int)
	if m.options.Folder != "" {
		disks++
		votes[m.streams.onlyVersions()[service]]++
	}
	for _, q := range m.peers {
		if q.hasDisk(now) {
			disks++
			votes[q.process.OnlyVersions[service]]++
		}
	}
	for version, n := range votes {
		if version != "" && 2*n > disks {
			return version
		}
	}
	return ""
}

// persistVersion returns once most disks hold the version of a server that appears beside another version, or with
// an error if the server must not be used yet. A server that is known at this version is used already. Where no
// other server of its service is there, it is used all the same.
func (m *Mesh) persistVersion(ctx context.Context, server *roster.Server) error {
	now := time.Now()
	v := streamversion.SeenVersion{Service: server.Service, Version: server.Version}
	m.mu.Lock()
	known, ok := m.roster.Get(server.ID)
	used := ok && known.Born == server.Born && known.Version == server.Version
	heard := m.streams.seen.Of(server.Service, now)
	if used || server.Leaving || len(heard) == 0 || m.streams.persisted[v] && slices.Contains(heard, v.Version) {
		m.mu.Unlock()
		return nil
	}
	m.streams.heardVersion(server, now)
	several := m.streams.seen.Several(server.Service, now)
	mayWait := several && m.servesElsewhere(server)
	m.mu.Unlock()
	if !several {
		return nil
	}
	if err := m.persistOnMostDisks(ctx, methodPersistVersion, v, func(ctx context.Context) error { return m.streams.file.persist(ctx, v) }); err != nil {
		versionsNotPersistedCount.Add(1)
		m.log.Warn("too few disks hold a software version", zap.String("server", server.ID), zap.String("service", v.Service), zap.String("version", v.Version),
			zap.Bool("used", !mayWait), telemetry.Cause(err))
		if mayWait {
			return ErrNotPersisted
		}
		return nil
	}
	m.mu.Lock()
	if len(m.streams.persisted) >= maxPersistedVersions {
		clear(m.streams.persisted)
	}
	m.streams.persisted[v] = true
	m.mu.Unlock()
	return nil
}

// servesElsewhere reports whether another server of the service serves. The caller holds mu.
func (m *Mesh) servesElsewhere(server *roster.Server) bool {
	for _, e := range m.roster.Serving() {
		if e.Service == server.Service && e.ID != server.ID {
			return true
		}
	}
	return false
}

// handlePersistVersion records a version that serves and returns once it is on the local disk.
func (m *Mesh) handlePersistVersion(ctx context.Context, v streamversion.SeenVersion) (struct{}, error) {
	if m.streams.file == nil {
		return struct{}{}, errNoDisk
	}
	m.mu.Lock()
	m.streams.heardVersion(&roster.Server{Service: v.Service, Version: v.Version}, time.Now())
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, diskWriteTimeout)
	defer cancel()
	return struct{}{}, m.streams.file.persist(ctx, v)
}
