package prefixcache

import "container/list"

// Options bound an Index. Zero values take the defaults.
type Options struct {
	// Blocks is the most blocks remembered of one server; the least recently
	// learnt goes first.
	Blocks int
	// Total is the most blocks remembered of all servers together, divided
	// evenly among them. Without it an entry before 600 servers would come to
	// hold hundreds of megabytes.
	Total int
	// Lifetime is how many own dispatches to the server a block is trusted for
	// after it was last learnt.
	Lifetime uint64
	// DoubtLifetime is the same, but counted from a gap in the server's events
	// or its engine's restart, for blocks learnt before it.
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
	// Epoch grows with each start of the engine; Sequence by one with each
	// event of an epoch.
	Epoch, Sequence uint64
	Stored, Removed []Block
}

// Index is what one viewer believes of the engines' caches. One duty owns it,
// or a lock guards it.
type Index struct {
	options Options
	servers map[string]*cache
}

// NewIndex returns an index that knows nothing.
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
		x.share()
	}
	c.dispatches++
	c.learn(chain, x.options.Lifetime, x.limit())
	c.expire()
}

// limit is the most blocks of one server.
func (x *Index) limit() int { return min(x.options.Blocks, x.options.Total/len(x.servers)) }

// share cuts every server to its part of the total, which a new server lowers.
func (x *Index) share() {
	for _, c := range x.servers {
		c.trim(x.limit())
	}
}

// Len is how many blocks are remembered of all servers.
func (x *Index) Len() int {
	total := 0
	for _, c := range x.servers {
		total += c.recent.Len()
	}
	return total
}

// Apply takes an engine's event. Events of servers that nothing was sent to
// are dropped, so that what others send cannot fill the memory.
func (x *Index) Apply(e Event) {
	c, known := x.servers[e.Server]
	if !known || c.heard && e.Epoch < c.epoch {
		return
	}
	late := c.heard && e.Epoch == c.epoch && e.Sequence < c.next
	if !late {
		c.follow(e, x.options.DoubtLifetime)
		// What a late event stored may have been removed by one that is
		// already applied; a removal only lowers the estimate.
		c.learn(e.Stored, x.options.Lifetime, x.limit())
	}
	c.remove(e.Removed)
}

// Forget drops what is known of a server that left.
func (x *Index) Forget(server string) { delete(x.servers, server) }

// Expected is how many blocks from the start of the chain the server is
// expected to hold. A doubtful block counts less with each dispatch.
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

// cache is what is believed of one server's cache.
type cache struct {
	dispatches uint64
	heard      bool
	epoch      uint64
	next       uint64
	// recent holds *entry, the latest learnt first.
	recent *list.List
	held   map[Block]*list.Element
}

type entry struct {
	block Block
	// expires is the count of dispatches from which the block isn't trusted.
	expires  uint64
	doubtful bool
}

func newCache() *cache {
	return &cache{recent: list.New(), held: make(map[Block]*list.Element)}
}

// learn takes the last block first: what is forgotten first is then the end of
// a prefix and not its start, without which the rest is worth nothing.
func (c *cache) learn(chain []Block, lifetime uint64, limit int) {
	for i := len(chain) - 1; i >= 0; i-- {
		fresh := entry{block: chain[i], expires: c.dispatches + lifetime}
		if element, known := c.held[chain[i]]; known {
			*element.Value.(*entry) = fresh
			c.recent.MoveToFront(element)
			continue
		}
		c.held[chain[i]] = c.recent.PushFront(&fresh)
	}
	c.trim(limit)
}

// trim drops what was learnt longest ago beyond a number of blocks.
func (c *cache) trim(limit int) {
	for c.recent.Len() > limit {
		c.drop(c.recent.Back())
	}
}

func (c *cache) remove(blocks []Block) {
	for _, block := range blocks {
		if element, known := c.held[block]; known {
			c.drop(element)
		}
	}
}

func (c *cache) drop(element *list.Element) {
	delete(c.held, element.Value.(*entry).block)
	c.recent.Remove(element)
}

// follow notes the event's place in the order. After a gap or a restart the
// cache may have lost any block without a word. One would notice prompts sent
// to a server for a prefix that it computes again; doubt bounds for how long.
func (c *cache) follow(e Event, lifetime uint64) {
	if c.heard && (e.Epoch != c.epoch || e.Sequence != c.next) {
		c.doubt(lifetime)
	}
	c.heard, c.epoch, c.next = true, e.Epoch, e.Sequence+1
}

// doubt goes from the latest learnt back to the first that an earlier doubt
// reached: all behind it is doubtful already, and a second doubt gives no
// block a longer life.
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

// expire drops blocks from the back while their trust has ended; others are
// dropped by the bound on blocks.
func (c *cache) expire() {
	for back := c.recent.Back(); back != nil && back.Value.(*entry).expires <= c.dispatches; back = c.recent.Back() {
		c.drop(back)
	}
}

func (c *cache) trust(block Block, doubtLifetime uint64) float64 {
	element, known := c.held[block]
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
