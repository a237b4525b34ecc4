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

// tail holds the last changes for daemons that fall behind.
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
		panic("control: a change cannot be encoded: " + err.Error())
	}
	t.changes = append(t.changes, tailChange{Change: change, bytes: len(data)})
	if excess := len(t.changes) - t.limit; excess > 0 {
		t.start = t.changes[excess-1].Index
		t.changes = slices.Delete(t.changes, 0, excess)
	}
}

// restart forgets the changes; daemons behind index need a snapshot.
func (t *tail) restart(index uint64) {
	t.changes, t.start = nil, index
}

// after returns the changes after an index and their size in bytes, or false
// when the tail does not reach back that far.
func (t *tail) after(index uint64) (changes []tailChange, bytes int, reaches bool) {
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

// watch answers a long poll.
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
		reply, news, err := c.reply(in, arrived)
		if err != nil || news.have {
			return reply, err
		}
		select {
		case <-news.config:
		case <-news.directory:
		case <-timer.C:
			reply, _, err = c.reply(in, arrived)
			return reply, err
		case <-ctx.Done():
			return wire.WatchReply{}, ctx.Err()
		}
	}
}

// Bounds of what a daemon says of itself; control remembers it for each.
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

// news says whether a reply holds any, or else what to wait for.
type news struct {
	have              bool
	config, directory <-chan struct{}
}

func (c *Control) reply(in wire.Watch, arrived time.Time) (wire.WatchReply, news, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons.seen(in, time.Now())
	reply := wire.WatchReply{ConfigIndex: in.ConfigIndex, Standing: c.standing(arrived)}
	more := news{config: c.configChanged}
	if err := c.addConfig(&reply, in); err != nil {
		return reply, more, err
	}
	more.have = reply.ConfigIndex > in.ConfigIndex || reply.Snapshot != nil
	if in.Scope == wire.ScopeServer {
		return reply, more, nil
	}
	more.directory = c.directoryChanged
	if in.DirectoryEpoch == c.directory.Epoch() && in.DirectoryVersion == c.directory.Version() {
		return reply, more, nil
	}
	data, err := c.directory.delta(in.DirectoryEpoch, in.DirectoryVersion, time.Now())
	reply.Directory, more.have = data, true
	return reply, more, err
}

// addConfig adds what brings the daemon further: the tail or a page of a
// snapshot, whichever is less. A daemon that is ahead of this instance gets
// nothing.
func (c *Control) addConfig(reply *wire.WatchReply, in wire.Watch) error {
	switch {
	case in.ConfigIndex >= c.showing.visible:
	case in.Scope == wire.ScopeServer:
		c.addServer(reply, in)
	case c.wantsPages(in.ConfigIndex):
		c.addPage(reply, in)
	default:
		changes, _, _ := c.tail.after(in.ConfigIndex)
		return c.addTail(reply, changes)
	}
	return nil
}

// addServer tells an agent the wanted state of its own server. The agent
// confirms every index, so that operators can wait for it too.
func (c *Control) addServer(reply *wire.WatchReply, in wire.Watch) {
	reply.ConfigIndex = c.showing.visible
	if server, found := c.machine.Server(in.Server); found && server.Revision > in.ConfigIndex {
		reply.Changes = []state.Change{{Index: server.Revision, Server: &server}}
	}
}
