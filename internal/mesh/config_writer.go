package mesh

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wal"
)

const (
	// configurationFile holds the newest pulled configuration, beside the files of the
	// log.
	configurationFile = "configuration.json"
	// persistTimeout is how long a configuration waits for the disk before it is put in
	// force without being persisted.
	persistTimeout = 2 * time.Second
)

// configWriter writes pulled configurations to the disk. Configurations from the local
// log are already there.
type configWriter struct {
	folder  string
	log     *zap.Logger
	timeout time.Duration
	// requests has a buffer of one: a second request that blocks means that the disk
	// hangs.
	requests chan writeRequest
}

type writeRequest struct {
	state document.State
	done  chan<- struct{}
}

func newConfigWriter(folder string, log *zap.Logger) *configWriter {
	return &configWriter{folder: folder, log: log, timeout: persistTimeout, requests: make(chan writeRequest, 1)}
}

func (w *configWriter) run(ctx context.Context) {
	written := w.load().Index
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-w.requests:
			// Of two concurrent pulls the older one may arrive last.
			if r.state.Index > written && w.write(r.state) {
				written = r.state.Index
			}
			close(r.done)
		}
	}
}

// write reports whether the state was written to the disk.
func (w *configWriter) write(state document.State) bool {
	data, err := json.Marshal(state)
	if err == nil {
		err = wal.WriteAtomically(wal.OS{}, w.folder, configurationFile, data)
	}
	if err != nil {
		w.log.Warn("failed to write the configuration to disk", zap.Uint64("version", state.Version), telemetry.Cause(err))
	}
	return err == nil
}

// persist returns once the state is on the disk, or after the timeout, so that a hung disk
// does not keep requests routed by an older configuration for too long.
func (w *configWriter) persist(state document.State) {
	done := make(chan struct{})
	timer := time.NewTimer(w.timeout)
	defer timer.Stop()
	select {
	case w.requests <- writeRequest{state: state, done: done}:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}

// load returns the persisted state, or the zero state when there is none or it cannot be
// read.
func (w *configWriter) load() document.State {
	data, err := os.ReadFile(filepath.Join(w.folder, configurationFile))
	if err != nil {
		return document.State{}
	}
	var state document.State
	if err := json.Unmarshal(data, &state); err != nil {
		w.log.Warn("failed to read the configuration on disk", telemetry.Cause(err))
		return document.State{}
	}
	return state
}

// applyPulled puts a state from another process in force. With a disk it is persisted
// first: otherwise the process could restart without it, while the commit is not yet recorded
// in its local log.
func (m *Mesh) applyPulled(state document.State, origin string) {
	held := m.documents.Current().State
	if state.Index <= held.Index {
		return
	}
	if state.Body == nil && state.Version == held.Version {
		state.Body = held.Body
	}
	if m.configWriter != nil {
		m.configWriter.persist(state)
	}
	m.documents.Apply(state, origin)
}
