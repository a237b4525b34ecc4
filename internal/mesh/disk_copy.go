package mesh

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

// diskCopyInterval is the minimum interval between two writes of a diskCopy.
const diskCopyInterval = 500 * time.Millisecond

// diskCopy keeps state in a file beside the files of the log, from which a restart recalls it.
type diskCopy[T any] struct {
	mesh *Mesh
	// name is the name of the file.
	name string
	// change and content are called with mesh.mu held: the number of the last change to the
	// state, and the state.
	change  func() uint64
	content func() T
}

func (c *diskCopy[T]) path() string { return filepath.Join(c.mesh.options.Folder, c.name) }

// read returns the state that was written last; it reports false if there is none.
func (c *diskCopy[T]) read() (content T, ok bool) {
	data, err := os.ReadFile(c.path())
	if err != nil {
		return content, false
	}
	if err := json.Unmarshal(data, &content); err != nil {
		// The file is not synced: a power loss may leave it truncated.
		c.mesh.log.Info("a file on the disk cannot be read", zap.String("file", c.name), telemetry.Cause(err))
		return content, false
	}
	return content, true
}

// run writes the state whenever it changes, until ctx ends. A hung disk delays nothing else.
func (c *diskCopy[T]) run(ctx context.Context) {
	var written uint64
	for wait.For(ctx, diskCopyInterval) == nil {
		c.mesh.mu.Lock()
		change := c.change()
		var content T
		if change != written {
			content = c.content()
		}
		c.mesh.mu.Unlock()
		if change == written {
			continue
		}
		if err := c.write(content); err != nil {
			c.mesh.log.Warn("failed to write a file to disk", zap.String("file", c.name), telemetry.Cause(err))
			continue
		}
		written = change
	}
}

func (c *diskCopy[T]) write(content T) error {
	data, err := json.Marshal(content)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.path()+".tmp", data, 0o600); err != nil {
		return err
	}
	return os.Rename(c.path()+".tmp", c.path())
}
