package mesh

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/founding"
	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/replica"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

const (
	// snapshotEntries bounds the log on a small disk: one entry may hold a whole
	// configuration.
	snapshotEntries = 48
	// segmentBytes is the size of the log's files. It is small so that old files are
	// deleted soon.
	segmentBytes = 2 << 20
	// reopenDelay is the delay before a failed disk is opened again.
	reopenDelay = 500 * time.Millisecond
	// foundingInterval is the interval between two checks of which processes may found
	// the log.
	foundingInterval = 100 * time.Millisecond
)

// logHost runs the local replica of the replicated log, and reopens it after the disk has
// failed: the replica may then rely only on what is still on the disk.
type logHost struct {
	mesh    *Mesh
	prover  prover
	current atomic.Pointer[replica.Replica]
	// opened is when the disk was last opened. Only the goroutine that runs the host uses
	// it.
	opened time.Time
}

func newLogHost(m *Mesh) *logHost {
	h := &logHost{mesh: m}
	h.prover.round = h.proveByQuorum
	h.prover.interval = func(failingFor time.Duration) time.Duration {
		// One round asks the other voters however many callers wait for it, so the number
		// of processes does not matter.
		return memberBackoff.Pause(failingFor, 0, rand.Float64())
	}
	return h
}

// identity returns the member and the cluster, both empty while the disk cannot be read,
// and whether this member leads.
func (h *logHost) identity() (member, cluster string, leads bool) {
	r := h.current.Load()
	if r == nil {
		return "", "", false
	}
	status := r.Status()
	return string(r.ID()), status.Config.Cluster, status.Role == replog.Leader
}

func (h *logHost) run(ctx context.Context) {
	go h.pullWhileBehind(ctx)
	go h.manageMembers(ctx)
	for ctx.Err() == nil {
		if err := h.runOnce(ctx); err != nil {
			h.mesh.log.Error("the log's disk failed; trying again", telemetry.Cause(err))
		}
		_ = wait.For(ctx, reopenDelay)
	}
}

// runOnce opens the folder and runs the replica until ctx ends or the disk fails.
func (h *logHost) runOnce(ctx context.Context) error {
	sm := &stateMachine{documents: h.mesh.documents}
	start := time.Now()
	r, err := replica.Open(replica.Options{
		Instance: h.mesh.options.Self.Name, Address: h.mesh.options.Self.Address, Folder: h.mesh.options.Folder,
		ChooseFounders: h.founders, SnapshotEntries: snapshotEntries, SegmentBytes: segmentBytes, PersistCommit: true,
	}, sm, h.mesh.log)
	if err != nil {
		return err
	}
	sm.start(h.mesh.configWriter.load())
	h.current.Store(r)
	h.opened = time.Now()
	h.mesh.log.Info("the log's disk is open", zap.Duration("took", h.opened.Sub(start)),
		zap.Uint64("applied", r.Applied()), zap.Uint64("last", r.End().Last), zap.Uint64("version", sm.state.State().Version))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go h.cancelOnFailure(ctx, cancel, r)
	r.Run(ctx)
	if reason := r.Failure(); reason != "" {
		return errors.New(reason)
	}
	return nil
}

func (h *logHost) cancelOnFailure(ctx context.Context, cancel func(), r *replica.Replica) {
	ticker := time.NewTicker(reopenDelay)
	defer ticker.Stop()
	for r.Failure() == "" {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	cancel()
}

// founders waits until it is decided which processes found the log.
func (h *logHost) founders(ctx context.Context, self replog.Member) ([]replog.Member, bool) {
	for h.mesh.options.Bootstrap && ctx.Err() == nil {
		view, founded := h.foundingView()
		if founded {
			return nil, false
		}
		if chosen, found := founding.Decide(view); found {
			members := make([]replog.Member, 0, len(chosen))
			for _, p := range chosen {
				members = append(members, replog.Member{ID: replog.ID(p.Member), Address: p.Address})
			}
			return members, true
		}
		_ = wait.For(ctx, foundingInterval)
	}
	return nil, false
}

// foundingView describes the processes that may found the log; founded reports whether
// the log already exists.
func (h *logHost) foundingView() (view founding.View, founded bool) {
	m := h.mesh
	self := m.Self()
	view = founding.View{Self: processOf(self), Bootstrap: m.options.Bootstrap, Up: time.Since(h.opened)}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, seed := range m.options.Seeds {
		if q := m.peers[seed]; seed != self.Address && (q == nil || q.lastHeard.IsZero()) {
			view.UnansweredSeeds++
		}
	}
	for _, q := range m.peers {
		if q.process.Cluster != "" {
			return view, true
		}
		// A process that is known but has not answered may have a disk.
		if q.process.Started == 0 {
			view.UnansweredSeeds++
			continue
		}
		view.Known = append(view.Known, processOf(q.process))
	}
	return view, false
}

func processOf(p Process) founding.Process {
	return founding.Process{Address: p.Address, DataCentre: p.DataCentre, Disk: p.Disk && p.Member != "", Member: p.Member, Cluster: p.Cluster}
}

// stop hands over the leadership.
func (h *logHost) stop(ctx context.Context) {
	if r := h.current.Load(); r != nil {
		r.Stop(ctx)
	}
}

// addHandlers adds the log's methods; each call goes to the replica that is running at
// that time.
func (h *logHost) addHandlers(handlers map[string]rpc.Handler) {
	for _, method := range replica.Methods {
		handlers[method] = func(ctx context.Context, params json.RawMessage) (any, error) {
			r := h.current.Load()
			if r == nil {
				return nil, errors.New("the log is not open")
			}
			return r.Handle(ctx, method, params)
		}
	}
	handlers[methodPropose] = rpc.Typed(h.handlePropose)
	handlers[methodRead] = rpc.Typed(h.handleRead)
	handlers[methodStanding] = rpc.Typed(h.handleStanding)
	handlers[methodConfirm] = rpc.Typed(h.handleConfirm)
}

// stateMachine applies the entries of the log to the documents. While the folder is being
// read it only accumulates them: an intermediate state, older than the one in force
// before the restart, must not be used.
type stateMachine struct {
	state     document.Machine
	documents *Documents
	started   bool
}

// start puts in force what the folder held: the state of the log, or a newer pulled one.
func (sm *stateMachine) start(pulled document.State) {
	sm.started = true
	if pulled.Index > sm.state.State().Index {
		sm.documents.Apply(pulled, originDisk)
	}
	sm.publish()
}

func (sm *stateMachine) publish() {
	if sm.started {
		sm.documents.Apply(sm.state.State(), originLog)
	}
}

// Apply implements replica.StateMachine.
func (sm *stateMachine) Apply(index uint64, data []byte) []byte {
	changed, err := sm.state.Apply(index, data)
	if err == nil && changed {
		sm.publish()
	}
	return []byte("{}")
}

// Snapshot implements replica.StateMachine.
func (sm *stateMachine) Snapshot() ([]byte, error) { return sm.state.Snapshot() }

// Restore implements replica.StateMachine.
func (sm *stateMachine) Restore(data []byte) error {
	if err := sm.state.Restore(data); err != nil {
		return err
	}
	sm.publish()
	return nil
}

// isMember reports whether this process belongs to a log. If there are more disks than
// members, the other processes are on standby.
func (h *logHost) isMember() bool {
	_, cluster, _ := h.identity()
	return cluster != ""
}

// pullWhileBehind also pulls from other entries while the local replica lags: because of
// a lost disk, a slow disk, or a leader that cannot reach it. A process on standby
// follows another entry permanently.
func (h *logHost) pullWhileBehind(ctx context.Context) {
	for ctx.Err() == nil {
		_ = wait.For(ctx, syncInterval)
		address := ""
		if h.mesh.behind() || !h.isMember() {
			address = h.mesh.pickSource()
		}
		switch {
		case address == "":
		case h.isMember():
			h.mesh.pullOnce(ctx, address)
		default:
			h.mesh.followEntry(ctx, address, func() bool { return !h.isMember() })
		}
	}
}

// pullOnce pulls the state of one peer. It has a connection of its own: a large state may
// arrive for long.
func (m *Mesh) pullOnce(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, maxPullTime)
	defer cancel()
	client := rpc.NewClient(address)
	defer client.Close()
	var reply pullReply
	err := client.CallReceiving(callCtx, pullTimeout, methodPull, m.newPullRequest(), &reply)
	if err == nil {
		err = m.applyReply(&reply, originPull+address)
	}
	if err != nil {
		m.log.Info("the configuration was not pulled", zap.String("source", address), telemetry.Cause(err))
	}
}
