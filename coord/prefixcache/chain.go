// Package prefixcache estimates how long a prefix of a prompt each server holds
// in its engine's prefix cache.
//
// An Index is updated by the viewer's own dispatches immediately and by the
// engines' cache events when they arrive. It uses no clock: age is counted in
// the viewer's own dispatches to the server, because it is requests that evict
// blocks from a cache.
package prefixcache

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

const (
	// BlockBytes is the length of a prompt block.
	BlockBytes = 256
	// MaxBlocks is the maximum number of blocks of a prompt that are hashed.
	MaxBlocks = 64
)

// Block identifies a prompt block together with all preceding blocks and the
// adapter.
type Block uint64

// Chain returns the identifiers of the complete blocks of a prompt, in order. A
// remainder shorter than a block has none, because engines cache complete
// blocks only.
func Chain(ref catalogue.Ref, prompt []byte) []Block {
	n := min(len(prompt)/BlockBytes, MaxBlocks)
	if n == 0 {
		return nil
	}
	chain := make([]Block, n)
	var digest xxhash.Digest
	previous := seed(&digest, ref)
	for i := range chain {
		previous = link(&digest, previous, prompt[i*BlockBytes:(i+1)*BlockBytes])
		chain[i] = Block(previous)
	}
	return chain
}

// seed hashes the adapter, starting with the length of its name, so that no
// other split of the same bytes into name and version gives the same hash.
func seed(digest *xxhash.Digest, ref catalogue.Ref) uint64 {
	digest.Reset()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(ref.Adapter)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(ref.Adapter)
	_, _ = digest.WriteString(ref.Version)
	return digest.Sum64()
}

func link(digest *xxhash.Digest, previous uint64, block []byte) uint64 {
	digest.Reset()
	var before [8]byte
	binary.LittleEndian.PutUint64(before[:], previous)
	_, _ = digest.Write(before[:])
	_, _ = digest.Write(block)
	return digest.Sum64()
}
