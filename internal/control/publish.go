package control

import (
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

const (
	// batchInterval is the minimum time between two publications of changes to
	// daemons. A change after a longer time without changes is published
	// immediately. Without batches, each change in an import of very many objects
	// would wake every daemon.
	batchInterval = 50 * time.Millisecond
	// minPackedChanges is the minimum number of changes that are sent packed.
	minPackedChanges = 8
	// packRatio is a conservative estimate of the compression ratio of packed
	// changes: 5 to 15 for adapters, 3 for contracts.
	packRatio = 3
	// maxPackedTails bounds the packed tails kept for daemons that are at the
	// same index.
	maxPackedTails = 8
)

var (
	tailPackedCount = telemetry.Counter("control_tails_packed")
	tailSharedCount = telemetry.Counter("control_tails_shared")
)

// publication holds which changes are visible to daemons and when they were last
// published.
type publication struct {
	// visible is the config index up to which changes are sent to daemons.
	visible uint64
	last    time.Time
	pending bool
	packed  []packedTail
}

type packedTail struct {
	from, to uint64
	data     []byte
}

// publish makes the state machine's changes visible to daemons, immediately or with
// the next batch. The caller holds mu.
func (c *Control) publish(now time.Time) {
	if c.publication.pending {
		return
	}
	next := c.publication.last.Add(batchInterval)
	if now.Before(next) {
		c.publication.pending = true
		time.AfterFunc(next.Sub(now), c.publishBatch)
		return
	}
	c.publishNow(now)
}

func (c *Control) publishBatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publication.pending = false
	c.publishNow(time.Now())
}

func (c *Control) publishNow(now time.Time) {
	c.publication.visible = c.machine.ConfigIndex()
	c.publication.last = now
	c.configChanged = wake(c.configChanged)
}

// addTail adds visible changes, as many as fit into one message. The caller holds mu.
func (c *Control) addTail(reply *wire.WatchReply, changes []tailChange) error {
	changes = c.limitChanges(changes)
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
	if len(changes) < minPackedChanges {
		reply.Changes = plain
		return nil
	}
	packed, err := c.packTail(from, reply.ConfigIndex, plain)
	reply.Packed = packed
	return err
}

// limitChanges returns the first visible changes that fit into one message. The first
// one is included regardless of its size.
func (c *Control) limitChanges(changes []tailChange) []tailChange {
	bytes := 0
	for i, change := range changes {
		limit := c.options.MessageBytes
		if i >= minPackedChanges {
			limit *= packRatio
		}
		bytes += change.bytes
		if change.Index > c.publication.visible || i > 0 && bytes > limit {
			return changes[:i]
		}
	}
	return changes
}

// packTail packs changes once for all daemons that are at the same index.
func (c *Control) packTail(from, to uint64, changes []state.Change) ([]byte, error) {
	cached := slices.IndexFunc(c.publication.packed, func(p packedTail) bool { return p.from == from && p.to == to })
	if cached >= 0 {
		tailSharedCount.Add(1)
		return c.publication.packed[cached].data, nil
	}
	data, err := wire.Pack(changes)
	if err != nil {
		return nil, err
	}
	tailPackedCount.Add(1)
	if len(c.publication.packed) >= maxPackedTails {
		c.publication.packed = c.publication.packed[1:]
	}
	c.publication.packed = append(c.publication.packed, packedTail{from: from, to: to, data: data})
	return data, nil
}
