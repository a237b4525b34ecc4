package wal

import (
	"bytes"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"golang.org/x/sys/unix"
)

// memFS is an in-memory file system that models crashes: only synced bytes of
// files whose directory entries were synced are sure to survive. It can be set to
// fail from a given operation on.
type memFS struct {
	files   map[string]*memFile
	durable map[string]*memFile
	// failAt is the number of the first operation that fails with failure; 0
	// means that none fails.
	failAt     int
	failure    error
	operations int
}

type memFile struct {
	data   []byte
	synced []byte
}

func newMemFS() *memFS {
	return &memFS{files: make(map[string]*memFile), durable: make(map[string]*memFile)}
}

// step counts an operation that changes the disk and returns an error if it is
// set to fail.
func (fs *memFS) step() error {
	fs.operations++
	if fs.failAt > 0 && fs.operations >= fs.failAt {
		return fs.failure
	}
	return nil
}

// crash returns the file system as it is after a crash. With extra at 0 only
// synced names and bytes remain; with extra above 0 all names remain, and up to
// extra unsynced bytes at the end of each file.
func (fs *memFS) crash(extra int) *memFS {
	crashed := newMemFS()
	names := fs.durable
	if extra > 0 {
		names = fs.files
	}
	for name, file := range names {
		data := slices.Clone(file.synced)
		if bytes.HasPrefix(file.data, file.synced) {
			data = slices.Clone(file.data[:min(len(file.data), len(file.synced)+extra)])
		}
		recovered := &memFile{data: data, synced: slices.Clone(data)}
		crashed.files[name], crashed.durable[name] = recovered, recovered
	}
	return crashed
}

func (fs *memFS) MkdirAll(string) error { return nil }

func (fs *memFS) ReadDir(folder string) ([]string, error) {
	var names []string
	for name := range fs.files {
		if rest, ok := strings.CutPrefix(name, folder+"/"); ok {
			names = append(names, rest)
		}
	}
	slices.Sort(names)
	return names, nil
}

func (fs *memFS) Open(path string) (File, error) {
	file, ok := fs.files[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return &memHandle{fs: fs, file: file, reader: bytes.NewReader(file.data)}, nil
}

func (fs *memFS) Create(path string) (File, error) {
	if err := fs.step(); err != nil {
		return nil, err
	}
	fs.files[path] = &memFile{}
	return fs.Open(path)
}

func (fs *memFS) Append(path string) (File, error) { return fs.Open(path) }

func (fs *memFS) Rename(from, to string) error {
	if err := fs.step(); err != nil {
		return err
	}
	fs.files[to] = fs.files[from]
	delete(fs.files, from)
	return nil
}

func (fs *memFS) Remove(path string) error {
	if err := fs.step(); err != nil {
		return err
	}
	delete(fs.files, path)
	return nil
}

func (fs *memFS) SyncDir(string) error {
	if err := fs.step(); err != nil {
		return err
	}
	fs.durable = maps.Clone(fs.files)
	return nil
}

func (fs *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type memHandle struct {
	fs     *memFS
	file   *memFile
	reader *bytes.Reader
}

func (h *memHandle) Read(buffer []byte) (int, error) { return h.reader.Read(buffer) }

// Write writes half of the data before it fails, as on a full disk.
func (h *memHandle) Write(data []byte) (int, error) {
	if err := h.fs.step(); err != nil {
		h.file.data = append(h.file.data, data[:len(data)/2]...)
		return len(data) / 2, err
	}
	h.file.data = append(h.file.data, data...)
	return len(data), nil
}

func (h *memHandle) Sync() error {
	if err := h.fs.step(); err != nil {
		return err
	}
	h.file.synced = slices.Clone(h.file.data)
	return nil
}

func (h *memHandle) Truncate(size int64) error {
	h.file.data = h.file.data[:size]
	return nil
}

func (h *memHandle) Close() error { return nil }

var errNoSpace error = unix.ENOSPC
