package entry

import (
	"io"
	"net/http"
	"sync"
)

// copyBufferSize is how much of an answer one read may carry, in bytes.
const copyBufferSize = 16 << 10

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferSize)
	return &buffer
}}

// pieces are the parts in which an answer's body is passed on: whole events of an
// event stream, of any other what arrives at once.
type pieces struct {
	source *source
	buffer *[]byte
	events bool
	held   events
	// begun is true while the first piece and its error are kept.
	begun   bool
	kept    []byte
	keptErr error
}

func (x *exchange) pieces(response *http.Response) *pieces {
	return &pieces{source: x.source(response), buffer: buffers.Get().(*[]byte), events: eventStream(response.Header)}
}

func (p *pieces) close() { buffers.Put(p.buffer) }

// first reads the first piece, which next returns again. A caller's answer is not
// begun before that: a server that breaks off behind its header has given none.
func (p *pieces) first() {
	p.kept, p.keptErr = p.next()
	p.begun = true
}

// broken reports whether the body broke off before its first piece.
func (p *pieces) broken() bool { return len(p.kept) == 0 && p.keptErr != nil && p.keptErr != io.EOF }

// next returns the next piece, valid until the next call. With the error io.EOF it
// is the last one, perhaps empty.
func (p *pieces) next() ([]byte, error) {
	if p.begun {
		p.begun = false
		return p.kept, p.keptErr
	}
	for {
		n, err := p.source.Read(*p.buffer)
		piece := (*p.buffer)[:n]
		if p.events {
			piece = p.held.add(piece)
		}
		if err == io.EOF && p.events {
			piece = append(piece, p.held.held...)
		}
		if len(piece) > 0 || err != nil {
			return piece, err
		}
	}
}
