package dispatch

import "slices"

// Held tracks which adapters a server holds and remembers those that it has
// dropped: a server keeps recently dropped adapters in its own memory for some
// time and reloads them without the store. The zero value is empty and ready to
// use.
type Held struct {
	current []string
	// dropped is ordered by time, the most recent last.
	dropped []string
}

// maxDropped bounds the dropped adapters remembered per server. The server's
// memory for them is bounded too; it does not report how many fit.
const maxDropped = 96

// Update sets the adapters that the server holds now.
func (h *Held) Update(names []string) {
	for _, name := range h.current {
		if !slices.Contains(names, name) {
			h.dropped = append(slices.DeleteFunc(h.dropped, func(d string) bool { return d == name }), name)
		}
	}
	if over := len(h.dropped) - maxDropped; over > 0 {
		h.dropped = slices.Delete(h.dropped, 0, over)
	}
	h.current = names
}

// Recent reports whether the server has dropped the adapter and most likely still
// keeps it in memory.
func (h *Held) Recent(name string) bool { return slices.Contains(h.dropped, name) }
