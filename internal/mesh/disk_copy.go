package mesh

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wal"
)

// diskCopyInterval is the interval at which a diskCopy writes changes that nobody waits for.
const diskCopyInterval = 500 * time.Millisecond

// diskCopy keeps state in a file beside the files of the log, from which a restart recalls it. Each
// write is synced, so that the file is whole after a power loss.
type diskCopy[T any] struct {
	mesh *Mesh
	fs   wal.FS
	// name is the name of the file.
	name string
	// change and content are called with mesh.mu held: the number of the last change to the
	// state, and the state.
	change  func() uint64
	content func() T
	// wakeup makes run write without waiting for the interval.
	wakeup chan struct{}
	// written is the number of the last change that is on the disk; mesh.mu protects it.
	written uint64
}

func newDiskCopy[T any](m *Mesh, name string, change func() uint64, content func() T) *diskCopy[T] {
	return &diskCopy[T]{mesh: m, fs: wal.OS{}, name: name, change: change, content: content, wakeup: make(chan struct{}, 1)}
}

func (c *diskCopy[T]) path() string { return filepath.Join(c.mesh.options.Folder, c.name) }

// read returns the state that was written last; it reports false if there is none.
func (c *diskCopy[T]) read() (content T, ok bool) {
	data, err := os.ReadFile(c.path())
	if err != nil {
		return content, false
	}
	if err := json.Unmarshal(data, &content); err != nil {
		c.mesh.log.Warn("a file on the disk cannot be read", zap.String("file", c.name), telemetry.Cause(err))
		return content, false
	}
	return content, true
}

// run writes the state whenever it changes, until ctx ends. A hung disk delays only those that wait
// for it in persist.
func (c *diskCopy[T]) run(ctx context.Context) {
	ticker := time.NewTicker(diskCopyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wakeup:
		case <-ticker.C:
		}
		if err := c.writeChange(); err != nil {
			c.mesh.log.Warn("failed to write a file to disk", zap.String("file", c.name), telemetry.Cause(err))
		}
	}
}

// writeChange writes the state if it has changed since the last write.
func (c *diskCopy[T]) writeChange() error {
	c.mesh.mu.Lock()
	change := c.change()
	if change == c.written {
		c.mesh.mu.Unlock()
		return nil
	}
	content := c.content()
	c.mesh.mu.Unlock()
	data, err := json.Marshal(content)
	if err != nil {
		return err
	}
	if err := wal.WriteAtomically(c.fs, c.mesh.options.Folder, c.name, data); err != nil {
		return err
	}
	c.mesh.mu.Lock()
	c.written = change
	c.mesh.notifyProgress()
	c.mesh.mu.Unlock()
	return nil
}

// persist returns once the state as of a change is on the disk, or with the error of ctx.
func (c *diskCopy[T]) persist(ctx context.Context, change uint64) error {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
	for {
		c.mesh.mu.Lock()
		written, progress := c.written, c.mesh.progress
		c.mesh.mu.Unlock()
		if written >= change {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
