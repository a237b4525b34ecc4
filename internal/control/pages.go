package control

import (
	"slices"
	"sync"

	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	pageSentCount      = telemetry.Counter("control_snapshot_pages_sent")
	snapshotBuiltCount = telemetry.Counter("control_snapshots_built")
)

// snapshotPageChanges is the number of objects in one page of a snapshot.
const snapshotPageChanges = 4096

// pages is a snapshot in packed pages. It is reused and complemented by the tail of
// changes after it, because building a snapshot costs far more than sending a page.
type pages struct {
	index uint64
	data  [][]byte
	bytes int
}

// pageBuilder serializes building pages: one poll builds them while the other polls
// that need them wait.
type pageBuilder struct{ sync.Mutex }

func buildPages(frozen state.Frozen) (*pages, error) {
	snapshotBuiltCount.Add(1)
	built := &pages{index: frozen.ConfigIndex()}
	for chunk := range slices.Chunk(frozen.Snapshot(), snapshotPageChanges) {
		data, err := wire.Pack(chunk)
		if err != nil {
			return nil, err
		}
		built.data = append(built.data, data)
		built.bytes += len(data)
	}
	return built, nil
}

// preparePages builds pages if the daemon needs a snapshot and the existing pages
// are too old. Packing takes long with many adapters, so it is done without holding
// mu: neither announcements nor changes are delayed by it.
func (c *Control) preparePages(in wire.Watch) error {
	if !c.needsNewPages(in) {
		return nil
	}
	c.builder.Lock()
	defer c.builder.Unlock()
	if !c.needsNewPages(in) {
		return nil
	}
	c.mu.Lock()
	frozen := c.machine.Freeze()
	c.mu.Unlock()
	built, err := buildPages(frozen)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pages = built
	return nil
}

// needsNewPages reports whether the daemon needs a snapshot for which the existing
// pages cannot be used.
func (c *Control) needsNewPages(in wire.Watch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in.Scope == wire.ScopeServer || in.ConfigIndex >= c.publication.visible {
		return false
	}
	_, bytes, covered := c.tail.after(in.ConfigIndex)
	needed := in.ConfigIndex == 0 || !covered || bytes > c.options.MessageBytes
	return needed && !c.pagesUsable()
}

// pagesUsable reports whether the tail reaches back to the existing pages and its
// packed size is at most that of the pages or of one message, whichever is larger.
// The caller holds mu.
func (c *Control) pagesUsable() bool {
	if c.pages == nil {
		return false
	}
	_, bytes, covered := c.tail.after(c.pages.index)
	return covered && bytes/packRatio <= max(c.pages.bytes, c.options.MessageBytes)
}

// prefersPages reports whether a snapshot is smaller than the tail after an index, or
// is required because the tail does not reach back to the index. The caller holds mu.
func (c *Control) prefersPages(index uint64) bool {
	_, bytes, covered := c.tail.after(index)
	if index == 0 || !covered {
		return true
	}
	if bytes <= c.options.MessageBytes || c.pages == nil || c.pages.index <= index {
		return false
	}
	_, rest, _ := c.tail.after(c.pages.index)
	return bytes/packRatio > c.pages.bytes+rest/packRatio
}

// addPage adds the page that the daemon requests, or the first page if the daemon has
// not started reading this snapshot. The caller holds mu.
func (c *Control) addPage(reply *wire.WatchReply, in wire.Watch) {
	if c.pages == nil {
		return
	}
	page := 0
	if in.SnapshotIndex == c.pages.index && in.SnapshotPage < len(c.pages.data) {
		page = in.SnapshotPage
	}
	reply.Snapshot = &wire.SnapshotPage{
		Index:   c.pages.index,
		Page:    page,
		Last:    page == len(c.pages.data)-1,
		Changes: c.pages.data[page],
	}
	pageSentCount.Add(1)
}
