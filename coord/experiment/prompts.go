package experiment

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/prefixcache"
)

// Parameters of prompts. All are assumptions, because the users' documentation does
// not specify them.
const (
	// blockTime is the time in which an engine computes a block of 64 tokens, at
	// 5,000 tokens per second.
	blockTime = 13 * time.Millisecond
	// sharedBlocks is the number of blocks that begin every prompt of an adapter.
	sharedBlocks = 4
	// turnBlocks is the number of blocks that a turn adds to its conversation.
	turnBlocks = 2
	// maxTurns is the number of turns after which a new conversation replaces the
	// current one.
	maxTurns = 8
	// cacheBlocks is the capacity of an engine's prefix cache: 64,000 tokens.
	cacheBlocks = 1000
)

// promptSource generates prompts. Each request is the next turn of one of its
// adapter's conversations and includes all previous turns.
type promptSource struct {
	random        *rand.Rand
	conversations int
	blocks        uint64
	adapters      map[catalogue.Ref]*adapterPrompts
}

type adapterPrompts struct {
	shared []prefixcache.Block
	active [][]prefixcache.Block
}

func newPromptSource(random *rand.Rand, conversations int) *promptSource {
	return &promptSource{random: random, conversations: conversations, adapters: make(map[catalogue.Ref]*adapterPrompts)}
}

func (s *promptSource) prompt(ref catalogue.Ref) []prefixcache.Block {
	a, known := s.adapters[ref]
	if !known {
		a = &adapterPrompts{shared: s.extend(nil, sharedBlocks), active: make([][]prefixcache.Block, s.conversations)}
		s.adapters[ref] = a
	}
	i := s.random.IntN(s.conversations)
	before := a.active[i]
	if before == nil || len(before) >= sharedBlocks+maxTurns*turnBlocks {
		before = a.shared
	}
	a.active[i] = s.extend(before, turnBlocks)
	return a.active[i]
}

func (s *promptSource) extend(before []prefixcache.Block, n int) []prefixcache.Block {
	blocks := append([]prefixcache.Block(nil), before...)
	for range n {
		s.blocks++
		blocks = append(blocks, prefixcache.Block(s.blocks))
	}
	return blocks
}

// prefixes is an engine's prefix cache, which evicts the least recently used block.
type prefixes struct {
	// stored and removed are the changes since the last event.
	stored, removed []prefixcache.Block
	recent          *list.List
	held            map[prefixcache.Block]*list.Element
}

func newPrefixes() *prefixes {
	return &prefixes{recent: list.New(), held: make(map[prefixcache.Block]*list.Element)}
}

// compute returns how many blocks at the start of the prompt were cached, and
// caches all of its blocks.
func (p *prefixes) compute(prompt []prefixcache.Block) int {
	held := 0
	for held < len(prompt) && p.held[prompt[held]] != nil {
		held++
	}
	for i := len(prompt) - 1; i >= 0; i-- {
		p.use(prompt[i])
	}
	return held
}

func (p *prefixes) use(block prefixcache.Block) {
	if element, known := p.held[block]; known {
		p.recent.MoveToFront(element)
		return
	}
	p.held[block] = p.recent.PushFront(block)
	p.stored = append(p.stored, block)
	if p.recent.Len() > cacheBlocks {
		oldest := p.recent.Back()
		delete(p.held, oldest.Value.(prefixcache.Block))
		p.removed = append(p.removed, oldest.Value.(prefixcache.Block))
		p.recent.Remove(oldest)
	}
}

// eventLossRate is the share of cache events that reach no entry.
const eventLossRate = 0.1

// publishCache sends the changes of an engine's prefix cache to all entries.
func (w *world) publishCache(s *server) {
	if !w.policy.CacheEvents || !s.engine {
		return
	}
	p := s.prefixes
	event := prefixcache.Event{Server: s.name, Epoch: s.starts, Sequence: s.events, Stored: p.stored, Removed: p.removed}
	s.events++
	p.stored, p.removed = nil, nil
	if w.losses.Float64() < eventLossRate {
		return
	}
	w.after(reportDelay, func() {
		for _, e := range w.entries {
			e.CacheEvent(event)
		}
	})
}

func (m *meter) computed(w *world, r *request, held int) {
	if w.at >= warmUp {
		m.blocks += len(r.prompt)
		m.hits += held
	}
}
