package dispatch

import "slices"

// Held follows which adapters a server holds, and remembers those that it has
// dropped: a server keeps what it dropped last in its own memory for a while,
// from where it comes back without the store. The zero value knows nothing.
type Held struct {
	now []string
	// dropped are the newest last.
	dropped []string
}

// maxDropped bounds what is remembered of one server. A server's memory for what
// it dropped is bounded too; how much fits is not told.
const maxDropped = 96

// Take takes what the server holds now.
func (h *Held) Take(names []string) {
	for _, name := range h.now {
		if !slices.Contains(names, name) {
			h.dropped = append(slices.DeleteFunc(h.dropped, func(d string) bool { return d == name }), name)
		}
	}
	if over := len(h.dropped) - maxDropped; over > 0 {
		h.dropped = slices.Delete(h.dropped, 0, over)
	}
	h.now = names
}

// Near is true for an adapter that the server has dropped and most likely keeps.
func (h *Held) Near(name string) bool { return slices.Contains(h.dropped, name) }
