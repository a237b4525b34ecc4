package control

import (
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

const (
	// batchInterval is the least time between two showings of changes to
	// daemons. A change after a quiet time is shown at once. In an import of
	// very many objects, each change alone would wake every daemon.
	batchInterval = 50 * time.Millisecond
	// packFrom is the number of changes from which on they are sent packed.
	packFrom = 8
	// packRatio is about how much less packed changes are than plain ones:
	// 5 to 15 for adapters, 3 for contracts.
	packRatio = 3
	// maxPackedTails bounds the packed changes kept for daemons that stand at
	// the same index.
	maxPackedTails = 8
)

var (
	tailPackedCount = telemetry.Counter("control_tails_packed")
	tailSharedCount = telemetry.Counter("control_tails_shared")
)

// showing decides which changes daemons are told of, and when.
type showing struct {
	// visible is the config index that daemons are brought to.
	visible uint64
	last    time.Time
	pending bool
	packed  []packedTail
}

type packedTail struct {
	from, to uint64
	data     []byte
}

// show makes the machine's changes visible, now or with the next batch. The
// caller holds mu.
func (c *Control) show(now time.Time) {
	if c.showing.pending {
		return
	}
	next := c.showing.last.Add(batchInterval)
	if now.Before(next) {
		c.showing.pending = true
		time.AfterFunc(next.Sub(now), c.showBatch)
		return
	}
	c.showNow(now)
}

func (c *Control) showBatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.showing.pending = false
	c.showNow(time.Now())
}

func (c *Control) showNow(now time.Time) {
	c.showing.visible = c.machine.ConfigIndex()
	c.showing.last = now
	c.configChanged = wake(c.configChanged)
}

// addTail adds the changes that are visible, as many as a message may hold. The
// caller holds mu.
func (c *Control) addTail(reply *wire.WatchReply, changes []tailChange) error {
	changes = c.messageOf(changes)
	if len(changes) == 0 {
		return nil
	}
	tailSentCount.Add(int64(len(changes)))
	from := reply.ConfigIndex
	reply.ConfigIndex = changes[len(changes)-1].Index
	plain := make([]state.Change, len(changes))
	for i, change := range changes {
		plain[i] = change.Change
	}
	if len(changes) < packFrom {
		reply.Changes = plain
		return nil
	}
	packed, err := c.packTail(from, reply.ConfigIndex, plain)
	reply.Packed = packed
	return err
}

// messageOf returns the first visible changes that fit into one message.
func (c *Control) messageOf(changes []tailChange) []tailChange {
	bytes := 0
	for i, change := range changes {
		limit := c.options.MessageBytes
		if i >= packFrom {
			limit *= packRatio
		}
		bytes += change.bytes
		if change.Index > c.showing.visible || i > 0 && bytes > limit {
			return changes[:i]
		}
	}
	return changes
}

// packTail packs changes once for all daemons that stand at the same index.
func (c *Control) packTail(from, to uint64, changes []state.Change) ([]byte, error) {
	known := slices.IndexFunc(c.showing.packed, func(p packedTail) bool { return p.from == from && p.to == to })
	if known >= 0 {
		tailSharedCount.Add(1)
		return c.showing.packed[known].data, nil
	}
	data, err := wire.Pack(changes)
	if err != nil {
		return nil, err
	}
	tailPackedCount.Add(1)
	if len(c.showing.packed) >= maxPackedTails {
		c.showing.packed = c.showing.packed[1:]
	}
	c.showing.packed = append(c.showing.packed, packedTail{from: from, to: to, data: data})
	return data, nil
}
