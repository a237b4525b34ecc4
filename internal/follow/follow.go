// Package follow keeps a daemon's copy of the configuration and the directory
// of backend servers up to date from the control instances.
package follow

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Config is a copy of the configuration at one index. It is safe for
// concurrent use and never steps back to a lower index.
type Config struct {
	mu        sync.RWMutex
	index     uint64
	contracts map[string]contract.Contract
	byKeyHash map[string]string
	adapters  map[catalogue.Ref]catalogue.Adapter
	services  map[string]catalogue.Service
}

// NewConfig returns an empty copy at index 0.
func NewConfig() *Config {
	c := &Config{}
	c.reset()
	return c
}

func (c *Config) reset() {
	c.contracts = make(map[string]contract.Contract)
	c.byKeyHash = make(map[string]string)
	c.adapters = make(map[catalogue.Ref]catalogue.Adapter)
	c.services = make(map[string]catalogue.Service)
}

// Index is the index that the copy stands at.
func (c *Config) Index() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.index
}

// Apply takes a reply into account. A reply that would step back, from a
// control instance that lags, is ignored.
func (c *Config) Apply(reply wire.WatchReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.ConfigIndex <= c.index {
		return
	}
	if reply.Snapshot {
		c.reset()
	}
	for _, change := range reply.Changes {
		c.apply(change)
	}
	c.index = reply.ConfigIndex
}

func (c *Config) apply(change state.Change) {
	switch {
	case change.Contract != nil:
		c.putContract(*change.Contract)
	case change.Adapter != nil && change.Adapter.Retired:
		delete(c.adapters, change.Adapter.Ref)
	case change.Adapter != nil:
		c.adapters[change.Adapter.Ref] = *change.Adapter
	case change.Service != nil:
		c.services[change.Service.Name] = *change.Service
	}
}

func (c *Config) putContract(next contract.Contract) {
	for _, hash := range c.contracts[next.ID].KeyHashes {
		delete(c.byKeyHash, hash)
	}
	c.contracts[next.ID] = next
	if next.Retired {
		return
	}
	for _, hash := range next.KeyHashes {
		c.byKeyHash[hash] = next.ID
	}
}

// HashKey returns the stored form of a caller's or operator's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ContractByKey finds the contract of a caller's key. The look-up is by
// digest, so its timing tells nothing about the key.
func (c *Config) ContractByKey(key string) (contract.Contract, bool) {
	hash := HashKey(key)
	c.mu.RLock()
	defer c.mu.RUnlock()
	id, ok := c.byKeyHash[hash]
	if !ok {
		return contract.Contract{}, false
	}
	return c.contracts[id], true
}

// Adapter finds an adapter version.
func (c *Config) Adapter(ref catalogue.Ref) (catalogue.Adapter, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	adapter, ok := c.adapters[ref]
	return adapter, ok
}

// Service finds a plain service.
func (c *Config) Service(name string) (catalogue.Service, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	service, ok := c.services[name]
	return service, ok
}

// Options configure a follower.
type Options struct {
	// Daemon names the follower to the control instances.
	Daemon string
	// Peers are the control instances' addresses.
	Peers []string
	// PollWait is how long one poll may wait for news.
	PollWait time.Duration
	// RetryDelay is the pause after a failed poll.
	RetryDelay time.Duration
}

const (
	defaultPollWait   = 5 * time.Second
	defaultRetryDelay = 200 * time.Millisecond
	// pollSlack is how much longer than its wait a poll may take before its
	// control instance counts as cut off.
	pollSlack = 2 * time.Second
)

// Follower polls control instances, one at a time, and moves to the next when
// a poll fails.
type Follower struct {
	options Options
	log     *zap.Logger
	config  *Config
	servers atomic.Pointer[[]membership.Announcement]
	epoch   uint64
	version uint64
}

// New returns a follower that has not polled yet.
func New(options Options, log *zap.Logger) *Follower {
	if options.PollWait == 0 {
		options.PollWait = defaultPollWait
	}
	if options.RetryDelay == 0 {
		options.RetryDelay = defaultRetryDelay
	}
	f := &Follower{options: options, log: log, config: NewConfig()}
	f.servers.Store(&[]membership.Announcement{})
	return f
}

// Config is the followed configuration.
func (f *Follower) Config() *Config { return f.config }

// Servers is the last known directory. The slice must not be changed.
func (f *Follower) Servers() []membership.Announcement { return *f.servers.Load() }

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for next := 0; ctx.Err() == nil; next++ {
		peer := f.options.Peers[next%len(f.options.Peers)]
		f.followPeer(ctx, peer)
		sleep(ctx, f.options.RetryDelay)
	}
}

func (f *Follower) followPeer(ctx context.Context, peer string) {
	client := rpc.NewClient(peer)
	defer client.Close()
	for ctx.Err() == nil {
		if err := f.poll(ctx, client); err != nil {
			if ctx.Err() == nil {
				f.log.Info("control instance lost", zap.String("peer", peer), zap.Error(err))
			}
			return
		}
	}
}

func (f *Follower) poll(ctx context.Context, client *rpc.Client) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.PollWait+pollSlack)
	defer cancel()
	watch := wire.Watch{
		Daemon:           f.options.Daemon,
		ConfigIndex:      f.config.Index(),
		DirectoryEpoch:   f.epoch,
		DirectoryVersion: f.version,
		WaitMillis:       f.options.PollWait.Milliseconds(),
	}
	var reply wire.WatchReply
	if err := client.Call(ctx, wire.MethodWatch, watch, &reply); err != nil {
		return err
	}
	f.config.Apply(reply)
	if reply.DirectoryEpoch != f.epoch || reply.DirectoryVersion != f.version {
		f.servers.Store(&reply.Directory)
		f.epoch, f.version = reply.DirectoryEpoch, reply.DirectoryVersion
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
