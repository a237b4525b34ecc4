// Package rendezvous orders choices for a key so that all who know the same
// choices order them alike, and the loss of one moves only its own keys.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight is a number for a key and a choice that is the same everywhere.
func Weight(key, choice string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(key)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(choice)
	return h.Sum64()
}
