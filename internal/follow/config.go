package follow

import (
	"maps"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
)

// Config is a copy of the configuration at one index. It is safe for concurrent use.
//
// For each object the copy keeps the state with the highest revision, regardless of the order
// in which changes arrive. Objects are never removed from the configuration, only retired, so a
// change that is delivered late, twice or by a lagging control instance has no effect.
type Config struct {
	mu        sync.RWMutex
	index     uint64
	contracts map[string]contract.Contract
	byKeyHash map[string]string
	models    map[string]struct{}
	adapters  *catalogue.Table
	services  map[string]catalogue.Service
	servers   map[string]state.Server
	suspects  map[suspicion.Fingerprint]suspicion.Record
}

// NewConfig returns an empty copy at index 0.
func NewConfig() *Config {
	return &Config{
		contracts: make(map[string]contract.Contract),
		byKeyHash: make(map[string]string),
		models:    make(map[string]struct{}),
		adapters:  catalogue.NewTable(),
		services:  make(map[string]catalogue.Service),
		servers:   make(map[string]state.Server),
		suspects:  make(map[suspicion.Fingerprint]suspicion.Record),
	}
}

// Index returns the index of the copy: every change up to it is applied.
func (c *Config) Index() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.index
}

// Merge applies changes without advancing the index, as for parts of a snapshot.
func (c *Config) Merge(changes []state.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		c.merge(change)
	}
}

// Apply applies changes and advances the index to the given one. The index never decreases.
func (c *Config) Apply(changes []state.Change, index uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		c.merge(change)
	}
	c.index = max(c.index, index)
}

func (c *Config) merge(change state.Change) {
	switch {
	case change.Contract != nil:
		c.putContract(*change.Contract)
	case change.Model != nil:
		c.models[change.Model.Name] = struct{}{}
	case change.Adapter != nil:
		c.adapters.Put(*change.Adapter)
	case change.Service != nil && change.Service.Revision > c.services[change.Service.Name].Revision:
		c.services[change.Service.Name] = *change.Service
	case change.Server != nil && change.Server.Revision > c.servers[change.Server.Name].Revision:
		c.servers[change.Server.Name] = *change.Server
	case len(change.Suspects) > 0:
		c.putSuspects(change.Suspects)
	}
}

// maxSuspects is the number of records above which expired ones are dropped.
const maxSuspects = 1024

func (c *Config) putSuspects(records []suspicion.Record) {
	for _, r := range records {
		if r.Revision > c.suspects[r.Fingerprint].Revision {
			c.suspects[r.Fingerprint] = r
		}
	}
	if len(c.suspects) < maxSuspects {
		return
	}
	now := time.Now()
	maps.DeleteFunc(c.suspects, func(_ suspicion.Fingerprint, r suspicion.Record) bool { return !r.Restricted(now) })
}

// Suspect reports whether the request with this fingerprint is a suspect: it was in flight at a
// backend server that crashed.
func (c *Config) Suspect(fingerprint suspicion.Fingerprint, now time.Time) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	r, known := c.suspects[fingerprint]
	return known && r.Restricted(now)
}

func (c *Config) putContract(next contract.Contract) {
	known := c.contracts[next.ID]
	if next.Revision <= known.Revision {
		return
	}
	for _, hash := range known.KeyHashes {
		if c.byKeyHash[hash] == next.ID {
			delete(c.byKeyHash, hash)
		}
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
	return contract.DigestKey(key).String()
}

// ContractByKey returns the contract of a caller's key. The lookup uses the digest, so its
// timing reveals nothing about the key.
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

// Contract returns a contract by ID, including retired ones.
func (c *Config) Contract(id string) (contract.Contract, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	found, ok := c.contracts[id]
	return found, ok
}

// Adapter returns an adapter version that is not retired.
func (c *Config) Adapter(ref catalogue.Ref) (catalogue.Adapter, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	adapter, ok := c.adapters.Get(ref)
	return adapter, ok && !adapter.Retired
}

// Service returns a plain service.
func (c *Config) Service(name string) (catalogue.Service, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	service, ok := c.services[name]
	return service, ok
}

// Wanted returns the state that operators want a backend server to be in.
func (c *Config) Wanted(server string) state.Wanted {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if known, ok := c.servers[server]; ok {
		return known.Wanted
	}
	return state.WantedServing
}
