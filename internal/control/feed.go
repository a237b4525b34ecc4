package control

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	watchCount         = telemetry.Counter("control_watches")
	tailSentCount      = telemetry.Counter("control_changes_sent")
	pageSentCount      = telemetry.Counter("control_snapshot_pages_sent")
	snapshotBuiltCount = telemetry.Counter("control_snapshots_built")
)

// snapshotPageChanges is how many objects one page of a snapshot holds.
const snapshotPageChanges = 4096

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

// pages is a snapshot in packed pages. It is kept and sent with the tail that
// follows it, because building it costs far more than a page.
type pages struct {
	index uint64
	data  [][]byte
	bytes int
}

func buildPages(machine *state.Machine) (*pages, error) {
	snapshotBuiltCount.Add(1)
	built := &pages{index: machine.ConfigIndex()}
	for chunk := range slices.Chunk(machine.Snapshot(), snapshotPageChanges) {
		data, err := wire.Pack(chunk)
		if err != nil {
			return nil, err
		}
		built.data = append(built.data, data)
		built.bytes += len(data)
	}
	return built, nil
}

// snapshotPages returns the kept pages while the tail after them is short. The
// caller holds mu.
func (c *Control) snapshotPages() (*pages, error) {
	if c.pages != nil {
		_, bytes, reaches := c.tail.after(c.pages.index)
		if reaches && bytes <= max(c.pages.bytes, c.options.MessageBytes) {
			return c.pages, nil
		}
	}
	built, err := buildPages(c.machine)
	if err != nil {
		return nil, err
	}
	c.pages = built
	return built, nil
}

// watch answers a long poll.
func (c *Control) watch(ctx context.Context, in wire.Watch) (wire.WatchReply, error) {
	watchCount.Add(1)
	arrived := time.Now()
	wait := min(time.Duration(in.WaitMillis)*time.Millisecond, maxPollWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
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
	case in.Scope == wire.ScopeServer:
		c.addServer(reply, in)
		return nil
	case in.ConfigIndex >= c.machine.ConfigIndex():
		return nil
	case in.ConfigIndex == 0:
		return c.addPage(reply, in)
	}
	changes, bytes, reaches := c.tail.after(in.ConfigIndex)
	if reaches && c.tailIsLess(bytes) {
		c.addTail(reply, changes)
		return nil
	}
	return c.addPage(reply, in)
}

func (c *Control) tailIsLess(bytes int) bool {
	if bytes <= c.options.MessageBytes {
		return true
	}
	built, err := c.snapshotPages()
	if err != nil {
		return true
	}
	_, rest, _ := c.tail.after(built.index)
	return bytes <= built.bytes+rest
}

func (c *Control) addTail(reply *wire.WatchReply, changes []tailChange) {
	bytes := 0
	for _, change := range changes {
		if bytes > 0 && bytes+change.bytes > c.options.MessageBytes {
			return
		}
		bytes += change.bytes
		reply.Changes = append(reply.Changes, change.Change)
		reply.ConfigIndex = change.Index
		tailSentCount.Add(1)
	}
}

func (c *Control) addPage(reply *wire.WatchReply, in wire.Watch) error {
	built, err := c.snapshotPages()
	if err != nil {
		return err
	}
	page := 0
	if in.SnapshotIndex == built.index && in.SnapshotPage < len(built.data) {
		page = in.SnapshotPage
	}
	reply.Snapshot = &wire.SnapshotPage{
		Index:   built.index,
		Page:    page,
		Last:    page == len(built.data)-1,
		Changes: built.data[page],
	}
	pageSentCount.Add(1)
	return nil
}

// addServer tells an agent the wanted state of its own server. The agent
// confirms every index, so that operators can wait for it too.
func (c *Control) addServer(reply *wire.WatchReply, in wire.Watch) {
	if in.ConfigIndex >= c.machine.ConfigIndex() {
		return
	}
	reply.ConfigIndex = c.machine.ConfigIndex()
	if server, found := c.machine.Server(in.Server); found && server.Revision > in.ConfigIndex {
		reply.Changes = []state.Change{{Index: server.Revision, Server: &server}}
	}
}
