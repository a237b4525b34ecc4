package experiment

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/prefixcache"
)

// What the users' pages do not say of prompts; all are assumptions.
const (
	// blockTime is how long an engine computes a block: 64 tokens, 5,000 a second.
	blockTime = 13 * time.Millisecond
	// sharedBlocks begin every prompt of an adapter.
	sharedBlocks = 4
	// turnBlocks is what a turn adds to its conversation.
	turnBlocks = 2
	// maxTurns ends a conversation; a new one takes its place.
	maxTurns = 8
	// cacheBlocks is what an engine's prefix cache holds: 64,000 tokens.
	cacheBlocks = 1000
)

// talk draws prompts: each request is the next turn of one of its adapter's
// conversations, with all turns before it.
type talk struct {
	random        *rand.Rand
	conversations int
	blocks        uint64
	adapters      map[catalogue.Ref]*adapterTalk
}

type adapterTalk struct {
	shared []prefixcache.Block
	under  [][]prefixcache.Block
}

func newTalk(random *rand.Rand, conversations int) *talk {
	return &talk{random: random, conversations: conversations, adapters: make(map[catalogue.Ref]*adapterTalk)}
}

func (t *talk) prompt(ref catalogue.Ref) []prefixcache.Block {
	a, known := t.adapters[ref]
	if !known {
		a = &adapterTalk{shared: t.extend(nil, sharedBlocks), under: make([][]prefixcache.Block, t.conversations)}
		t.adapters[ref] = a
	}
	i := t.random.IntN(t.conversations)
	before := a.under[i]
	if before == nil || len(before) >= sharedBlocks+maxTurns*turnBlocks {
		before = a.shared
	}
	a.under[i] = t.extend(before, turnBlocks)
	return a.under[i]
}

func (t *talk) extend(before []prefixcache.Block, n int) []prefixcache.Block {
	blocks := append([]prefixcache.Block(nil), before...)
	for range n {
		t.blocks++
		blocks = append(blocks, prefixcache.Block(t.blocks))
	}
	return blocks
}

// prefixes is an engine's prefix cache: the least recently used block goes.
type prefixes struct {
	// stored and removed are the changes since the last event.
	stored, removed []prefixcache.Block
	recent          *list.List
	held            map[prefixcache.Block]*list.Element
}

func newPrefixes() *prefixes {
	return &prefixes{recent: list.New(), held: make(map[prefixcache.Block]*list.Element)}
}

// compute returns how many blocks from the start were held; all are then.
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

// lostEvents is the share of cache events that no entry gets.
const lostEvents = 0.1

// publishCache sends what changed in an engine's prefix cache to all entries.
func (w *world) publishCache(s *server) {
	if !w.policy.CacheEvents || !s.engine {
		return
	}
	p := s.prefixes
	event := prefixcache.Event{Server: s.name, Epoch: s.starts, Sequence: s.events, Stored: p.stored, Removed: p.removed}
	s.events++
	p.stored, p.removed = nil, nil
	if w.losses.Float64() < lostEvents {
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
