package prefixcache

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

func TestChain(t *testing.T) {
	ref := catalogue.Ref{Adapter: "a", Version: "1"}
	prompt := bytes.Repeat([]byte("x"), 3*BlockBytes+5)
	base := Chain(ref, prompt)
	if len(base) != 3 || base[0] == base[1] {
		t.Fatalf("chain is %x", base)
	}
	changed := bytes.Clone(prompt)
	changed[BlockBytes] = 'y'
	for _, c := range []struct {
		name   string
		ref    catalogue.Ref
		prompt []byte
		shared int
	}{
		{"same", ref, prompt, 3},
		{"other remainder", ref, prompt[:3*BlockBytes+1], 3},
		{"shorter", ref, prompt[:2*BlockBytes], 2},
		{"changed in the second block", ref, changed, 1},
		{"another version", catalogue.Ref{Adapter: "a", Version: "2"}, prompt, 0},
		{"same bytes split differently", catalogue.Ref{Adapter: "a1"}, prompt, 0},
		{"shorter than a block", ref, prompt[:BlockBytes-1], 0},
	} {
		shared := 0
		for i, block := range Chain(c.ref, c.prompt) {
			if block == base[i] {
				shared++
			}
		}
		if shared != c.shared {
			t.Errorf("%s: %d blocks shared, want %d", c.name, shared, c.shared)
		}
	}
	if n := len(Chain(ref, bytes.Repeat(prompt, MaxBlocks))); n != MaxBlocks {
		t.Errorf("a long prompt has %d blocks, want the maximum", n)
	}
}

var small = Options{Blocks: 12, Lifetime: 10, DoubtLifetime: 4}

// referenceBlock is the state of one block in reference.
type referenceBlock struct{ recordedAt, order, doubtedAt int }

// reference is a simple model of Index for one server. It keeps the state of each
// block and derives the trust in it on demand.
type reference struct {
	blocks      map[Block]*referenceBlock
	now, orders int
	eventSeen   bool
	epoch, next uint64
}

func (r *reference) record(chain []Block) {
	for _, block := range slices.Backward(chain) {
		r.orders++
		r.blocks[block] = &referenceBlock{recordedAt: r.now, order: r.orders, doubtedAt: -1}
		if len(r.blocks) > small.Blocks {
			oldest := block
			for other, f := range r.blocks {
				if f.order < r.blocks[oldest].order {
					oldest = other
				}
			}
			delete(r.blocks, oldest)
		}
	}
}

func (r *reference) dispatched(chain []Block) {
	r.now++
	r.record(chain)
	for block := range r.blocks {
		if r.remaining(block) <= 0 {
			delete(r.blocks, block)
		}
	}
}

func (r *reference) apply(e Event) {
	if r.now == 0 || r.eventSeen && e.Epoch < r.epoch {
		return
	}
	if !r.eventSeen || e.Epoch > r.epoch || e.Sequence >= r.next {
		broken := r.eventSeen && (e.Epoch != r.epoch || e.Sequence != r.next)
		for _, f := range r.blocks {
			if broken && f.doubtedAt < 0 {
				f.doubtedAt = r.now
			}
		}
		r.eventSeen, r.epoch, r.next = true, e.Epoch, e.Sequence+1
		r.record(e.Stored)
	}
	for _, block := range e.Removed {
		delete(r.blocks, block)
	}
}

func (r *reference) remaining(block Block) int {
	f, known := r.blocks[block]
	if !known {
		return 0
	}
	left := f.recordedAt + int(small.Lifetime) - r.now
	if f.doubtedAt >= 0 {
		left = min(left, f.doubtedAt+int(small.DoubtLifetime)-r.now)
	}
	return left
}

func (r *reference) expected(chain []Block) float64 {
	total, trust := 0.0, 1.0
	for _, block := range chain {
		left := r.remaining(block)
		if left <= 0 {
			break
		}
		if r.blocks[block].doubtedAt >= 0 {
			trust = min(trust, float64(left)/float64(small.DoubtLifetime))
		}
		total += trust
	}
	return total
}

var chains = rapid.SliceOfNDistinct(rapid.Uint64Range(1, 20), 0, 6, rapid.ID)

func drawChain(t *rapid.T, name string) []Block {
	drawn := chains.Draw(t, name)
	blocks := make([]Block, len(drawn))
	for i, b := range drawn {
		blocks[i] = Block(b)
	}
	return blocks
}

func TestIndexMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index, model := NewIndex(small), &reference{blocks: make(map[Block]*referenceBlock)}
		t.Repeat(map[string]func(*rapid.T){
			"dispatch": func(t *rapid.T) {
				chain := drawChain(t, "chain")
				index.Dispatched("s", chain)
				model.dispatched(chain)
			},
			"event": func(t *rapid.T) {
				e := Event{Server: "s", Epoch: rapid.Uint64Range(0, 2).Draw(t, "epoch"), Sequence: rapid.Uint64Range(0, 4).Draw(t, "sequence")}
				if rapid.Bool().Draw(t, "in order") {
					e.Epoch, e.Sequence = model.epoch, model.next
				}
				e.Stored, e.Removed = drawChain(t, "stored"), drawChain(t, "removed")
				index.Apply(e)
				model.apply(e)
			},
			"": func(t *rapid.T) {
				chain := drawChain(t, "asked")
				if got, want := index.Expected("s", chain), model.expected(chain); got != want {
					t.Fatalf("expected %v blocks of chain %v, want %v", got, chain, want)
				}
				if c := index.servers["s"]; c != nil && (len(c.elements) > small.Blocks || c.recent.Len() != len(c.elements)) {
					t.Fatalf("%d blocks held, %d in order", len(c.elements), c.recent.Len())
				}
			},
		})
	})
}

// An engine evicts blocks while its events are lost or reordered. Requests
// would be sent to it for a prefix that it has to compute again. The index may
// trust such a block for Lifetime dispatches after it was last recorded, and for
// DoubtLifetime dispatches after an event that reveals the loss.
func TestLostEventsExpireAfterBoundedDispatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := NewIndex(small)
		const block = Block(100)
		index.Dispatched("s", []Block{block})
		index.Apply(Event{Server: "s", Sequence: 0})
		// Event 1, the removal, is lost; later events arrive in any order.
		order := rapid.Permutation([]uint64{2, 3, 4, 5, 6}).Draw(t, "order")
		shownAt := rapid.IntRange(0, 2*int(small.Lifetime)).Draw(t, "shown after")
		bound := min(int(small.Lifetime), shownAt+int(small.DoubtLifetime))
		for sent := range 3 * int(small.Lifetime) {
			if sent >= bound && index.Expected("s", []Block{block}) != 0 {
				t.Fatalf("trusted after %d dispatches, bound %d", sent, bound)
			}
			if sent == shownAt || sent > shownAt && rapid.Bool().Draw(t, "event") {
				if len(order) > 0 {
					index.Apply(Event{Server: "s", Sequence: order[0]})
					order = order[1:]
				}
			}
			index.Dispatched("s", drawChain(t, "other"))
		}
	})
}

// Blocks of a server that left, and events of a server without dispatches,
// would otherwise stay in memory forever.
func TestIndexDropsUnusedServers(t *testing.T) {
	index := NewIndex(small)
	index.Apply(Event{Server: "stranger", Stored: []Block{1}})
	index.Dispatched("gone", []Block{1})
	index.Forget("gone")
	if len(index.servers) != 0 {
		t.Errorf("%d servers are remembered, want none", len(index.servers))
	}
}

// An entry sends requests to hundreds of servers for days. If only the number
// of blocks per server were bounded, the entry would grow until the platform
// terminates it.
func TestTotalBoundsAllServers(t *testing.T) {
	index := NewIndex(Options{Blocks: 100, Total: 1000})
	next := Block(0)
	for server := range 64 {
		for range 30 {
			chain := make([]Block, 8)
			for i := range chain {
				next++
				chain[i] = next
			}
			index.Dispatched(string(rune('A'+server)), chain)
			if index.Len() > 1000 {
				t.Fatalf("%d blocks are remembered with %d servers", index.Len(), server+1)
			}
		}
	}
	if index.Len() < 64*(1000/64)-64 {
		t.Errorf("only %d of 1000 blocks are used", index.Len())
	}
}
