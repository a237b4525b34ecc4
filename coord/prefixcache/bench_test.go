package prefixcache

import (
	"bytes"
	"runtime"
	"strconv"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/internal/liveheap"
)

func BenchmarkChain(b *testing.B) {
	prompt := bytes.Repeat([]byte("x"), MaxBlocks*BlockBytes)
	ref := catalogue.Ref{Adapter: "a", Version: "1"}
	b.ReportAllocs()
	for b.Loop() {
		Chain(ref, prompt)
	}
}

// BenchmarkExpected queries a server that holds the whole of the longest chain.
func BenchmarkExpected(b *testing.B) {
	index := NewIndex(Options{})
	chain := Chain(catalogue.Ref{Adapter: "a"}, bytes.Repeat([]byte("x"), MaxBlocks*BlockBytes))
	index.Dispatched("s", chain)
	b.ReportAllocs()
	for b.Loop() {
		index.Expected("s", chain)
	}
}

// BenchmarkMemory reports the live heap of an index that is full, with 600
// servers.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := liveheap.Bytes()
		index := NewIndex(Options{})
		next := Block(0)
		for i := range 600 * 400 {
			chain := make([]Block, 8)
			for j := range chain {
				next++
				chain[j] = next
			}
			index.Dispatched(strconv.Itoa(i%600), chain)
		}
		b.ReportMetric((liveheap.Bytes() - before), "B")
		b.ReportMetric((liveheap.Bytes()-before)/float64(index.Len()), "B/block")
		runtime.KeepAlive(index)
	}
}
