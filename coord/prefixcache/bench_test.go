package prefixcache

import (
	"bytes"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

func BenchmarkChain(b *testing.B) {
	prompt := bytes.Repeat([]byte("x"), MaxBlocks*BlockBytes)
	ref := catalogue.Ref{Adapter: "a", Version: "1"}
	b.ReportAllocs()
	for b.Loop() {
		Chain(ref, prompt)
	}
}

// BenchmarkExpected asks of a server that holds the longest chain whole.
func BenchmarkExpected(b *testing.B) {
	index := NewIndex(Options{})
	chain := Chain(catalogue.Ref{Adapter: "a"}, bytes.Repeat([]byte("x"), MaxBlocks*BlockBytes))
	index.Dispatched("s", chain)
	b.ReportAllocs()
	for b.Loop() {
		index.Expected("s", chain)
	}
}
