// Package rendezvous implements rendezvous (highest random weight) hashing: all
// processes that know the same choices order them equally for a key, and the
// loss of a choice moves only the keys assigned to it.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of a choice for a key. It is the same in every
// process.
func Weight(key, choice string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(key)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(choice)
	return h.Sum64()
}
