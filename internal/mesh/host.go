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
	// snapshotEntries bounds the log on a small disk: an entry may hold a whole
	// configuration.
	snapshotEntries = 48
	// segmentBytes is the size of the log's files, so that old ones go soon.
	segmentBytes = 2 << 20
	// reopenPause follows a disk that failed.
	reopenPause = 500 * time.Millisecond
	// foundingPause is the time between two looks at who may found.
	foundingPause = 100 * time.Millisecond
)

// logHost runs this process's part of the replicated log, and runs it anew
// after the disk has failed: what the disk then holds decides what it may say.
type logHost struct {
	mesh   *Mesh
	prover prover
	// spreadWait bounds the wait of an acknowledgement for a majority.
	spreadWait time.Duration
	current    atomic.Pointer[replica.Replica]
	// opened is when the disk was opened last; only the host's duty uses it.
	opened time.Time
}

func newLogHost(m *Mesh) *logHost {
	h := &logHost{mesh: m, spreadWait: spreadWait}
	h.prover.round = h.proveByVoters
	h.prover.pause = func(trouble time.Duration) time.Duration {
		// A round asks the other voters, however many wait for it.
		return memberTries.Pause(trouble, 0, rand.Float64())
	}
	return h
}

// identity is the member and the cluster, both empty while the disk cannot be
// read, and whether this member leads.
func (h *logHost) identity() (member, cluster string, leads bool) {
	r := h.current.Load()
	if r == nil {
		return "", "", false
	}
	status := r.Status()
	return string(r.ID()), status.Config.Cluster, status.Role == replog.Leader
}

func (h *logHost) run(ctx context.Context) {
	go h.followLog(ctx)
	go h.keepMembers(ctx)
	for ctx.Err() == nil {
		if err := h.runOnce(ctx); err != nil {
			h.mesh.log.Error("the log's disk failed; trying again", telemetry.Cause(err))
		}
		_ = wait.For(ctx, reopenPause)
	}
}

// runOnce opens the folder and works until ctx ends or the disk fails.
func (h *logHost) runOnce(ctx context.Context) error {
	machine := &machine{documents: h.mesh.documents}
	asked := time.Now()
	r, err := replica.Open(replica.Options{
		Instance: h.mesh.options.Self.Name, Address: h.mesh.options.Self.Address, Folder: h.mesh.options.Folder,
		Founders: h.founders, SnapshotEntries: snapshotEntries, SegmentBytes: segmentBytes, KeepCommit: true,
	}, machine, h.mesh.log)
	if err != nil {
		return err
	}
	machine.begin(h.mesh.keeper.recall())
	h.current.Store(r)
	h.opened = time.Now()
	h.mesh.log.Info("the log's disk is open", zap.Duration("took", h.opened.Sub(asked)),
		zap.Uint64("applied", r.Applied()), zap.Uint64("last", r.End().Last), zap.Uint64("version", machine.state.State().Version))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go h.endOnFailure(ctx, cancel, r)
	r.Run(ctx)
	if reason := r.Failure(); reason != "" {
		return errors.New(reason)
	}
	return nil
}

func (h *logHost) endOnFailure(ctx context.Context, cancel func(), r *replica.Replica) {
	ticker := time.NewTicker(reopenPause)
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

// founders waits until the founding is settled.
func (h *logHost) founders(ctx context.Context, self replog.Member) ([]replog.Member, bool) {
	for h.mesh.options.Bootstrap && ctx.Err() == nil {
		view, settled := h.view()
		if settled {
			return nil, false
		}
		if chosen, found := founding.Decide(view); found {
			members := make([]replog.Member, 0, len(chosen))
			for _, p := range chosen {
				members = append(members, replog.Member{ID: replog.ID(p.Member), Address: p.Address})
			}
			return members, true
		}
		_ = wait.For(ctx, foundingPause)
	}
	return nil, false
}

// view describes who may found; settled is true when somebody has.
func (h *logHost) view() (view founding.View, settled bool) {
	m := h.mesh
	self := m.Self()
	view = founding.View{Self: processOf(self), Bootstrap: m.options.Bootstrap, Up: time.Since(h.opened)}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, seed := range m.options.Seeds {
		if q := m.peers[seed]; seed != self.Address && (q == nil || q.heard.IsZero()) {
			view.SeedsSilent++
		}
	}
	for _, q := range m.peers {
		if q.process.Cluster != "" {
			return view, true
		}
		// One that was heard of and has not answered may have a disk.
		if q.process.Started == 0 {
			view.SeedsSilent++
			continue
		}
		view.Known = append(view.Known, processOf(q.process))
	}
	return view, false
}

func processOf(p Process) founding.Process {
	return founding.Process{Address: p.Address, DataCentre: p.DataCentre, Disk: p.Disk && p.Member != "", Member: p.Member, Cluster: p.Cluster}
}

// stop hands the leadership over.
func (h *logHost) stop(ctx context.Context) {
	if r := h.current.Load(); r != nil {
		r.Stop(ctx)
	}
}

// addHandlers adds the log's methods; each goes to the replica that runs now.
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
	handlers[methodPropose] = rpc.Typed(h.takeProposal)
	handlers[methodRead] = rpc.Typed(h.takeRead)
	handlers[methodStanding] = rpc.Typed(h.takeStanding)
	handlers[methodConfirm] = rpc.Typed(h.takeConfirm)
}

// machine applies the log's entries to the documents. While the folder is read
// it only gathers: a state on the way to the one that was in force before the
// restart must serve nobody.
type machine struct {
	state     document.Machine
	documents *Documents
	begun     bool
}

// begin puts in force what the folder held: the log's state, or a newer one that
// was pulled.
func (a *machine) begin(kept document.State) {
	a.begun = true
	if kept.Index > a.state.State().Index {
		a.documents.Take(kept, originDisk)
	}
	a.put()
}

func (a *machine) put() {
	if a.begun {
		a.documents.Take(a.state.State(), originLog)
	}
}

// Apply implements replica.StateMachine.
func (a *machine) Apply(index uint64, data []byte) []byte {
	changed, err := a.state.Apply(index, data)
	if err == nil && changed {
		a.put()
	}
	return []byte("{}")
}

// Snapshot implements replica.StateMachine.
func (a *machine) Snapshot() ([]byte, error) { return a.state.Snapshot() }

// Restore implements replica.StateMachine.
func (a *machine) Restore(data []byte) error {
	if err := a.state.Restore(data); err != nil {
		return err
	}
	a.put()
	return nil
}

// takesPart is true while this process belongs to a log. With more disks than the
// log has members the others stand by.
func (h *logHost) takesPart() bool {
	_, cluster, _ := h.identity()
	return cluster != ""
}

// followLog pulls from other entries too while this process's part of the log
// lags: behind a lost disk, a slow one, or a leader that cannot reach it. One
// that stands by follows another entry all the while.
func (h *logHost) followLog(ctx context.Context) {
	for ctx.Err() == nil {
		_ = wait.For(ctx, syncInterval)
		address := ""
		if h.mesh.behind() || !h.takesPart() {
			address = h.mesh.source()
		}
		switch {
		case address == "":
		case h.takesPart():
			h.mesh.pullOnce(ctx, address)
		default:
			h.mesh.followOne(ctx, address, func() bool { return !h.takesPart() })
		}
	}
}

// pullOnce takes what one peer holds.
func (m *Mesh) pullOnce(ctx context.Context, address string) {
	call, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var reply pullReply
	if err := m.ask(call, address, methodPull, m.request(), &reply); err == nil && reply.Newer {
		m.takePulled(reply.State, originPull+address)
	}
}
