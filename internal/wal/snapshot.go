package wal

import (
	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
)

// readSnapshot reads the newest snapshot. It returns an error if that snapshot is
// damaged, rather than falling back to an older one, because the entries before
// the newest snapshot may already be deleted.
func (l *Log) readSnapshot(names []string) error {
	numbers, err := fileNumbers(names, snapshotSuffix)
	if err != nil || len(numbers) == 0 {
		return err
	}
	newest := numbers[len(numbers)-1]
	path := l.path(fileName(newest, snapshotSuffix))
	data, err := readFile(l.options.FS, path)
	if err != nil {
		return err
	}
	s, err := decodeSnapshot(path, data)
	if err != nil {
		return err
	}
	l.restored.Snapshot, l.snapshotIndex = &s, s.Index
	return nil
}

func decodeSnapshot(name string, data []byte) (replog.Snapshot, error) {
	var s replog.Snapshot
	frames := 0
	size, err := readFrames(name, data, false, func(payload []byte) error {
		frames++
		return decode(payload, &s)
	})
	if err != nil {
		return replog.Snapshot{}, err
	}
	if frames != 1 || s.Index == 0 {
		return replog.Snapshot{}, &CorruptError{File: name, Offset: int64(size), Reason: "file does not hold exactly one snapshot"}
	}
	return s, nil
}

// Compact saves a snapshot and deletes the older snapshot and the segments that
// it makes obsolete.
func (l *Log) Compact(s replog.Snapshot) error {
	if l.failure != nil {
		return ErrFailed
	}
	if err := l.compact(s); err != nil {
		l.failure = err
		return errors.Wrap(err, "compact the log")
	}
	return nil
}

func (l *Log) compact(s replog.Snapshot) error {
	if s.Index <= l.snapshotIndex {
		return nil
	}
	if err := l.saveSnapshot(s); err != nil {
		return err
	}
	for len(l.segments) > 1 && l.segments[0].lastIndex <= s.Index {
		if err := l.options.FS.Remove(l.path(fileName(l.segments[0].number, segmentSuffix))); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	return l.options.FS.SyncDir(l.options.Folder)
}

// saveSnapshot makes a snapshot durable and then deletes the previous one.
func (l *Log) saveSnapshot(s replog.Snapshot) error {
	payload, err := encode(s)
	if err != nil {
		return err
	}
	if len(payload) > maxPayload {
		return errors.New("the snapshot is too large")
	}
	name := fileName(s.Index, snapshotSuffix)
	if err := WriteAtomically(l.options.FS, l.options.Folder, name, appendFrame(nil, payload)); err != nil {
		return err
	}
	previous := l.snapshotIndex
	l.snapshotIndex = s.Index
	if previous == 0 || previous == s.Index {
		return nil
	}
	return l.options.FS.Remove(l.path(fileName(previous, snapshotSuffix)))
}
