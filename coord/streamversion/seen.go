package streamversion

import (
	"cmp"
	"slices"
	"time"
)

// Seen records which versions of each service were heard of within Retention: a stream may have
// begun at a server that is gone, or that has restarted as another version.
type Seen struct {
	services map[string]map[string]time.Time
	// change counts the versions that were new.
	change uint64
}

// SeenVersion is a version that was heard of, for other processes and for the disk.
type SeenVersion struct {
	Service string `json:"service"`
	Version string `json:"version,omitempty"`
	// AgeMillis is the time since a server of it was last heard.
	AgeMillis int64 `json:"age"`
}

// maxVersions bounds the versions of one service; the one heard least recently makes room. As there
// remain several, no stream of unknown version goes on meanwhile.
const maxVersions = 16

// NewSeen returns an empty record.
func NewSeen() *Seen { return &Seen{services: make(map[string]map[string]time.Time)} }

// Heard records that a server of a version was heard. It reports whether the service now has several
// versions and had one before.
func (s *Seen) Heard(service, version string, at time.Time) (several bool) {
	versions := s.services[service]
	if versions == nil {
		s.sweep(at)
		versions = make(map[string]time.Time)
		s.services[service] = versions
	}
	last, known := versions[version]
	if known && !at.After(last) {
		return false
	}
	versions[version] = at
	if known && at.Sub(last) < Retention {
		return false
	}
	s.change++
	s.expire(service, at)
	return len(versions) > 1
}

// sweep removes the services of which nothing was heard for long.
func (s *Seen) sweep(now time.Time) {
	for service := range s.services {
		if len(s.Of(service, now)) == 0 {
			delete(s.services, service)
		}
	}
}

// expire removes the versions of a service that were not heard for long.
func (s *Seen) expire(service string, now time.Time) {
	versions := s.services[service]
	oldest := ""
	for version, at := range versions {
		if now.Sub(at) >= Retention {
			delete(versions, version)
			continue
		}
		if _, ok := versions[oldest]; !ok || at.Before(versions[oldest]) {
			oldest = version
		}
	}
	if len(versions) > maxVersions {
		delete(versions, oldest)
	}
}

// Of lists the versions of a service in order of their names.
func (s *Seen) Of(service string, now time.Time) []string {
	var list []string
	for version, at := range s.services[service] {
		if now.Sub(at) < Retention {
			list = append(list, version)
		}
	}
	slices.Sort(list)
	return list
}

// Several reports whether servers of more than one version of a service were heard.
func (s *Seen) Several(service string, now time.Time) bool { return len(s.Of(service, now)) > 1 }

// List lists all versions.
func (s *Seen) List(now time.Time) []SeenVersion {
	var list []SeenVersion
	for service, versions := range s.services {
		for version, at := range versions {
			if age := now.Sub(at); age < Retention {
				list = append(list, SeenVersion{Service: service, Version: version, AgeMillis: max(age, 0).Milliseconds()})
			}
		}
	}
	slices.SortFunc(list, func(a, b SeenVersion) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return list
}

// Change counts the versions that were new.
func (s *Seen) Change() uint64 { return s.change }
