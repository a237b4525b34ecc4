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
	// configurationFile holds the newest configuration that was pulled, beside the
	// log's files.
	configurationFile = "configuration.json"
	// keepPatience is how long a configuration waits for the disk before it is in
	// force without it.
	keepPatience = 2 * time.Second
)

// keeper writes pulled configurations to the disk. Those of the own log lie there
// already.
type keeper struct {
	folder   string
	log      *zap.Logger
	patience time.Duration
	// requests holds one: a second one finds the disk hanging.
	requests chan keepRequest
}

type keepRequest struct {
	state document.State
	done  chan<- struct{}
}

func newKeeper(folder string, log *zap.Logger) *keeper {
	return &keeper{folder: folder, log: log, patience: keepPatience, requests: make(chan keepRequest, 1)}
}

func (k *keeper) run(ctx context.Context) {
	kept := k.recall().Index
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-k.requests:
			// Of two pulls at once the older one may come last.
			if r.state.Index > kept && k.write(r.state) {
				kept = r.state.Index
			}
			close(r.done)
		}
	}
}

// write reports whether a state is on the disk.
func (k *keeper) write(state document.State) bool {
	data, err := json.Marshal(state)
	if err == nil {
		err = wal.WriteAtomically(wal.OS{}, k.folder, configurationFile, data)
	}
	if err != nil {
		k.log.Warn("the configuration cannot be written to the disk", zap.Uint64("version", state.Version), telemetry.Cause(err))
	}
	return err == nil
}

// keep returns once a state is on the disk, or once the disk has hung for longer
// than callers should be routed by an older one.
func (k *keeper) keep(state document.State) {
	done := make(chan struct{})
	patience := time.NewTimer(k.patience)
	defer patience.Stop()
	select {
	case k.requests <- keepRequest{state: state, done: done}:
	case <-patience.C:
		return
	}
	select {
	case <-done:
	case <-patience.C:
	}
}

// recall returns what was kept, the zero state when there is nothing to read.
func (k *keeper) recall() document.State {
	data, err := os.ReadFile(filepath.Join(k.folder, configurationFile))
	if err != nil {
		return document.State{}
	}
	var state document.State
	if err := json.Unmarshal(data, &state); err != nil {
		k.log.Warn("the configuration on the disk cannot be read", telemetry.Cause(err))
		return document.State{}
	}
	return state
}

// takePulled puts a state of another process in force. Where there is a disk it
// lies there first: the process would otherwise be back without it, while its own
// log does not know yet that it is committed.
func (m *Mesh) takePulled(state document.State, origin string) {
	held := m.documents.Current().State
	if state.Index <= held.Index {
		return
	}
	if state.Body == nil && state.Version == held.Version {
		state.Body = held.Body
	}
	if m.keeper != nil {
		m.keeper.keep(state)
	}
	m.documents.Take(state, origin)
}
