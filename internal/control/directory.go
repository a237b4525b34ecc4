package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	announcedCount       = telemetry.Counter("control_announcements")
	announceRefusedCount = telemetry.Counter("control_announcements_refused")
	announceStaleCount   = telemetry.Counter("control_announcements_stale")
	directoryPackedCount = telemetry.Counter("control_directory_deltas_packed")
	directorySharedCount = telemetry.Counter("control_directory_deltas_shared")
)

// maxPackedDeltas bounds the packed deltas kept for daemons that are at the same version.
const maxPackedDeltas = 8

// directoryFeed is the directory with a cache of the packed deltas that daemons
// requested last. Most daemons are at the same version, so a delta is packed once
// and sent to all of them.
type directoryFeed struct {
	*membership.Directory
	packed []packedDelta
}

type packedDelta struct {
	epoch, since, version uint64
	data                  []byte
}

func newDirectoryFeed(options Options, now time.Time) *directoryFeed {
	// The epoch is taken from the clock, so that it differs from the epochs of
	// all other instances and from that of this instance before a restart.
	epoch := uint64(now.UnixNano())
	return &directoryFeed{Directory: membership.NewDirectory(membership.Options{
		Lease:      options.ServerLease,
		MaxServers: options.MaxServers,
	}, epoch, now)}
}

// delta returns the packed delta since a version. The caller holds Control.mu.
func (f *directoryFeed) delta(epoch, since uint64, now time.Time) ([]byte, error) {
	for _, cached := range f.packed {
		if cached.epoch == epoch && cached.since == since && cached.version == f.Version() {
			directorySharedCount.Add(1)
			return cached.data, nil
		}
	}
	data, err := wire.Pack(f.Delta(epoch, since, now))
	if err != nil {
		return nil, err
	}
	directoryPackedCount.Add(1)
	if len(f.packed) >= maxPackedDeltas {
		f.packed = f.packed[1:]
	}
	f.packed = append(f.packed, packedDelta{epoch: epoch, since: since, version: f.Version(), data: data})
	return data, nil
}

func (c *Control) announce(_ context.Context, in wire.Announce) (wire.AnnounceReply, error) {
	announcedCount.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.directory.Version()
	err := c.directory.Announce(in.Announcement, time.Now())
	if errors.Is(err, membership.ErrStale) {
		announceStaleCount.Add(1)
		return wire.AnnounceReply{Accepted: false}, nil
	}
	if err != nil {
		announceRefusedCount.Add(1)
		return wire.AnnounceReply{}, err
	}
	c.wakeDirectory(before)
	return wire.AnnounceReply{Accepted: true}, nil
}

func (c *Control) wakeDirectory(before uint64) {
	if c.directory.Version() != before {
		c.directoryChanged = wake(c.directoryChanged)
	}
}

// runDirectory expires servers every expiryInterval and publishes load reports
// every LoadInterval.
func (c *Control) runDirectory(ctx context.Context) {
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	loads := time.NewTicker(c.options.LoadInterval)
	defer loads.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-expiry.C:
			c.changeDirectory(now, (*membership.Directory).Expire)
		case now := <-loads.C:
			c.changeDirectory(now, (*membership.Directory).Publish)
		}
	}
}

func (c *Control) changeDirectory(now time.Time, change func(*membership.Directory, time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.directory.Version()
	change(c.directory.Directory, now)
	c.wakeDirectory(before)
}
