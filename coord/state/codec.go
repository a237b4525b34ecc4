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

// Versions of the encodings. Other versions are refused: if unknown fields were
// ignored, instances running different releases could diverge.
const (
	commandVersion  = 1
	snapshotVersion = 1
)

// checksumSize is the size in bytes of the checksum at the end of a snapshot.
const checksumSize = 8

// ErrCorrupt is returned for encoded data that is damaged or of another version.
var ErrCorrupt = errors.New("corrupt encoding")

// Encode returns the deterministic encoding of the command.
func (c Command) Encode() ([]byte, error) { return encode(commandVersion, c) }

// DecodeCommand decodes a command encoded by Command.Encode.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	err := decode(commandVersion, data, &command)
	return command, errors.Wrap(err, "command")
}

// Encode returns the deterministic encoding of the result.
func (r Result) Encode() ([]byte, error) { return encode(commandVersion, r) }

// DecodeResult decodes a result encoded by Result.Encode.
func DecodeResult(data []byte) (Result, error) {
	var result Result
	err := decode(commandVersion, data, &result)
	return result, errors.Wrap(err, "result")
}

// snapshot is the whole state, with every list in a deterministic order.
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
	// Crashed holds the last counted crash of each backend server.
	Crashed []suspicion.Incarnation `json:"crashed,omitempty"`
}

// Frozen is an immutable copy of the state. It remains valid while the machine
// applies further commands: encoding a large number of adapters takes longer than
// an instance may block its callers.
type Frozen struct {
	state snapshot
	// adapters is listed and sorted only when needed.
	adapters *catalogue.Table
}

// Freeze returns a copy of the state.
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

// Encode returns the encoding of the whole state. Two machines that applied the
// same log return the same bytes.
func (m *Machine) Encode() ([]byte, error) { return m.Freeze().Encode() }

// Encode returns the encoding of the whole state at the time of the freeze.
func (f Frozen) Encode() ([]byte, error) {
	f.state.Adapters = f.adapters.Sorted()
	data, err := encode(snapshotVersion, f.state)
	if err != nil {
		return nil, err
	}
	return binary.BigEndian.AppendUint64(data, xxhash.Sum64(data)), nil
}

// Decode decodes a state encoded by Encode. It returns ErrCorrupt for damaged data.
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
