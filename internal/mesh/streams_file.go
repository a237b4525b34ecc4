package mesh

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/streamversion"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

const (
	// streamsFileName is the file of streams and versions, one JSON object a line. Versions are synced:
	// after a power loss, one that is missing would pass for one that never served. Streams are not, as
	// those that are missing are unknown.
	streamsFileName = "streams.jsonl"
	// maxStreamsFile is the size at which the file is written anew, without what has expired.
	maxStreamsFile = 1 << 20
	// streamsFileQueue bounds the lines that wait for the disk; those beyond it are not written.
	streamsFileQueue = 1024
	// streamsFileRetry is the pause after a failed write.
	streamsFileRetry = time.Second
)

var streamsUnwrittenCount = telemetry.Counter("mesh_streams_unwritten")

// streamLine is one line of the file, written at a time of day: a stream, or the versions that were
// heard of. The clock's error shortens or extends how long a stream is remembered.
type streamLine struct {
	AtMillis int64                       `json:"at"`
	Stream   *streamversion.Record       `json:"stream,omitempty"`
	Versions []streamversion.SeenVersion `json:"versions,omitempty"`
	// written, if set, receives how the write of the line ended; it has room for that.
	written chan<- error
}

// streamsFile keeps streams and versions on the disk: when all entries restart at once, none is left
// that could tell.
type streamsFile struct {
	streams *streams
	path    string
	lines   chan streamLine
	// file and size are those of the open file; file is nil until the first write and after a failed one.
	file *os.File
	size int
	// waiting are those that wait for the present write, versions are those that the file holds.
	waiting  []chan<- error
	versions map[streamversion.SeenVersion]bool
	// retry is set after a failed write: when it fires, the file is written anew, and no line is before.
	retry <-chan time.Time
	// sync makes what was written durable.
	sync func(*os.File) error
}

func newStreamsFile(s *streams, folder string) *streamsFile {
	return &streamsFile{streams: s, path: filepath.Join(folder, streamsFileName), lines: make(chan streamLine, streamsFileQueue), sync: (*os.File).Sync, versions: make(map[streamversion.SeenVersion]bool)}
}

// add queues a line, and reports whether there was room. A nil file, of a process without a disk, keeps
// nothing.
func (f *streamsFile) add(line streamLine) bool {
	if f == nil {
		return false
	}
	line.AtMillis = time.Now().UnixMilli()
	select {
	case f.lines <- line:
		return true
	default:
		streamsUnwrittenCount.Add(1)
		return false
	}
}

// errNotWritten means that a line was not written, as the disk is too slow or refuses writes.
var errNotWritten = errors.New("the disk does not take the line")

// persist returns once a version is on the disk.
func (f *streamsFile) persist(ctx context.Context, v streamversion.SeenVersion) error {
	written := make(chan error, 1)
	if !f.add(streamLine{Versions: []streamversion.SeenVersion{v}, written: written}) {
		return errNotWritten
	}
	select {
	case err := <-written:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *streamsFile) addStreams(records []streamversion.Record) {
	for i := range records {
		f.add(streamLine{Stream: &records[i]})
	}
}

// run writes the queued lines until ctx ends.
func (f *streamsFile) run(ctx context.Context) {
	defer f.close()
	expiry := time.NewTicker(streamversion.Retention)
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expiry.C:
			if f.retry == nil && f.holdsExpired() {
				f.finish(f.rewrite())
			}
		case line := <-f.lines:
			data, durable := f.encodeQueued(line)
			if f.retry != nil {
				// The table has it when the file is written anew.
				streamsUnwrittenCount.Add(1)
				f.notifyWaiting(errNotWritten)
				continue
			}
			f.finish(f.write(data, durable))
		case <-f.retry:
			f.finish(f.rewrite())
		}
	}
}

// finish ends a write, and plans the next one if it failed.
func (f *streamsFile) finish(err error) {
	f.notifyWaiting(err)
	f.retry = nil
	if err == nil {
		return
	}
	f.close()
	f.retry = time.After(streamsFileRetry)
	f.streams.mesh.log.Warn("failed to write a file to disk", zap.String("file", streamsFileName), telemetry.Cause(err))
}

func (f *streamsFile) notifyWaiting(err error) {
	for _, written := range f.waiting {
		written <- err
	}
	f.waiting = nil
}

// holdsExpired reports whether the file holds a version that was not heard for long. The next start would take
// it for one that served until then.
func (f *streamsFile) holdsExpired() bool {
	m := f.streams.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(f.versions) > len(f.streams.seen.List(time.Now()))
}

func (f *streamsFile) close() {
	if f.file != nil {
		_ = f.file.Close()
		f.file = nil
	}
}

// encodeQueued encodes a line and those that wait behind it, and reports whether they must be durable.
func (f *streamsFile) encodeQueued(line streamLine) (data []byte, durable bool) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	for {
		_ = encoder.Encode(line)
		durable = durable || len(line.Versions) > 0
		f.holds(line.Versions)
		if line.written != nil {
			f.waiting = append(f.waiting, line.written)
		}
		select {
		case line = <-f.lines:
		default:
			return out.Bytes(), durable
		}
	}
}

// holds notes the versions of a line that the file holds.
func (f *streamsFile) holds(versions []streamversion.SeenVersion) {
	for _, v := range versions {
		v.AgeMillis = 0
		f.versions[v] = true
	}
}

// write appends to the file, or writes it anew when it has grown large.
func (f *streamsFile) write(data []byte, durable bool) error {
	if f.file == nil || f.size+len(data) > maxStreamsFile {
		// What is queued is known to the table already.
		return f.rewrite()
	}
	n, err := f.file.Write(data)
	f.size += n
	if err == nil && durable {
		err = f.sync(f.file)
	}
	return err
}

// rewrite replaces the file by what is known now.
func (f *streamsFile) rewrite() error {
	f.close()
	s := f.streams
	now := time.Now()
	s.mesh.mu.Lock()
	records, versions := s.table.All(now), s.seen.List(now)
	s.mesh.mu.Unlock()
	clear(f.versions)
	f.holds(versions)
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	_ = encoder.Encode(streamLine{AtMillis: now.UnixMilli(), Versions: versions})
	for i := range records {
		_ = encoder.Encode(streamLine{AtMillis: now.UnixMilli(), Stream: &records[i]})
	}
	file, err := os.OpenFile(f.path+".tmp", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	// It is closed by the next failure or at the end.
	f.file, f.size = file, out.Len()
	if _, err := file.Write(out.Bytes()); err != nil {
		return err
	}
	if err := f.sync(file); err != nil {
		return err
	}
	if err := os.Rename(f.path+".tmp", f.path); err != nil {
		return err
	}
	return f.syncFolder()
}

// syncFolder makes the file's name durable.
func (f *streamsFile) syncFolder() error {
	folder, err := os.Open(filepath.Dir(f.path))
	if err != nil {
		return err
	}
	defer folder.Close()
	return f.sync(folder)
}

// load restores what was known. The caller holds mesh.mu, or is the only one that knows the mesh.
func (f *streamsFile) load(now time.Time) {
	data, err := os.ReadFile(f.path)
	if err != nil {
		return
	}
	streams, unread := 0, 0
	var versions []streamversion.SeenVersion
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, maxStreamsFile)
	for lines.Scan() {
		var line streamLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			unread++
			continue
		}
		if line.Stream != nil {
			streams++
			line.Stream.LeftMillis -= max(now.UnixMilli()-line.AtMillis, 0)
			f.streams.table.Put(*line.Stream, false, now)
		}
		for i := range line.Versions {
			// Servers of it may have been heard until the process ended.
			line.Versions[i].AgeMillis = 0
		}
		versions = append(versions, line.Versions...)
	}
	f.holds(versions)
	// Only together they are complete.
	f.streams.mergeVersions(versions, len(versions) > 0, now)
	f.streams.mesh.log.Info("streams recalled from the disk", zap.Int("streams", streams), zap.Int("versions", len(f.versions)), zap.Int("unread", unread))
}
