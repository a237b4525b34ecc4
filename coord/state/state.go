// Package state implements the replicated state machine: contracts, the
// catalogue, the wanted state of backend servers, fencing numbers and the results
// of operations. It is deterministic: every control instance that applies the same
// log has the same state, byte for byte.
//
// Commands are the only source of time. The machine's clock is the highest
// proposer's time among the applied commands, so that expiry is the same on every
// instance and after every restart.
package state

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/claim"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
)

// Machine is the state after a prefix of the log. It is not safe for concurrent
// use.
type Machine struct {
	index       uint64
	configIndex uint64
	clock       int64

	contracts  contracts
	catalogue  catalogueTable
	servers    servers
	operations operations
	claims     *claim.Table
	suspicion  *suspicion.Table
}

// NewMachine returns a machine in the state before the first command.
func NewMachine() *Machine {
	return &Machine{
		contracts:  newContracts(),
		catalogue:  newCatalogue(),
		servers:    newServers(),
		operations: newOperations(),
		claims:     claim.NewTable(claim.DefaultOptions),
		suspicion:  suspicion.NewTable(suspicion.DefaultLimits),
	}
}

// Index returns the log index of the last applied command.
func (m *Machine) Index() uint64 { return m.index }

// ConfigIndex returns the log index of the last command that changed an object
// that daemons subscribe to. Other commands leave it unchanged, so that they wake
// no subscriber.
func (m *Machine) ConfigIndex() uint64 { return m.configIndex }

// Clock returns the highest proposer's time of the applied commands; it never goes
// backwards.
func (m *Machine) Clock() time.Time { return time.UnixMilli(m.clock).UTC() }

// Apply executes the command at the given index, which must be above Index. It
// returns the result for the operator and the change for the daemons, which is
// nil if nothing changed for them.
func (m *Machine) Apply(index uint64, command Command) (Result, *Change) {
	if index <= m.index {
		panic("state: log index is not above the last applied index")
	}
	m.index = index
	m.clock = max(m.clock, command.Time)
	m.operations.expire(m.clock)

	first, seen := m.operations.find(command)
	if seen {
		return first, nil
	}
	if refusal := m.operations.refuse(command); refusal != nil {
		refusal.Index = index
		return *refusal, nil
	}
	result, change := m.execute(index, command)
	m.operations.record(command, result, m.clock)
	if change != nil {
		m.configIndex = index
	}
	return result, change
}

func (m *Machine) execute(index uint64, command Command) (Result, *Change) {
	switch {
	case command.PutContract != nil:
		return m.contracts.put(index, *command.PutContract)
	case command.ChangeKeys != nil:
		return m.contracts.changeKeys(index, *command.ChangeKeys)
	case command.PutModel != nil:
		return m.catalogue.putModel(index, *command.PutModel)
	case command.PutAdapter != nil:
		return m.catalogue.putAdapter(index, *command.PutAdapter)
	case command.RetireAdapter != nil:
		return m.catalogue.retireAdapter(index, *command.RetireAdapter)
	case command.PutService != nil:
		return m.catalogue.putService(index, *command.PutService)
	case command.PutServer != nil:
		return m.servers.put(index, *command.PutServer)
	case command.Suspicion != nil:
		return m.suspect(index, *command.Suspicion)
	case command.Claim != nil:
		reply := m.claims.Apply(*command.Claim, m.Clock())
		return Result{Code: CodeOK, Index: index, Claim: &reply}, nil
	case command.Fence != nil:
		return m.servers.fence(index, *command.Fence), nil
	default:
		return invalid(index, errors.New("empty command")), nil
	}
}

// Suspects returns the suspicion records that are currently in effect, sorted by
// fingerprint.
func (m *Machine) Suspects() []suspicion.Record {
	return slices.DeleteFunc(m.suspicion.Records(), func(r suspicion.Record) bool { return !r.Restricted(m.Clock()) })
}

// suspect applies a command about crashing requests. Daemons receive only the
// records that changed.
func (m *Machine) suspect(index uint64, command suspicion.Command) (Result, *Change) {
	verdict, changed := m.suspicion.Apply(index, command, m.Clock())
	result := Result{Code: CodeOK, Index: index, Suspicion: verdict}
	if len(changed) == 0 {
		return result, nil
	}
	return result, &Change{Index: index, Suspects: changed}
}
