// Package state is the replicated state machine: contracts, the catalogue and
// the results of operations. It is deterministic, so that every control
// instance that applies the same log holds the same state.
package state

import (
	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
)

// Command is one accepted change. Exactly one of the pointers is set.
type Command struct {
	// OperationID makes a resent command return the first result.
	OperationID string `json:"operationId,omitempty"`

	PutContract *PutContract       `json:"putContract,omitempty"`
	PutAdapter  *catalogue.Adapter `json:"putAdapter,omitempty"`
	PutService  *catalogue.Service `json:"putService,omitempty"`
}

// PutContract creates or changes a contract. Expected is the revision that the
// writer read: 0 creates. A retirement is a change that sets Retired.
type PutContract struct {
	Expected uint64            `json:"expected"`
	Contract contract.Contract `json:"contract"`
}

// Code classifies the result of a command.
type Code string

const (
	// CodeOK means that the change is committed.
	CodeOK Code = "ok"
	// CodeConflict means that another writer changed the object first.
	CodeConflict Code = "conflict"
	// CodeInvalid means that the change breaks a rule of its aggregate.
	CodeInvalid Code = "invalid"
)

// Result is the answer to a command, kept for resends.
type Result struct {
	Code Code `json:"code"`
	// Index is the log index of the change; the contract's new revision.
	Index   uint64 `json:"index"`
	Message string `json:"message,omitempty"`
	// Winner is the contract as it stands when Code is CodeConflict.
	Winner *contract.Contract `json:"winner,omitempty"`
}

// Change is one object as it stands after the command at Index.
type Change struct {
	Index    uint64             `json:"index"`
	Contract *contract.Contract `json:"contract,omitempty"`
	Adapter  *catalogue.Adapter `json:"adapter,omitempty"`
	Service  *catalogue.Service `json:"service,omitempty"`
}

// Machine is the state after a prefix of the log. One duty owns it.
type Machine struct {
	index     uint64
	contracts map[string]contract.Contract
	adapters  map[catalogue.Ref]catalogue.Adapter
	services  map[string]catalogue.Service
	results   map[string]Result
}

// NewMachine returns the state before the first command.
func NewMachine() *Machine {
	return &Machine{
		contracts: make(map[string]contract.Contract),
		adapters:  make(map[catalogue.Ref]catalogue.Adapter),
		services:  make(map[string]catalogue.Service),
		results:   make(map[string]Result),
	}
}

// Index is the log index of the last applied command.
func (m *Machine) Index() uint64 { return m.index }

// Apply executes the command at the given index. It returns the result for the
// operator and the change for the daemons, which is nil when nothing changed.
func (m *Machine) Apply(index uint64, command Command) (Result, *Change) {
	m.index = index
	if first, seen := m.results[command.OperationID]; seen && command.OperationID != "" {
		return first, nil
	}
	result, change := m.execute(index, command)
	if command.OperationID != "" {
		m.results[command.OperationID] = result
	}
	return result, change
}

func (m *Machine) execute(index uint64, command Command) (Result, *Change) {
	switch {
	case command.PutContract != nil:
		return m.putContract(index, *command.PutContract)
	case command.PutAdapter != nil:
		return m.putAdapter(index, *command.PutAdapter)
	case command.PutService != nil:
		return m.putService(index, *command.PutService)
	default:
		return Result{Code: CodeInvalid, Index: index, Message: "empty command"}, nil
	}
}

func (m *Machine) putContract(index uint64, put PutContract) (Result, *Change) {
	current, exists := m.contracts[put.Contract.ID]
	if current.Revision != put.Expected {
		result := Result{Code: CodeConflict, Index: index, Message: "the contract was changed by another writer"}
		if exists {
			result.Winner = &current
		}
		return result, nil
	}
	if err := put.Contract.Validate(); err != nil {
		return invalid(index, err), nil
	}
	next := put.Contract
	next.Revision = index
	m.contracts[next.ID] = next
	return Result{Code: CodeOK, Index: index}, &Change{Index: index, Contract: &next}
}

func (m *Machine) putAdapter(index uint64, adapter catalogue.Adapter) (Result, *Change) {
	if err := adapter.Validate(); err != nil {
		return invalid(index, err), nil
	}
	known, exists := m.adapters[adapter.Ref]
	if exists && known != adapter {
		return Result{Code: CodeConflict, Index: index, Message: "adapter versions are immutable"}, nil
	}
	m.adapters[adapter.Ref] = adapter
	return Result{Code: CodeOK, Index: index}, &Change{Index: index, Adapter: &adapter}
}

func (m *Machine) putService(index uint64, service catalogue.Service) (Result, *Change) {
	if err := service.Validate(); err != nil {
		return invalid(index, err), nil
	}
	m.services[service.Name] = service
	return Result{Code: CodeOK, Index: index}, &Change{Index: index, Service: &service}
}

func invalid(index uint64, err error) Result {
	return Result{Code: CodeInvalid, Index: index, Message: err.Error()}
}

// Contract returns a contract by ID.
func (m *Machine) Contract(id string) (contract.Contract, bool) {
	c, ok := m.contracts[id]
	return c, ok
}

// Snapshot returns every object, in no order. It is what a daemon that follows
// the feed for the first time receives.
func (m *Machine) Snapshot() []Change {
	changes := make([]Change, 0, len(m.contracts)+len(m.adapters)+len(m.services))
	for _, c := range m.contracts {
		changes = append(changes, Change{Index: m.index, Contract: &c})
	}
	for _, a := range m.adapters {
		changes = append(changes, Change{Index: m.index, Adapter: &a})
	}
	for _, s := range m.services {
		changes = append(changes, Change{Index: m.index, Service: &s})
	}
	return changes
}
