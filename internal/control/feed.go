package control

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	watchCount    = telemetry.Counter("control_watches")
	tailSentCount = telemetry.Counter("control_changes_sent")
)

// tail holds the most recent changes for daemons that fall behind.
type tail struct {
	limit   int
	changes []tailChange
	// start is the config index before the first change.
	start uint64
}

type tailChange struct {
	state.Change
	bytes int
}

func (t *tail) append(change state.Change) {
	data, err := json.Marshal(change)
	if err != nil {
		panic("control: cannot encode change: " + err.Error())
	}
	t.changes = append(t.changes, tailChange{Change: change, bytes: len(data)})
	if excess := len(t.changes) - t.limit; excess > 0 {
		t.start = t.changes[excess-1].Index
		t.changes = slices.Delete(t.changes, 0, excess)
	}
}

// reset discards the changes. Daemons behind index then need a snapshot.
func (t *tail) reset(index uint64) {
	t.changes, t.start = nil, index
}

// after returns the changes after an index and their size in bytes. covered is
// false when the tail does not reach back to the index.
func (t *tail) after(index uint64) (changes []tailChange, bytes int, covered bool) {
	if index < t.start {
		return nil, 0, false
	}
	from, _ := slices.BinarySearchFunc(t.changes, index+1, func(change tailChange, at uint64) int {
		return int(change.Index) - int(at)
	})
	for _, change := range t.changes[from:] {
		bytes += change.bytes
	}
	return t.changes[from:], bytes, true
}

// watch answers a long poll for configuration and directory changes.
func (c *Control) watch(ctx context.Context, in wire.Watch) (wire.WatchReply, error) {
	watchCount.Add(1)
	if err := checkWatch(in); err != nil {
		return wire.WatchReply{}, err
	}
	arrived := time.Now()
	wait := min(time.Duration(in.WaitMillis)*time.Millisecond, maxPollWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := c.preparePages(in); err != nil {
			return wire.WatchReply{}, err
		}
		reply, poll, err := c.buildReply(in, arrived)
		if err != nil || poll.changed {
			return reply, err
		}
		select {
		case <-poll.config:
		case <-poll.directory:
		case <-timer.C:
			reply, _, err = c.buildReply(in, arrived)
			return reply, err
		case <-ctx.Done():
			return wire.WatchReply{}, ctx.Err()
		}
	}
}

// Bounds on a daemon's report about itself. The reports of all daemons are held in
// memory.
const (
	maxDaemonName = 256
	maxReason     = 256
	maxLease      = time.Hour
)

func checkWatch(in wire.Watch) error {
	if in.Daemon == "" || len(in.Daemon) > maxDaemonName || len(in.Server) > catalogue.MaxNameLength {
		return errors.Errorf("a daemon's name must have 1 to %d bytes", maxDaemonName)
	}
	if len(in.Freshness.Reason) > maxReason || in.Lease < 0 || in.Lease > maxLease {
		return errors.Errorf("daemon %s: its freshness is out of bounds", in.Daemon)
	}
	return nil
}

// pollState holds whether a reply contains changes and, if it does not, the channels
// that are closed to end the wait.
type pollState struct {
	changed           bool
	config, directory <-chan struct{}
}

func (c *Control) buildReply(in wire.Watch, arrived time.Time) (wire.WatchReply, pollState, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons.record(in, time.Now())
	reply := wire.WatchReply{ConfigIndex: in.ConfigIndex, Standing: c.standing(arrived)}
	poll := pollState{config: c.configChanged}
	if err := c.addConfig(&reply, in); err != nil {
		return reply, poll, err
	}
	poll.changed = reply.ConfigIndex > in.ConfigIndex || reply.Snapshot != nil
	if in.Scope == wire.ScopeServer {
		return reply, poll, nil
	}
	poll.directory = c.directoryChanged
	if in.DirectoryEpoch == c.directory.Epoch() && in.DirectoryVersion == c.directory.Version() {
		return reply, poll, nil
	}
	data, err := c.directory.delta(in.DirectoryEpoch, in.DirectoryVersion, time.Now())
	reply.Directory, poll.changed = data, true
	return reply, poll, err
}

// addConfig adds either changes from the tail or a page of a snapshot, whichever
// needs fewer bytes to bring the daemon up to date. It adds nothing for a daemon that
// is ahead of this instance.
func (c *Control) addConfig(reply *wire.WatchReply, in wire.Watch) error {
	switch {
	case in.ConfigIndex >= c.publication.visible:
	case in.Scope == wire.ScopeServer:
		c.addServer(reply, in)
	case c.prefersPages(in.ConfigIndex):
		c.addPage(reply, in)
	default:
		changes, _, _ := c.tail.after(in.ConfigIndex)
		return c.addTail(reply, changes)
	}
	return nil
}

// addServer adds the wanted state of an agent's own server. The agent confirms
// every index, including those of other objects, so that operators can wait for
// agents too.
func (c *Control) addServer(reply *wire.WatchReply, in wire.Watch) {
	reply.ConfigIndex = c.publication.visible
	if server, found := c.machine.Server(in.Server); found && server.Revision > in.ConfigIndex {
		reply.Changes = []state.Change{{Index: server.Revision, Server: &server}}
	}
}
