// Package prefixcache estimates which servers hold how long a prefix of a
// prompt in their engine's prefix cache.
//
// An Index learns from the viewer's own dispatches at once and from engines'
// cache events when they come. It has no clock: age is counted in own
// dispatches to the server, as it is requests that push blocks out of a cache.
package prefixcache

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

const (
	// BlockBytes is the length of a block of the prompt.
	BlockBytes = 256
	// MaxBlocks bounds the blocks of a prompt that are hashed.
	MaxBlocks = 64
)

// Block names a block of a prompt together with all before it and the adapter.
type Block uint64

// Chain names the whole blocks of a prompt, first to last; a rest shorter than
// a block has no name, as engines cache whole blocks only.
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

// seed hashes the adapter, its length first, so that no other split of the
// same bytes into name and version gives the same hash.
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
