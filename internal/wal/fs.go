package wal

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// File is an open file.
type File interface {
	io.Reader
	io.Writer
	io.Closer
	// Sync returns once all written data is on disk.
	Sync() error
	Truncate(size int64) error
}

// FS is the subset of file system operations that the log needs. Tests implement
// it to inject failures.
type FS interface {
	MkdirAll(path string) error
	// ReadDir returns the names in a folder, sorted.
	ReadDir(path string) ([]string, error)
	Open(path string) (File, error)
	// Create creates an empty file or truncates an existing one.
	Create(path string) (File, error)
	// Append opens an existing file for appending.
	Append(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir returns once the directory entries of a folder are on disk.
	SyncDir(path string) error
	// Lock takes an exclusive lock. The lock is released when the returned closer
	// is closed or the process exits.
	Lock(path string) (io.Closer, error)
}

// OS is the operating system's file system.
type OS struct{}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// ErrLocked is returned by FS.Lock when another process holds the lock.
var ErrLocked = errors.New("another process uses the data folder")

// MkdirAll implements FS.
func (OS) MkdirAll(path string) error { return os.MkdirAll(path, folderMode) }

// ReadDir implements FS.
func (OS) ReadDir(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Open implements FS.
func (OS) Open(path string) (File, error) { return os.Open(path) }

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Append implements FS.
func (OS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_APPEND, fileMode)
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Lock implements FS.
func (OS) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return file, nil
}

// WriteAtomically writes a file so that after a crash it either holds all of data
// or keeps its former state: it writes and syncs a temporary file, renames it,
// and syncs the folder.
func WriteAtomically(fs FS, folder, name string, data []byte) error {
	temporary := folder + "/" + name + temporarySuffix
	file, err := fs.Create(temporary)
	if err != nil {
		return errors.Wrap(err, "create "+temporary)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrap(err, "write "+temporary)
	}
	if err := fs.Rename(temporary, folder+"/"+name); err != nil {
		return errors.Wrap(err, "rename "+temporary)
	}
	return errors.Wrap(fs.SyncDir(folder), "sync "+folder)
}

func readFile(fs FS, path string) ([]byte, error) {
	file, err := fs.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(file)
}
