package state

import (
	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// Wanted is the state that operators request for a backend server.
type Wanted string

const (
	// WantedServing means that the server accepts new work. It is the default for
	// a server without a record.
	WantedServing Wanted = "serving"
	// WantedDraining means that the server accepts no new work and finishes the
	// requests in flight.
	WantedDraining Wanted = "draining"
	// WantedStopped means that the server is drained and may be switched off.
	WantedStopped Wanted = "stopped"
)

// Server is the wanted state of one backend server.
type Server struct {
	Name   string `json:"name"`
	Wanted Wanted `json:"wanted"`
	// Role is the engine's role, such as prefill or decode. If empty, the engine's
	// own role applies.
	Role string `json:"role,omitempty"`
	// Revision is the log index of the change that wrote this state.
	Revision uint64 `json:"revision"`
}

// Validate returns an error for the first rule that the wanted state violates.
func (s Server) Validate() error {
	if err := catalogue.CheckName(s.Name); err != nil {
		return errors.Wrap(err, "server")
	}
	if s.Role != "" {
		if err := catalogue.CheckName(s.Role); err != nil {
			return errors.Wrap(err, "role")
		}
	}
	switch s.Wanted {
	case WantedServing, WantedDraining, WantedStopped:
		return nil
	default:
		return errors.Errorf("server %s: wanted state %q is none of serving, draining, stopped", s.Name, s.Wanted)
	}
}

// Fencing is the last fencing number issued for orders to a server's engine.
type Fencing struct {
	Server string `json:"server"`
	// Number starts at 1 and increases by one with each Fence.
	Number uint64 `json:"number"`
	// Holder identifies the process that requested the number.
	Holder string `json:"holder"`
}

// servers is the aggregate of wanted states and fencing numbers.
type servers struct {
	wanted  map[string]Server
	fencing map[string]Fencing
}

func newServers() servers {
	return servers{wanted: make(map[string]Server), fencing: make(map[string]Fencing)}
}

func (s *servers) put(index uint64, put PutServer) (Result, *Change) {
	current, exists := s.wanted[put.Server.Name]
	next := put.Server
	next.Revision = current.Revision
	if exists && next == current {
		return Result{Code: CodeOK, Index: current.Revision}, nil
	}
	if current.Revision != put.Expected {
		return conflict(index, "the server's wanted state was changed by another writer", &Change{Index: current.Revision, Server: &current}), nil
	}
	if err := next.Validate(); err != nil {
		return invalid(index, err), nil
	}
	next.Revision = index
	s.wanted[next.Name] = next
	return ok(index), &Change{Index: index, Server: &next}
}

// fence issues a number higher than all earlier ones for the server, so that an
// engine that compares numbers refuses orders of the previous holder.
func (s *servers) fence(index uint64, fence Fence) Result {
	for _, name := range []string{fence.Server, fence.Holder} {
		if err := catalogue.CheckName(name); err != nil {
			return invalid(index, err)
		}
	}
	next := Fencing{Server: fence.Server, Number: s.fencing[fence.Server].Number + 1, Holder: fence.Holder}
	s.fencing[fence.Server] = next
	result := ok(index)
	result.Fencing = next.Number
	return result
}

// Server returns the wanted state of a backend server.
func (m *Machine) Server(name string) (Server, bool) {
	server, found := m.servers.wanted[name]
	return server, found
}

// Servers returns all wanted states, sorted by server.
func (m *Machine) Servers() []Server { return sortedValues(m.servers.wanted, identity) }

// Fencing returns the last fencing number issued for a server.
func (m *Machine) Fencing(server string) (Fencing, bool) {
	fencing, found := m.servers.fencing[server]
	return fencing, found
}
