package residency

// Part is a part of a prompt that requests for the same adapter may share.
type Part struct {
	ID     string
	Tokens int
}

// maxParts bounds the parts that are remembered for one adapter. An engine
// caches far fewer shared parts of an adapter.
const maxParts = 128

// unread returns the number of prompt tokens that the engine has to read. A
// part that the engine has read for the adapter before is still cached as long
// as all parts before it are.
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

// rememberParts remembers the parts of a prompt that was read, except the last
// one, which is specific to the request.
func (t *Table) rememberParts(s *startedRequest) {
	known := t.parts[s.adapter]
	if known == nil || len(known) > maxParts {
		known = make(map[string]bool)
		t.parts[s.adapter] = known
	}
	for _, part := range s.parts[:max(len(s.parts)-1, 0)] {
		known[part.ID] = true
	}
}
