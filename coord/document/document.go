// Package document implements the replicated state of a deployment whose
// configuration is one versioned document: the current document, which is the one
// with the highest version, and the newest reported version of each adapter.
//
// Machine is deterministic: the same commands produce the same state on every
// instance of the log.
package document

import (
	"encoding/json"
	"maps"

	"github.com/pkg/errors"
)

// Command is a change. Exactly one field is set.
type Command struct {
	Put            *Put            `json:"put,omitempty"`
	AdapterVersion *AdapterVersion `json:"name,omitempty"`
}

// Put proposes a complete configuration document.
type Put struct {
	Version uint64 `json:"version"`
	// Body is the document as sent by the operator; it is validated before it is
	// proposed.
	Body json.RawMessage `json:"body"`
}

// AdapterVersion reports a version of an adapter.
type AdapterVersion struct {
	Adapter string `json:"adapter"`
	Version int64  `json:"version"`
}

// State is the current configuration and adapter versions.
type State struct {
	// Index is the log index of the last command that changed the state.
	Index uint64 `json:"index"`
	// Version and Body are those of the current document, 0 and nil before the
	// first one.
	Version uint64          `json:"version"`
	Body    json.RawMessage `json:"body,omitempty"`
	// Adapters maps each adapter to its newest reported version.
	Adapters map[string]int64 `json:"adapters,omitempty"`
}

// Includes reports whether a command would not change s: it was applied, or is overtaken.
func (s *State) Includes(c Command) bool {
	return !s.acceptsPut(c.Put) && !s.acceptsVersion(c.AdapterVersion)
}

func (s *State) acceptsPut(p *Put) bool {
	return p != nil && (s.Body == nil || p.Version > s.Version)
}

func (s *State) acceptsVersion(v *AdapterVersion) bool {
	return v != nil && v.Version > s.Adapters[v.Adapter]
}

// Clone returns a copy that shares no mutable data with s.
func (s State) Clone() State {
	s.Adapters = maps.Clone(s.Adapters)
	return s
}

// Machine holds the state. The zero value is ready to use.
type Machine struct{ state State }

// State returns a copy of the state.
func (m *Machine) State() State { return m.state.Clone() }

// Apply executes a committed command and reports whether it changed the state. A
// version that is not higher than the current one has no effect, even if its
// content differs.
func (m *Machine) Apply(index uint64, data []byte) (bool, error) {
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return false, errors.Wrap(err, "a committed command cannot be read")
	}
	changed := m.put(command.Put)
	changed = m.setAdapterVersion(command.AdapterVersion) || changed
	if changed {
		m.state.Index = index
	}
	return changed, nil
}

func (m *Machine) put(p *Put) bool {
	if !m.state.acceptsPut(p) {
		return false
	}
	m.state.Version, m.state.Body = p.Version, p.Body
	return true
}

func (m *Machine) setAdapterVersion(v *AdapterVersion) bool {
	if !m.state.acceptsVersion(v) {
		return false
	}
	if m.state.Adapters == nil {
		m.state.Adapters = make(map[string]int64)
	}
	m.state.Adapters[v.Adapter] = v.Version
	return true
}

// Snapshot encodes the state.
func (m *Machine) Snapshot() ([]byte, error) { return json.Marshal(m.state) }

// Restore replaces the state with one encoded by Snapshot.
func (m *Machine) Restore(data []byte) error {
	var state State
	if err := json.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "a snapshot cannot be read")
	}
	m.state = state
	return nil
}
