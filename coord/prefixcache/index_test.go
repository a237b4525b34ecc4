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
		t.Fatalf("%x", base)
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
		{"another rest", ref, prompt[:3*BlockBytes+1], 3},
		{"shorter", ref, prompt[:2*BlockBytes], 2},
		{"changed in the second block", ref, changed, 1},
		{"another version", catalogue.Ref{Adapter: "a", Version: "2"}, prompt, 0},
		{"the same letters split elsewhere", catalogue.Ref{Adapter: "a1"}, prompt, 0},
		{"less than a block", ref, prompt[:BlockBytes-1], 0},
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
		t.Errorf("%d blocks of a long prompt", n)
	}
}

var small = Options{Blocks: 12, Lifetime: 10, DoubtLifetime: 4}

// fact is what the naive version knows of one block.
type fact struct{ learnt, order, doubted int }

// naive keeps facts and works out everything else when asked.
type naive struct {
	facts       map[Block]*fact
	now, orders int
	heard       bool
	epoch, next uint64
}

func (n *naive) learn(chain []Block) {
	for _, block := range slices.Backward(chain) {
		n.orders++
		n.facts[block] = &fact{learnt: n.now, order: n.orders, doubted: -1}
		if len(n.facts) > small.Blocks {
			oldest := block
			for other, f := range n.facts {
				if f.order < n.facts[oldest].order {
					oldest = other
				}
			}
			delete(n.facts, oldest)
		}
	}
}

func (n *naive) dispatched(chain []Block) {
	n.now++
	n.learn(chain)
	for block := range n.facts {
		if n.left(block) <= 0 {
			delete(n.facts, block)
		}
	}
}

func (n *naive) apply(e Event) {
	if n.now == 0 || n.heard && e.Epoch < n.epoch {
		return
	}
	if !n.heard || e.Epoch > n.epoch || e.Sequence >= n.next {
		broken := n.heard && (e.Epoch != n.epoch || e.Sequence != n.next)
		for _, f := range n.facts {
			if broken && f.doubted < 0 {
				f.doubted = n.now
			}
		}
		n.heard, n.epoch, n.next = true, e.Epoch, e.Sequence+1
		n.learn(e.Stored)
	}
	for _, block := range e.Removed {
		delete(n.facts, block)
	}
}

func (n *naive) left(block Block) int {
	f, known := n.facts[block]
	if !known {
		return 0
	}
	left := f.learnt + int(small.Lifetime) - n.now
	if f.doubted >= 0 {
		left = min(left, f.doubted+int(small.DoubtLifetime)-n.now)
	}
	return left
}

func (n *naive) expected(chain []Block) float64 {
	total, trust := 0.0, 1.0
	for _, block := range chain {
		left := n.left(block)
		if left <= 0 {
			break
		}
		if n.facts[block].doubted >= 0 {
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

func TestIndexIsTheNaiveMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index, model := NewIndex(small), &naive{facts: make(map[Block]*fact)}
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
					t.Fatalf("%v blocks of %v, want %v", got, chain, want)
				}
				if c := index.servers["s"]; c != nil && (len(c.held) > small.Blocks || c.recent.Len() != len(c.held)) {
					t.Fatalf("%d blocks held, %d in order", len(c.held), c.recent.Len())
				}
			},
		})
	})
}

// An engine drops blocks while its events are lost or overtake each other.
// Callers would be sent to it for a prefix that it has to compute again. The
// index may believe so for Lifetime dispatches after it last had cause to, and
// for DoubtLifetime dispatches after an event that shows the loss.
func TestLostEventsMisleadForABoundedNumberOfDispatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := NewIndex(small)
		const block = Block(100)
		index.Dispatched("s", []Block{block})
		index.Apply(Event{Server: "s", Sequence: 0})
		// Event 1, the removal, is lost; later ones come in any order.
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

// Blocks of a server that left, and events of one that nothing was sent to,
// would stay in memory for good.
func TestIndexKeepsNothingOfServersItDoesNotUse(t *testing.T) {
	index := NewIndex(small)
	index.Apply(Event{Server: "stranger", Stored: []Block{1}})
	index.Dispatched("gone", []Block{1})
	index.Forget("gone")
	if len(index.servers) != 0 {
		t.Errorf("%d servers remembered", len(index.servers))
	}
}

// An entry sends work to hundreds of servers for days. Were each remembered by
// its own bound alone, the entry would grow until the platform ends it.
func TestTheTotalHoldsWhateverServersJoin(t *testing.T) {
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
