// Package wal keeps a control instance's part of the replicated log on disk:
// checksummed records in segment files, snapshot files, and the identity of
// the member, all under one data folder that one process uses at a time.
//
// Append returns only after a sync. After the first failed write or sync the
// log refuses everything: what reached the disk is then not known, and a
// second sync that succeeds would prove nothing.
package wal

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
)

// ErrFailed means that an earlier write or sync failed.
var ErrFailed = errors.New("the log's disk failed")

// Options configure a log.
type Options struct {
	// Folder is the data folder.
	Folder string
	// FS is the file system, the operating system's by default.
	FS FS
	// SegmentBytes is the size at which a new segment file begins.
	SegmentBytes int
}

const (
	defaultSegmentBytes = 16 << 20
	lockName            = "LOCK"
	segmentSuffix       = ".log"
	snapshotSuffix      = ".snapshot"
	temporarySuffix     = ".tmp"
)

// Batch is what must be on disk together with the other batches of an Append.
type Batch struct {
	HardState *replog.HardState
	// Snapshot replaces the log before it.
	Snapshot *replog.Snapshot
	Entries  []replog.Entry
}

// segment is one file of the log.
type segment struct {
	number uint64
	size   int
	// lastIndex is the highest entry index that the file has held.
	lastIndex uint64
}

// Log is an open data folder. One duty owns it.
type Log struct {
	options  Options
	lock     io.Closer
	identity Identity
	restored replog.Restored
	segments []segment
	file     File
	hard     replog.HardState
	snapshot uint64
	failure  error
}

// Open locks a folder, creates it for the named instance when it is empty, and
// reads it.
func Open(options Options, instance string) (*Log, error) {
	if options.FS == nil {
		options.FS = OS{}
	}
	if options.SegmentBytes == 0 {
		options.SegmentBytes = defaultSegmentBytes
	}
	l := &Log{options: options}
	if err := l.open(instance); err != nil {
		_ = l.Close()
		return nil, errors.Wrap(err, "data folder "+options.Folder)
	}
	return l, nil
}

func (l *Log) open(instance string) error {
	if err := l.options.FS.MkdirAll(l.options.Folder); err != nil {
		return err
	}
	lock, err := l.options.FS.Lock(l.path(lockName))
	if err != nil {
		return err
	}
	l.lock = lock
	names, err := l.options.FS.ReadDir(l.options.Folder)
	if err != nil {
		return err
	}
	if l.identity, err = openIdentity(l.options.FS, l.options.Folder, names, instance); err != nil {
		return err
	}
	if err := l.readSnapshot(names); err != nil {
		return err
	}
	if err := l.readSegments(names); err != nil {
		return err
	}
	return l.openLast()
}

func (l *Log) path(name string) string { return l.options.Folder + "/" + name }

// Identity is the member's identity.
func (l *Log) Identity() Identity { return l.identity }

// Restored is what the folder held when it was opened.
func (l *Log) Restored() replog.Restored { return l.restored }

// numbered returns the numbers in the names with a suffix, in order.
func numbered(names []string, suffix string) ([]uint64, error) {
	var numbers []uint64
	for _, name := range names {
		text, ok := strings.CutSuffix(name, suffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, errors.Errorf("%s is not a file of the log", name)
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

func fileName(number uint64, suffix string) string { return fmt.Sprintf("%020d%s", number, suffix) }

func (l *Log) readSegments(names []string) error {
	numbers, err := numbered(names, segmentSuffix)
	if err != nil {
		return err
	}
	var all replay
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return errors.Errorf("%s is missing", fileName(numbers[i-1]+1, segmentSuffix))
		}
		if err := l.readSegment(number, i == len(numbers)-1, &all); err != nil {
			return err
		}
	}
	l.hard = all.hard
	l.restored.HardState = all.hard
	l.restored.Entries, err = all.after(l.restored.Snapshot)
	return err
}

func (l *Log) readSegment(number uint64, last bool, all *replay) error {
	path := l.path(fileName(number, segmentSuffix))
	data, err := readFile(l.options.FS, path)
	if err != nil {
		return err
	}
	s := segment{number: number}
	s.size, err = readFrames(path, data, last, func(payload []byte) error {
		err := all.apply(payload)
		if n := len(all.entries); n > 0 {
			s.lastIndex = max(s.lastIndex, all.entries[n-1].Index)
		}
		return err
	})
	if err != nil {
		return err
	}
	l.segments = append(l.segments, s)
	return nil
}

// openLast opens the last segment for appending, less its torn end.
func (l *Log) openLast() error {
	if len(l.segments) == 0 {
		return l.addSegment(1)
	}
	last := l.segments[len(l.segments)-1]
	file, err := l.options.FS.Append(l.path(fileName(last.number, segmentSuffix)))
	if err != nil {
		return err
	}
	l.file = file
	if err := file.Truncate(int64(last.size)); err != nil {
		return err
	}
	if last.size == 0 {
		// The crash came while the file was begun. Without its hard state,
		// deleting the files before it would forget a vote.
		return l.beginSegment()
	}
	return file.Sync()
}

// addSegment begins a file. It repeats the hard state, so that the files before
// it can be deleted.
func (l *Log) addSegment(number uint64) error {
	path := l.path(fileName(number, segmentSuffix))
	file, err := l.options.FS.Create(path)
	if err != nil {
		return err
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file = file
	l.segments = append(l.segments, segment{number: number})
	return l.beginSegment()
}

func (l *Log) beginSegment() error {
	frame, err := l.frame(record{HardState: &l.hard})
	if err != nil {
		return err
	}
	if err := l.write(frame); err != nil {
		return err
	}
	return l.options.FS.SyncDir(l.options.Folder)
}

func (l *Log) frame(r record) ([]byte, error) {
	payload, err := encode(r)
	if err != nil {
		return nil, err
	}
	return appendFrame(nil, payload), nil
}

// write appends bytes to the last segment and syncs it.
func (l *Log) write(data []byte) error {
	if _, err := l.file.Write(data); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.segments[len(l.segments)-1].size += len(data)
	return nil
}

// Append writes batches in order and syncs them together. Once it has returned
// an error, the log is closed to everything.
func (l *Log) Append(batches ...Batch) error {
	if l.failure != nil {
		return ErrFailed
	}
	if err := l.append(batches); err != nil {
		l.failure = err
		return errors.Wrap(err, "append to the log")
	}
	return nil
}

func (l *Log) append(batches []Batch) error {
	var data []byte
	for _, b := range batches {
		frame, err := l.prepare(b)
		if err != nil {
			return err
		}
		data = append(data, frame...)
	}
	if len(data) == 0 {
		return nil
	}
	if err := l.write(data); err != nil {
		return err
	}
	last := l.segments[len(l.segments)-1]
	if last.size < l.options.SegmentBytes {
		return nil
	}
	return l.addSegment(last.number + 1)
}

// prepare saves a batch's snapshot and returns the frame of the rest.
func (l *Log) prepare(b Batch) ([]byte, error) {
	r := record{HardState: b.HardState, Entries: b.Entries}
	if b.HardState != nil {
		l.hard = *b.HardState
	}
	if b.Snapshot != nil {
		if err := l.saveSnapshot(*b.Snapshot); err != nil {
			return nil, err
		}
		r.Reset = b.Snapshot.Index
	}
	if n := len(b.Entries); n > 0 {
		last := &l.segments[len(l.segments)-1]
		last.lastIndex = max(last.lastIndex, b.Entries[n-1].Index)
	}
	if r.HardState == nil && r.Reset == 0 && len(r.Entries) == 0 {
		return nil, nil
	}
	return l.frame(r)
}

// Bytes is the size of the segments.
func (l *Log) Bytes() int {
	total := 0
	for _, s := range l.segments {
		total += s.size
	}
	return total
}

// Close ends the use of the folder.
func (l *Log) Close() error {
	if l.file != nil {
		_ = l.file.Close()
	}
	if l.lock != nil {
		return l.lock.Close()
	}
	return nil
}
