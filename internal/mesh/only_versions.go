package mesh

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/streamversion"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// A stream that began while one version of its service served is told to nobody. If all entries lose power just
// when a second version appears, nothing but the disks' lists of versions tells at which version it began: where
// most disks held one version when their processes started, it was that one. This holds only as long as no record
// that was made since, with several versions there, can be lost.

// onlyVersionsSettle is the time after a second version was heard in which other processes may still start or
// get lost without ending what this process says of its disk: after a loss of power they do not all start at once.
const onlyVersionsSettle = 3 * time.Second

// maxPersistedVersions bounds the versions that are known to be on most disks; one that is not known is told again.
const maxPersistedVersions = 256

var versionsNotPersistedCount = telemetry.Counter("mesh_versions_not_persisted")

// recallOnlyVersions records the versions that the disk held at the start of this process, where it held one
// version of a service.
func (s *streams) recallOnlyVersions(recalled []streamversion.SeenVersion) {
	count := make(map[string]int)
	for _, v := range recalled {
		count[v.Service]++
	}
	only := make(map[string]string)
	for _, v := range recalled {
		if count[v.Service] == 1 && v.Version != "" {
			only[v.Service] = v.Version
		}
	}
	s.only.Store(&only)
}

// onlyVersions returns what this process says of its disk, for others.
func (s *streams) onlyVersions() map[string]string {
	if only := s.only.Load(); only != nil {
		return *only
	}
	return nil
}

// expireOnlyVersions ends what this process says of its disk once no caller can take up a stream from before its
// start. The caller holds mesh.mu.
func (s *streams) expireOnlyVersions(now time.Time) {
	if now.Sub(s.started) >= streamversion.Retention {
		s.only.Store(nil)
	}
}

// recordDisturbance records that another process has started or is lost: records of streams that began beside
// several versions may be lost with it. The caller holds mesh.mu.
func (s *streams) recordDisturbance(now time.Time) {
	if len(s.onlyVersions()) == 0 {
		return
	}
	for _, since := range s.severalSince {
		if now.Sub(since) >= s.onlySettle {
			s.only.Store(nil)
			return
		}
	}
}

// onlyVersion returns the version of a service that was the only one when most processes with a disk started, as
// their disks tell; empty if there is none. The caller holds mu.
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
	ctx, cancel := context.WithTimeout(ctx, persistTimeoutOfCall)
	defer cancel()
	return struct{}{}, m.streams.file.persist(ctx, v)
}
