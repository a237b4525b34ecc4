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

// snapshotPageChanges is how many objects one page of a snapshot holds.
const snapshotPageChanges = 4096

// pages is a snapshot in packed pages. It is kept and sent with the tail that
// follows it, because building it costs far more than a page.
type pages struct {
	index uint64
	data  [][]byte
	bytes int
}

// pageBuilder lets one poll build pages while the others that need them wait.
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

// preparePages builds pages when the daemon needs some and the kept ones are
// too old. Packing takes long at many adapters, so that it is done without
// holding mu: neither announcements nor changes wait for it.
func (c *Control) preparePages(in wire.Watch) error {
	if !c.lacksPages(in) {
		return nil
	}
	c.builder.Lock()
	defer c.builder.Unlock()
	if !c.lacksPages(in) {
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

func (c *Control) lacksPages(in wire.Watch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in.Scope == wire.ScopeServer || in.ConfigIndex >= c.showing.visible {
		return false
	}
	_, bytes, reaches := c.tail.after(in.ConfigIndex)
	needed := in.ConfigIndex == 0 || !reaches || bytes > c.options.MessageBytes
	return needed && !c.pagesUsable()
}

// pagesUsable reports whether the kept pages with the tail after them are a
// short way to the present. The caller holds mu.
func (c *Control) pagesUsable() bool {
	if c.pages == nil {
		return false
	}
	_, bytes, reaches := c.tail.after(c.pages.index)
	return reaches && bytes/packRatio <= max(c.pages.bytes, c.options.MessageBytes)
}

// wantsPages reports whether a snapshot is less than the tail after an index.
// The caller holds mu.
func (c *Control) wantsPages(index uint64) bool {
	_, bytes, reaches := c.tail.after(index)
	if index == 0 || !reaches {
		return true
	}
	if bytes <= c.options.MessageBytes || c.pages == nil || c.pages.index <= index {
		return false
	}
	_, rest, _ := c.tail.after(c.pages.index)
	return bytes/packRatio > c.pages.bytes+rest/packRatio
}

// addPage adds the page that the daemon asks for, or the first one when the
// daemon has not begun to read these pages. The caller holds mu.
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
