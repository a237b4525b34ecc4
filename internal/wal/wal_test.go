package wal

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/replog"
)

const (
	folder       = "data"
	segmentBytes = 400
)

// expected is the state that a folder must hold after a number of batches.
type expected struct {
	hardState     replog.HardState
	snapshotIndex uint64
	entries       []replog.Entry
}

func (e expected) with(b Batch) expected {
	if b.HardState != nil {
		e.hardState = *b.HardState
	}
	if b.Snapshot != nil {
		e.snapshotIndex, e.entries = b.Snapshot.Index, nil
	}
	if len(b.Entries) > 0 {
		first := b.Entries[0].Index
		e.entries = slices.DeleteFunc(slices.Clone(e.entries), func(old replog.Entry) bool { return old.Index >= first })
		e.entries = append(e.entries, b.Entries...)
	}
	return e
}

func (e expected) compacted(index uint64) expected {
	e.snapshotIndex = index
	e.entries = slices.DeleteFunc(slices.Clone(e.entries), func(old replog.Entry) bool { return old.Index <= index })
	return e
}

func restoredState(r replog.Restored) expected {
	e := expected{hardState: r.HardState, entries: slices.Clone(r.Entries)}
	if r.Snapshot != nil {
		e.snapshotIndex = r.Snapshot.Index
	}
	return e
}

func equal(a, b expected) bool {
	return a.hardState == b.hardState && a.snapshotIndex == b.snapshotIndex && len(a.entries) == len(b.entries) &&
		(len(a.entries) == 0 || reflect.DeepEqual(a.entries, b.entries))
}

func entries(first, last, term uint64) []replog.Entry {
	var all []replog.Entry
	for index := first; index <= last; index++ {
		all = append(all, replog.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "command %d of term %d", index, term)})
	}
	return all
}

func snapshotAt(index, term uint64) replog.Snapshot {
	config := replog.Config{Cluster: "c", Voters: []replog.Member{{ID: "m", Address: "a"}}}
	return replog.Snapshot{Index: index, Term: term, Config: config, Data: []byte("state")}
}

// script returns the operations of a typical member: votes, appends, an
// overwritten tail, compactions and a snapshot from a leader.
func script() []func(l *Log, e expected) (expected, error) {
	appendBatch := func(b Batch) func(*Log, expected) (expected, error) {
		return func(l *Log, e expected) (expected, error) { return e.with(b), l.Append(b) }
	}
	compact := func(index, term uint64) func(*Log, expected) (expected, error) {
		return func(l *Log, e expected) (expected, error) {
			return e.compacted(index), l.Compact(snapshotAt(index, term))
		}
	}
	leader := snapshotAt(40, 4)
	return []func(*Log, expected) (expected, error){
		appendBatch(Batch{HardState: &replog.HardState{Term: 1, Vote: "m"}}),
		appendBatch(Batch{Entries: entries(1, 6, 1)}),
		appendBatch(Batch{HardState: &replog.HardState{Term: 2}, Entries: entries(4, 9, 2)}),
		compact(5, 2),
		appendBatch(Batch{Entries: entries(10, 18, 2)}),
		appendBatch(Batch{HardState: &replog.HardState{Term: 3, Vote: "n"}}),
		compact(14, 2),
		appendBatch(Batch{Entries: entries(19, 30, 3)}),
		appendBatch(Batch{HardState: &replog.HardState{Term: 4}, Snapshot: &leader, Entries: entries(41, 43, 4)}),
		appendBatch(Batch{Entries: entries(44, 50, 4)}),
		compact(47, 4),
	}
}

func openMem(fs *memFS) (*Log, error) {
	return Open(Options{Folder: folder, FS: fs, SegmentBytes: segmentBytes}, "control-a")
}

// runScript runs the steps until one fails and returns the states that are valid
// after a crash at that point: the acknowledged state, the state after the failed
// step, and a leader's snapshot without the rest of its batch.
func runScript(l *Log) ([]expected, error) {
	var done expected
	for _, step := range script() {
		next, err := step(l, done)
		if err != nil {
			snapshotOnly := expected{hardState: done.hardState, snapshotIndex: next.snapshotIndex}
			return []expected{done, next, snapshotOnly}, err
		}
		done = next
	}
	return []expected{done}, nil
}

// A power failure can happen at any disk operation. After the restart the log
// must hold everything that was acknowledged and accept further writes.
func TestCrashAtEveryOperationKeepsAcknowledgedData(t *testing.T) {
	reference := newMemFS()
	if l, err := openMem(reference); err != nil {
		t.Fatal(err)
	} else if _, err := runScript(l); err != nil {
		t.Fatal(err)
	}
	for failAt := 1; failAt <= reference.operations; failAt++ {
		for _, extra := range []int{0, 7, 1 << 20} {
			fs := newMemFS()
			fs.failAt, fs.failure = failAt, errNoSpace
			allowed := []expected{{}}
			if l, err := openMem(fs); err == nil {
				allowed, _ = runScript(l)
			}
			crashed := fs.crash(extra)
			l, err := openMem(crashed)
			if err != nil {
				t.Fatalf("crash at operation %d with %d unsynced bytes: %v", failAt, extra, err)
			}
			got := restoredState(l.Restored())
			if !slices.ContainsFunc(allowed, func(e expected) bool { return equal(got, e) }) {
				t.Fatalf("crash at operation %d with %d unsynced bytes: got %+v, want one of %+v", failAt, extra, got, allowed)
			}
			checkUsable(t, crashed, l, got)
		}
	}
}

// checkUsable appends an entry to a recovered log, compacts it and checks the
// result after another crash.
func checkUsable(t *testing.T, fs *memFS, l *Log, have expected) {
	t.Helper()
	next := have.snapshotIndex + uint64(len(have.entries)) + 1
	b := Batch{Entries: entries(next, next, 9)}
	if err := l.Append(b); err != nil {
		t.Fatal(err)
	}
	if err := l.Compact(snapshotAt(next, 9)); err != nil {
		t.Fatal(err)
	}
	want := have.with(b).compacted(next)
	reopened, err := openMem(fs.crash(0))
	if err != nil {
		t.Fatal(err)
	}
	if got := restoredState(reopened.Restored()); !equal(got, want) {
		t.Fatalf("after append and compaction: got %+v, want %+v", got, want)
	}
}

// After a write or sync has failed, for example because the disk is full, the log
// must not acknowledge anything, even if a later sync would succeed.
func TestLogRefusesWritesAfterDiskFailure(t *testing.T) {
	fs := newMemFS()
	l, err := openMem(fs)
	if err != nil {
		t.Fatal(err)
	}
	fs.failAt, fs.failure = fs.operations+1, errNoSpace
	if err := l.Append(Batch{Entries: entries(1, 1, 1)}); !errors.Is(err, errNoSpace) {
		t.Errorf("append on a full disk: got %v, want ENOSPC", err)
	}
	fs.failAt = 0
	if err := l.Append(Batch{Entries: entries(1, 1, 1)}); !errors.Is(err, ErrFailed) {
		t.Errorf("append after a full disk: got %v, want ErrFailed", err)
	}
	if err := l.Compact(snapshotAt(1, 1)); !errors.Is(err, ErrFailed) {
		t.Errorf("compaction after a full disk: got %v, want ErrFailed", err)
	}
}

// logWithTail returns a folder with one segment, the segment's path and the
// offset of its last frame.
func logWithTail(t testing.TB) (fs *memFS, path string, lastFrame int) {
	t.Helper()
	fs = newMemFS()
	l, err := Open(Options{Folder: folder, FS: fs}, "control-a")
	if err != nil {
		t.Fatal(err)
	}
	for index := uint64(1); index <= 5; index++ {
		lastFrame = l.segments[0].size
		batch := Batch{Entries: entries(index, index, 1)}
		batch.Entries[0].Data = bytes.Repeat([]byte{1}, 300)
		if err := l.Append(batch); err != nil {
			t.Fatal(err)
		}
	}
	return fs, folder + "/" + fileName(1, segmentSuffix), lastFrame
}

// A crash can cut the last write short at any byte, or leave a file that has its
// full length while sectors of the write are still zeros. Both must be truncated
// to the last intact frame.
func TestTornTailIsTruncatedAtEveryByte(t *testing.T) {
	fs, path, lastFrame := logWithTail(t)
	data := fs.files[path].data
	for cut := lastFrame; cut < len(data); cut++ {
		checkTorn(t, fs, path, data[:cut])
	}
	checkTorn(t, fs, path, append(slices.Clone(data[:lastFrame]), make([]byte, len(data)-lastFrame)...))
	sector := (lastFrame/sectorBytes + 1) * sectorBytes
	checkTorn(t, fs, path, append(slices.Clone(data[:sector]), make([]byte, len(data)-sector)...))
}

// Only data that an interrupted write can leave at the end of a file counts as
// torn. Everything else is reported as damage: truncating it could silently lose
// synced records.
func TestOnlyTornTailIsTruncated(t *testing.T) {
	frame := appendFrame(nil, append(bytes.Repeat([]byte{7}, 100), 0, 0, 0))
	flipped := slices.Clone(frame)
	flipped[50] ^= 1
	unwritten := append(slices.Clone(frame[:6]), make([]byte, len(frame)-6)...)
	straddling := sectorBytes - 6
	tailInNextSector := sectorBytes - (len(frame) - 3)
	cases := []struct {
		name   string
		data   []byte
		offset int
		want   frameState
	}{
		{"intact", frame, 0, frameIntact},
		{"cut header", frame[:5], 0, frameTorn},
		{"cut payload", frame[:90], 0, frameTorn},
		{"zeros", make([]byte, 200), 0, frameTorn},
		{"header across two sectors, the second unwritten", unwritten, straddling, frameTorn},
		{"header with zeros within one sector", unwritten, 0, frameDamaged},
		{"flipped bit", flipped, 0, frameDamaged},
		{"flipped bit, with payload zeros in the next sector", flipped, tailInNextSector, frameDamaged},
	}
	for _, c := range cases {
		if _, state := readFrame(c.data, c.offset); state != c.want {
			t.Errorf("%s: state %d, want %d", c.name, state, c.want)
		}
	}
}

func checkTorn(t *testing.T, fs *memFS, path string, data []byte) {
	t.Helper()
	torn := fs.crash(0)
	torn.files[path].data = slices.Clone(data)
	l, err := openMem(torn)
	if err != nil {
		t.Fatalf("%d bytes: %v", len(data), err)
	}
	if got := len(l.Restored().Entries); got != 4 {
		t.Fatalf("%d bytes: %d entries, want 4", len(data), got)
	}
}

// A flipped bit in synced data must be reported with its file and offset. Opening
// the log without the entries after it would lose accepted changes, so the
// instance must refuse to start.
func TestFlippedBitIsReportedWithOffset(t *testing.T) {
	fs, path, _ := logWithTail(t)
	data := fs.files[path].data
	for at := range data {
		for bit := range 8 {
			damaged := fs.crash(0)
			damaged.files[path].data[at] ^= 1 << bit
			_, err := openMem(damaged)
			var corrupt *CorruptError
			if !errors.As(err, &corrupt) {
				t.Fatalf("bit %d of byte %d: got %v, want a CorruptError", bit, at, err)
			}
			if corrupt.File != path || corrupt.Offset > int64(at) {
				t.Fatalf("bit %d of byte %d is reported as %v", bit, at, corrupt)
			}
		}
	}
}

func TestDamagedSnapshotAndMissingFilesAreRefused(t *testing.T) {
	fs := newMemFS()
	l, err := openMem(fs)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := runScript(l); err != nil {
		t.Fatal(err)
	}
	snapshotPath := folder + "/" + fileName(47, snapshotSuffix)
	cases := []struct {
		name   string
		damage func(*memFS)
	}{
		{"snapshot", func(fs *memFS) { fs.files[snapshotPath].data[40] ^= 1 }},
		{"cut snapshot", func(fs *memFS) { fs.files[snapshotPath].data = fs.files[snapshotPath].data[:30] }},
		{"empty snapshot", func(fs *memFS) { fs.files[snapshotPath].data = nil }},
		{"no identity", func(fs *memFS) { delete(fs.files, folder+"/"+identityName) }},
		{"no snapshot", func(fs *memFS) { delete(fs.files, snapshotPath) }},
	}
	for _, c := range cases {
		damaged := fs.crash(0)
		c.damage(damaged)
		if _, err := openMem(damaged); err == nil {
			t.Errorf("%s: the folder was opened", c.name)
		}
	}
}

// A second process on the folder, or another instance that is configured with the
// same folder, must be rejected: the two would overwrite each other's data.
func TestFolderIsLockedToOneProcessAndInstance(t *testing.T) {
	options := Options{Folder: t.TempDir()}
	first, err := Open(options, "control-a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(options, "control-a"); !errors.Is(err, ErrLocked) {
		t.Errorf("second process: got %v, want ErrLocked", err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(options, "control-b"); err == nil {
		t.Error("another instance opened the folder")
	}
	reopened, err := Open(options, "control-a")
	if err != nil {
		t.Fatal(err)
	}
	defer reopened.Close()
	if reopened.Identity() != first.Identity() {
		t.Error("the identity changed with a restart")
	}
}

func FuzzSegment(f *testing.F) {
	fs, path, _ := logWithTail(f)
	f.Add(fs.files[path].data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var replayed replay
		size, err := readFrames("segment", data, true, replayed.apply)
		if size > len(data) {
			t.Fatalf("%d of %d bytes are intact", size, len(data))
		}
		if err == nil {
			_, _ = replayed.after(nil)
		}
	})
}

func FuzzSnapshot(f *testing.F) {
	payload, err := encode(snapshotAt(7, 3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(appendFrame(nil, payload))
	f.Add(payload)
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := decodeSnapshot("snapshot", data); err == nil && s.Index == 0 {
			t.Fatal("a snapshot without an index")
		}
		var s replog.Snapshot
		_ = decode(data, &s)
	})
}

func BenchmarkAppend(b *testing.B) {
	for _, group := range []int{1, 4, 16, 64, 256} {
		b.Run(fmt.Sprintf("group=%d", group), func(b *testing.B) {
			l, err := Open(Options{Folder: b.TempDir()}, "control-a")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			data := make([]byte, 300)
			next := uint64(1)
			for b.Loop() {
				batches := make([]Batch, group)
				for i := range batches {
					batches[i].Entries = []replog.Entry{{Index: next, Term: 1, Data: data}}
					next++
				}
				if err := l.Append(batches...); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N*group)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(l.Bytes())/float64(next), "bytes/commit")
		})
	}
}

func BenchmarkOpen(b *testing.B) {
	for _, length := range []uint64{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", length), func(b *testing.B) {
			options := Options{Folder: b.TempDir()}
			l, err := Open(options, "control-a")
			if err != nil {
				b.Fatal(err)
			}
			data := make([]byte, 300)
			for first := uint64(1); first <= length; first += 1000 {
				var batch Batch
				for index := first; index < first+1000; index++ {
					batch.Entries = append(batch.Entries, replog.Entry{Index: index, Term: 1, Data: data})
				}
				if err := l.Append(batch); err != nil {
					b.Fatal(err)
				}
			}
			_ = l.Close()
			for b.Loop() {
				l, err := Open(options, "control-a")
				if err != nil {
					b.Fatal(err)
				}
				_ = l.Close()
			}
		})
	}
}
