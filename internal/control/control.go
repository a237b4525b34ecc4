// Package control is the role on the few instances with a disk: it holds the
// durable state, the directory of backend servers and the operators' interface.
package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Options configure a control instance.
type Options struct {
	// ServerLease is how long a server stays listed after its last announcement.
	ServerLease time.Duration
	// OperatorKeyHashes are hex SHA-256 digests of operators' keys.
	OperatorKeyHashes []string
	// TailLength is how many changes are kept for daemons that fall behind;
	// one further behind gets a snapshot.
	TailLength int
}

const (
	defaultServerLease = 2500 * time.Millisecond
	defaultTailLength  = 1024
	expiryInterval     = 250 * time.Millisecond
	maxPollWait        = 30 * time.Second
)

// Control is one control instance.
type Control struct {
	options Options
	log     *zap.Logger
	durable Log

	mu        sync.Mutex
	machine   *state.Machine
	tail      []state.Change
	directory *membership.Directory
	servers   []membership.Announcement
	epoch     uint64
	version   uint64
	changed   chan struct{}
}

// New returns a control instance with empty state.
func New(options Options, log *zap.Logger) *Control {
	if options.ServerLease == 0 {
		options.ServerLease = defaultServerLease
	}
	if options.TailLength == 0 {
		options.TailLength = defaultTailLength
	}
	c := &Control{
		options:   options,
		log:       log,
		machine:   state.NewMachine(),
		directory: membership.NewDirectory(options.ServerLease),
		epoch:     uint64(time.Now().UnixNano()),
		changed:   make(chan struct{}),
	}
	c.durable = &localLog{control: c}
	return c
}

// Handlers returns the JSON-RPC methods that daemons call.
func (c *Control) Handlers() map[string]rpc.Handler {
	return map[string]rpc.Handler{
		wire.MethodAnnounce: rpc.Typed(c.announce),
		wire.MethodWatch:    rpc.Typed(c.watch),
	}
}

// Run expires servers until ctx ends.
func (c *Control) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.refreshDirectory(now)
		}
	}
}

func (c *Control) appendTail(change state.Change) {
	c.tail = append(c.tail, change)
	if excess := len(c.tail) - c.options.TailLength; excess > 0 {
		c.tail = slices.Delete(c.tail, 0, excess)
	}
}

// Contract reads a contract.
func (c *Control) Contract(id string) (contract.Contract, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Contract(id)
}

// Servers reads the directory.
func (c *Control) Servers() []membership.Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.servers)
}

// notify wakes every waiting poll. The caller holds mu.
func (c *Control) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Control) announce(_ context.Context, in wire.Announce) (wire.AnnounceReply, error) {
	if in.Announcement.Server == "" {
		return wire.AnnounceReply{}, errors.New("an announcement needs a server")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted := c.directory.Announce(in.Announcement, time.Now())
	if accepted {
		c.publishDirectory(time.Now())
	}
	return wire.AnnounceReply{Accepted: accepted}, nil
}

func (c *Control) refreshDirectory(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.directory.Live(now)) != len(c.servers) {
		c.publishDirectory(now)
	}
}

// publishDirectory makes the current directory visible to polls. The caller holds mu.
func (c *Control) publishDirectory(now time.Time) {
	c.servers = c.directory.Live(now)
	c.version++
	c.notify()
}

func (c *Control) watch(ctx context.Context, in wire.Watch) (wire.WatchReply, error) {
	wait := min(time.Duration(in.WaitMillis)*time.Millisecond, maxPollWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		reply, news, changed := c.delta(in)
		if news {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return wire.WatchReply{}, ctx.Err()
		}
	}
}

func (c *Control) delta(in wire.Watch) (wire.WatchReply, bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := wire.WatchReply{
		ConfigIndex:      c.machine.ConfigIndex(),
		DirectoryEpoch:   c.epoch,
		DirectoryVersion: c.version,
	}
	configNews := in.ConfigIndex < reply.ConfigIndex
	if configNews {
		reply.Changes, reply.Snapshot = c.changesAfter(in.ConfigIndex)
	}
	directoryNews := in.DirectoryEpoch != c.epoch || in.DirectoryVersion != c.version
	if directoryNews {
		reply.Directory = c.servers
	}
	return reply, configNews || directoryNews, c.changed
}

// changesAfter returns the tail after an index, or a snapshot when the tail no
// longer reaches back that far.
func (c *Control) changesAfter(index uint64) (changes []state.Change, snapshot bool) {
	oldest := c.machine.ConfigIndex() + 1
	if len(c.tail) > 0 {
		oldest = c.tail[0].Index
	}
	if index == 0 || index+1 < oldest {
		return c.machine.Snapshot(), true
	}
	from, _ := slices.BinarySearchFunc(c.tail, index+1, func(change state.Change, at uint64) int {
		return int(change.Index) - int(at)
	})
	return slices.Clone(c.tail[from:]), false
}
