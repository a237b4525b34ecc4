package state

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/claim"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
)

// Versions of the encodings. Another version is refused: guessing at fields
// would let instances with different programs hold different states.
const (
	commandVersion  = 1
	snapshotVersion = 1
)

// checksumSize is the size of the checksum that ends a snapshot, in bytes.
const checksumSize = 8

// ErrCorrupt means that encoded state cannot be trusted.
var ErrCorrupt = errors.New("corrupt encoding")

// Encode returns the deterministic encoding of the command.
func (c Command) Encode() ([]byte, error) { return encode(commandVersion, c) }

// DecodeCommand reads a command that Encode wrote.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	err := decode(commandVersion, data, &command)
	return command, errors.Wrap(err, "command")
}

// Encode returns the deterministic encoding of the result.
func (r Result) Encode() ([]byte, error) { return encode(commandVersion, r) }

// DecodeResult reads a result that Encode wrote.
func DecodeResult(data []byte) (Result, error) {
	var result Result
	err := decode(commandVersion, data, &result)
	return result, errors.Wrap(err, "result")
}

// snapshot is the whole state with every list in a fixed order.
type snapshot struct {
	Index       uint64              `json:"index"`
	ConfigIndex uint64              `json:"configIndex"`
	Clock       int64               `json:"clock"`
	Contracts   []contract.Contract `json:"contracts"`
	Models      []catalogue.Model   `json:"models"`
	Adapters    []catalogue.Adapter `json:"adapters"`
	Services    []catalogue.Service `json:"services"`
	Servers     []Server            `json:"servers"`
	Fencing     []Fencing           `json:"fencing"`
	Operations  []Operation         `json:"operations"`
	Claims      []claim.Claim       `json:"claims,omitempty"`
	Tombstones  []claim.Tombstone   `json:"tombstones,omitempty"`
	Suspects    []suspicion.Record  `json:"suspects,omitempty"`
	// Crashed are the last counted crashes of backend servers.
	Crashed []suspicion.Incarnation `json:"crashed,omitempty"`
}

// Frozen is the state at one moment. It is safe to use while the machine
// goes on: encoding very many adapters takes longer than an instance may keep
// its callers waiting.
type Frozen struct {
	state snapshot
	// adapters are listed and sorted only when they are needed.
	adapters *catalogue.Table
}

// Freeze copies the state.
func (m *Machine) Freeze() Frozen {
	return Frozen{
		state: snapshot{
			Index:       m.index,
			ConfigIndex: m.configIndex,
			Clock:       m.clock,
			Contracts:   m.Contracts(),
			Models:      m.Models(),
			Services:    m.Services(),
			Servers:     m.Servers(),
			Fencing:     sortedValues(m.servers.fencing, identity),
			Operations:  m.operations.inOrder(),
			Claims:      m.claims.All(),
			Tombstones:  m.claims.Tombstones(),
			Suspects:    m.suspicion.Records(),
			Crashed:     m.suspicion.Crashed(),
		},
		adapters: m.catalogue.adapters.Clone(),
	}
}

// Encode returns the whole state. Two machines that applied the same log
// return the same bytes.
func (m *Machine) Encode() ([]byte, error) { return m.Freeze().Encode() }

// Encode returns the whole state at the moment of the freeze.
func (f Frozen) Encode() ([]byte, error) {
	f.state.Adapters = f.adapters.Sorted()
	data, err := encode(snapshotVersion, f.state)
	if err != nil {
		return nil, err
	}
	return binary.BigEndian.AppendUint64(data, xxhash.Sum64(data)), nil
}

// Decode reads a state that Encode wrote. Damaged bytes give ErrCorrupt.
func Decode(data []byte) (*Machine, error) {
	if len(data) < checksumSize {
		return nil, errors.Wrap(ErrCorrupt, "snapshot is too short")
	}
	body, sum := data[:len(data)-checksumSize], data[len(data)-checksumSize:]
	if binary.BigEndian.Uint64(sum) != xxhash.Sum64(body) {
		return nil, errors.Wrap(ErrCorrupt, "snapshot checksum differs")
	}
	var s snapshot
	if err := decode(snapshotVersion, body, &s); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	return s.machine(), nil
}

func (s snapshot) machine() *Machine {
	m := NewMachine()
	m.index, m.configIndex, m.clock = s.Index, s.ConfigIndex, s.Clock
	m.contracts.restore(s.Contracts)
	for _, model := range s.Models {
		m.catalogue.models[model.Name] = model
	}
	for _, adapter := range s.Adapters {
		m.catalogue.adapters.Put(adapter)
	}
	for _, service := range s.Services {
		m.catalogue.services[service.Name] = service
	}
	for _, server := range s.Servers {
		m.servers.wanted[server.Name] = server
	}
	for _, fencing := range s.Fencing {
		m.servers.fencing[fencing.Server] = fencing
	}
	for _, operation := range s.Operations {
		m.operations.add(operation)
	}
	m.claims.Restore(s.Claims, s.Tombstones)
	m.suspicion.Restore(s.Suspects, s.Crashed)
	return m
}

func encode(version byte, value any) ([]byte, error) {
	buffer := bytes.NewBuffer([]byte{version})
	encoder := msgpack.NewEncoder(buffer)
	encoder.SetCustomStructTag("json")
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return buffer.Bytes(), nil
}

func decode(version byte, data []byte, into any) error {
	if len(data) == 0 || data[0] != version {
		return errors.Wrapf(ErrCorrupt, "the encoding is not version %d", version)
	}
	reader := bytes.NewReader(data[1:])
	decoder := msgpack.NewDecoder(reader)
	decoder.SetCustomStructTag("json")
	decoder.DisallowUnknownFields(true)
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(ErrCorrupt, err.Error())
	}
	if reader.Len() != 0 {
		return errors.Wrap(ErrCorrupt, "bytes follow the end")
	}
	return nil
}
