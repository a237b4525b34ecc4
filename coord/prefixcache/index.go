package prefixcache

import "container/list"

// Options bounds an Index. Zero values select the defaults.
type Options struct {
	// Blocks is the maximum number of blocks remembered per server; the least
	// recently recorded block is evicted first.
	Blocks int
	// Total is the maximum number of blocks remembered for all servers together,
	// divided evenly among them. Without it, an entry with 600 servers would use
	// hundreds of megabytes.
	Total int
	// Lifetime is the number of the viewer's own dispatches to the server for
	// which a block is trusted after it was last recorded.
	Lifetime uint64
	// DoubtLifetime is the same limit for blocks recorded before a gap in the
	// server's events or a restart of its engine, counted from that gap or
	// restart.
	DoubtLifetime uint64
}

const (
	defaultBlocks        = 4096
	defaultTotal         = 20 * defaultBlocks
	defaultLifetime      = 512
	defaultDoubtLifetime = 32
)

// Event is one report of an engine's prefix cache.
type Event struct {
	Server string
	// Epoch increases with each start of the engine, Sequence by one with each
	// event of an epoch.
	Epoch, Sequence uint64
	Stored, Removed []Block
}

// Index is one viewer's estimate of the contents of the engines' caches. It is
// not safe for concurrent use.
type Index struct {
	options Options
	servers map[string]*cache
}

// NewIndex returns an empty index.
func NewIndex(options Options) *Index {
	setDefault(&options.Blocks, defaultBlocks)
	setDefault(&options.Total, defaultTotal)
	setDefault(&options.Lifetime, defaultLifetime)
	setDefault(&options.DoubtLifetime, defaultDoubtLifetime)
	return &Index{options: options, servers: make(map[string]*cache)}
}

func setDefault[T int | uint64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Dispatched records that a request with this chain was sent to a server.
func (x *Index) Dispatched(server string, chain []Block) {
	c, known := x.servers[server]
	if !known {
		c = newCache()
		x.servers[server] = c
		x.trimAll()
	}
	c.dispatches++
	c.record(chain, x.options.Lifetime, x.limit())
	c.expire()
}

// limit returns the maximum number of blocks per server.
func (x *Index) limit() int { return min(x.options.Blocks, x.options.Total/len(x.servers)) }

// trimAll trims every server to its share of the total, which shrinks with each
// new server.
func (x *Index) trimAll() {
	for _, c := range x.servers {
		c.trim(x.limit())
	}
}

// Len returns the number of blocks remembered for all servers.
func (x *Index) Len() int {
	total := 0
	for _, c := range x.servers {
		total += c.recent.Len()
	}
	return total
}

// Apply applies an engine's event. Events of servers without dispatches are
// dropped, so that other senders' events cannot fill the memory.
func (x *Index) Apply(e Event) {
	c, known := x.servers[e.Server]
	if !known || c.eventSeen && e.Epoch < c.epoch {
		return
	}
	late := c.eventSeen && e.Epoch == c.epoch && e.Sequence < c.next
	if !late {
		c.checkOrder(e, x.options.DoubtLifetime)
		// Blocks stored by a late event may have been removed by an event that is
		// already applied; a late removal only lowers the estimate.
		c.record(e.Stored, x.options.Lifetime, x.limit())
	}
	c.remove(e.Removed)
}

// Forget removes a server that left.
func (x *Index) Forget(server string) { delete(x.servers, server) }

// Expected returns the expected number of blocks, from the start of the chain,
// that the server holds. The weight of a doubtful block decreases with each
// dispatch.
func (x *Index) Expected(server string, chain []Block) float64 {
	c, known := x.servers[server]
	if !known {
		return 0
	}
	total, trust := 0.0, 1.0
	for _, block := range chain {
		trust = min(trust, c.trust(block, x.options.DoubtLifetime))
		if trust == 0 {
			break
		}
		total += trust
	}
	return total
}

// cache is the estimated content of one server's cache.
type cache struct {
	dispatches uint64
	eventSeen  bool
	epoch      uint64
	next       uint64
	// recent holds *entry, the most recently recorded first.
	recent   *list.List
	elements map[Block]*list.Element
}

type entry struct {
	block Block
	// expires is the dispatch count from which the block is no longer trusted.
	expires  uint64
	doubtful bool
}

func newCache() *cache {
	return &cache{recent: list.New(), elements: make(map[Block]*list.Element)}
}

// record adds the blocks of a chain, starting with the last, so that the end of a
// prefix is evicted before its start, without which the other blocks are useless.
func (c *cache) record(chain []Block, lifetime uint64, limit int) {
	for i := len(chain) - 1; i >= 0; i-- {
		fresh := entry{block: chain[i], expires: c.dispatches + lifetime}
		if element, known := c.elements[chain[i]]; known {
			*element.Value.(*entry) = fresh
			c.recent.MoveToFront(element)
			continue
		}
		c.elements[chain[i]] = c.recent.PushFront(&fresh)
	}
	c.trim(limit)
}

// trim evicts the least recently recorded blocks beyond the limit.
func (c *cache) trim(limit int) {
	for c.recent.Len() > limit {
		c.drop(c.recent.Back())
	}
}

func (c *cache) remove(blocks []Block) {
	for _, block := range blocks {
		if element, known := c.elements[block]; known {
			c.drop(element)
		}
	}
}

func (c *cache) drop(element *list.Element) {
	delete(c.elements, element.Value.(*entry).block)
	c.recent.Remove(element)
}

// checkOrder checks that the event is the next in order. After a gap or a
// restart the cache may have lost any block without an event. Prompts would
// then be sent to a server for a prefix that it has to compute again; the
// shorter lifetime of doubtful blocks limits how long this lasts.
func (c *cache) checkOrder(e Event, lifetime uint64) {
	if c.eventSeen && (e.Epoch != c.epoch || e.Sequence != c.next) {
		c.doubt(lifetime)
	}
	c.eventSeen, c.epoch, c.next = true, e.Epoch, e.Sequence+1
}

// doubt marks blocks as doubtful, from the most recently recorded back to the
// first one that is doubtful already: all blocks after that one are doubtful
// too, and a second doubt does not extend their lifetime.
func (c *cache) doubt(lifetime uint64) {
	for element := c.recent.Front(); element != nil; element = element.Next() {
		known := element.Value.(*entry)
		if known.doubtful {
			return
		}
		known.doubtful = true
		known.expires = min(known.expires, c.dispatches+lifetime)
	}
}

// expire removes expired blocks from the back of the list; the others are
// evicted by the limit on the number of blocks.
func (c *cache) expire() {
	for back := c.recent.Back(); back != nil && back.Value.(*entry).expires <= c.dispatches; back = c.recent.Back() {
		c.drop(back)
	}
}

func (c *cache) trust(block Block, doubtLifetime uint64) float64 {
	element, known := c.elements[block]
	if !known {
		return 0
	}
	e := element.Value.(*entry)
	if e.expires <= c.dispatches {
		return 0
	}
	if !e.doubtful {
		return 1
	}
	return min(1, float64(e.expires-c.dispatches)/float64(doubtLifetime))
}
