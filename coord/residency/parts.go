package residency

// Part is a part of a prompt that requests of an adapter may share.
type Part struct {
	ID     string
	Tokens int
}

// maxParts bounds the parts that are remembered for one adapter. An engine
// keeps far fewer of the shared ones.
const maxParts = 128

// unread is the number of tokens of a prompt that the engine has to read: parts
// that it has read for the adapter before are still kept, as long as all parts
// before them are.
func (t *Table) unread(r *Request) int {
	left := r.Prompt
	known := t.parts[r.Adapter]
	for _, part := range r.Parts {
		if !known[part.ID] {
			break
		}
		left -= part.Tokens
	}
	return max(left, 0)
}

// keep remembers the parts of a prompt that was read; the last one is the
// request's own.
func (t *Table) keep(s *started) {
	known := t.parts[s.adapter]
	if known == nil || len(known) > maxParts {
		known = make(map[string]bool)
		t.parts[s.adapter] = known
	}
	for _, part := range s.parts[:max(len(s.parts)-1, 0)] {
		known[part.ID] = true
	}
}
