// Package wal stores a control instance's replica of the replicated log on
// disk: checksummed records in segment files, snapshot files, and the identity
// of the member. All files are in one data folder that only one process may use
// at a time.
//
// Append returns only after a sync. After the first failed write or sync the
// log refuses all further writes: which data reached the disk is then unknown,
// and a later successful sync would not prove that the earlier data is durable.
package wal

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
)

// ErrFailed is returned for every write after a failed write or sync.
var ErrFailed = errors.New("the log's disk failed")

// Options configure a log.
type Options struct {
	// Folder is the data folder.
	Folder string
	// FS is the file system; nil selects the operating system's.
	FS FS
	// SegmentBytes is the size, in bytes, at which a new segment file is
	// started; 0 selects the default of 16 MiB.
	SegmentBytes int
}

const (
	defaultSegmentBytes = 16 << 20
	lockName            = "LOCK"
	segmentSuffix       = ".log"
	snapshotSuffix      = ".snapshot"
	temporarySuffix     = ".tmp"
)

// Batch is a set of changes to the log. All batches of one Append call are synced together.
type Batch struct {
	HardState *replog.HardState
	// Snapshot replaces all earlier entries of the log.
	Snapshot *replog.Snapshot
	Entries  []replog.Entry
}

// segment is one file of the log.
type segment struct {
	number uint64
	size   int
	// lastIndex is the highest entry index ever written to the file, including
	// entries that were overwritten later.
	lastIndex uint64
}

// Log is an open data folder. It is not safe for concurrent use; one goroutine owns it.
type Log struct {
	options       Options
	lock          io.Closer
	identity      Identity
	restored      replog.Restored
	segments      []segment
	file          File
	hardState     replog.HardState
	snapshotIndex uint64
	failure       error
}

// Open locks the data folder, initializes it for the named instance if it is
// empty, and reads its content.
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
	return l.openLastSegment()
}

func (l *Log) path(name string) string { return l.options.Folder + "/" + name }

// Identity returns the member's identity.
func (l *Log) Identity() Identity { return l.identity }

// Restored returns the state that the folder held when it was opened.
func (l *Log) Restored() replog.Restored { return l.restored }

// fileNumbers returns the numbers in the file names that end with suffix, in the
// order of names. It returns an error if a name with the suffix has no number.
func fileNumbers(names []string, suffix string) ([]uint64, error) {
	var numbers []uint64
	for _, name := range names {
		text, ok := strings.CutSuffix(name, suffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, errors.Errorf("%s is not a valid log file name", name)
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

func fileName(number uint64, suffix string) string { return fmt.Sprintf("%020d%s", number, suffix) }

func (l *Log) readSegments(names []string) error {
	numbers, err := fileNumbers(names, segmentSuffix)
	if err != nil {
		return err
	}
	var replayed replay
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return errors.Errorf("%s is missing", fileName(numbers[i-1]+1, segmentSuffix))
		}
		if err := l.readSegment(number, i == len(numbers)-1, &replayed); err != nil {
			return err
		}
	}
	l.hardState = replayed.hardState
	l.restored.HardState = replayed.hardState
	l.restored.Entries, err = replayed.after(l.restored.Snapshot)
	return err
}

func (l *Log) readSegment(number uint64, last bool, replayed *replay) error {
	path := l.path(fileName(number, segmentSuffix))
	data, err := readFile(l.options.FS, path)
	if err != nil {
		return err
	}
	s := segment{number: number}
	s.size, err = readFrames(path, data, last, func(payload []byte) error {
		err := replayed.apply(payload)
		if n := len(replayed.entries); n > 0 {
			s.lastIndex = max(s.lastIndex, replayed.entries[n-1].Index)
		}
		return err
	})
	if err != nil {
		return err
	}
	l.segments = append(l.segments, s)
	return nil
}

// openLastSegment opens the last segment for appending and truncates its torn
// tail.
func (l *Log) openLastSegment() error {
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
		// The process crashed before the file's first record was written. Without
		// the hard state in this file, deleting the earlier files would lose a vote.
		return l.initSegment()
	}
	return file.Sync()
}

// addSegment starts a new segment file. The file begins with a copy of the hard
// state, so that the files before it can be deleted.
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
	return l.initSegment()
}

func (l *Log) initSegment() error {
	frame, err := l.encodeFrame(record{HardState: &l.hardState})
	if err != nil {
		return err
	}
	if err := l.write(frame); err != nil {
		return err
	}
	return l.options.FS.SyncDir(l.options.Folder)
}

func (l *Log) encodeFrame(r record) ([]byte, error) {
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

// Append writes the batches in order and syncs them together. Once it has
// returned an error, all later writes return ErrFailed.
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

// prepare saves the snapshot of a batch and returns the frame that holds the
// rest of the batch, or nil if nothing else is left.
func (l *Log) prepare(b Batch) ([]byte, error) {
	r := record{HardState: b.HardState, Entries: b.Entries}
	if b.HardState != nil {
		l.hardState = *b.HardState
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
	return l.encodeFrame(r)
}

// Bytes returns the total size of the segments in bytes.
func (l *Log) Bytes() int {
	total := 0
	for _, s := range l.segments {
		total += s.size
	}
	return total
}

// Close closes the log and releases the lock on the folder.
func (l *Log) Close() error {
	if l.file != nil {
		_ = l.file.Close()
	}
	if l.lock != nil {
		return l.lock.Close()
	}
	return nil
}
