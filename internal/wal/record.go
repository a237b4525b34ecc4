package wal

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/rosemarypass/rosemarypass/coord/replog"
)

// recordVersion is the first byte of every payload.
const recordVersion = 1

// record is the payload of one frame of a segment.
type record struct {
	HardState *replog.HardState `json:"hardState,omitempty"`
	// Reset, if above 0, is the index of a snapshot that replaced the log.
	Reset   uint64         `json:"reset,omitempty"`
	Entries []replog.Entry `json:"entries,omitempty"`
}

func encode(value any) ([]byte, error) {
	buffer := bytes.NewBuffer([]byte{recordVersion})
	encoder := msgpack.NewEncoder(buffer)
	encoder.SetCustomStructTag("json")
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return buffer.Bytes(), nil
}

func decode(data []byte, into any) error {
	if len(data) == 0 || data[0] != recordVersion {
		return errors.Errorf("unsupported record version, want %d", recordVersion)
	}
	reader := bytes.NewReader(data[1:])
	decoder := msgpack.NewDecoder(reader)
	decoder.SetCustomStructTag("json")
	decoder.DisallowUnknownFields(true)
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "decode")
	}
	if reader.Len() > 0 {
		return errors.New("trailing bytes after the record")
	}
	return nil
}

// replay is the state that results from applying the records of the segments in order.
type replay struct {
	hardState replog.HardState
	entries   []replog.Entry
}

func (r *replay) apply(payload []byte) error {
	var next record
	if err := decode(payload, &next); err != nil {
		return err
	}
	if next.HardState != nil {
		r.hardState = *next.HardState
	}
	if next.Reset > 0 {
		r.entries = nil
	}
	return r.append(next.Entries)
}

func (r *replay) append(entries []replog.Entry) error {
	for i, e := range entries {
		if e.Index == 0 || i > 0 && e.Index != entries[i-1].Index+1 {
			return errors.Errorf("entry %d is out of order", e.Index)
		}
	}
	if len(entries) == 0 {
		return nil
	}
	if len(r.entries) > 0 {
		start, first := r.entries[0].Index, entries[0].Index
		if first > start+uint64(len(r.entries)) {
			return errors.Errorf("entries are missing before %d", first)
		}
		r.entries = r.entries[:max(first, start)-start]
	}
	r.entries = append(r.entries, entries...)
	return nil
}

// after returns the entries that follow the snapshot s; nil means no snapshot. If
// the log holds an entry of a different term at the snapshot's index, the log is
// older than the snapshot and none of its entries are returned: the process
// crashed after saving the snapshot and before writing the record that resets the
// log.
func (r *replay) after(s *replog.Snapshot) ([]replog.Entry, error) {
	if len(r.entries) == 0 {
		return nil, nil
	}
	first, last := r.entries[0].Index, r.entries[len(r.entries)-1].Index
	base := uint64(0)
	if s != nil {
		base = s.Index
	}
	switch {
	case first > base+1:
		return nil, errors.Errorf("entries %d to %d are missing", base+1, first-1)
	case last <= base:
		return nil, nil
	case first <= base && s != nil && r.entries[base-first].Term != s.Term:
		return nil, nil
	}
	return r.entries[base+1-first:], nil
}
