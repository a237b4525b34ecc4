package entry

import (
	"io"
	"net/http"
	"sync"
)

// copyBufferSize is the maximum number of bytes that one read of an answer returns.
const copyBufferSize = 16 << 10

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferSize)
	return &buffer
}}

// bodyReader reads the body of an answer in the pieces in which it is relayed:
// complete events of an event stream, otherwise the bytes that one read returns.
type bodyReader struct {
	source        *resumableBody
	buffer        *[]byte
	isEventStream bool
	events        eventBuffer
	// peeked is true while the first piece and the error of its read are buffered
	// in first and err.
	peeked bool
	first  []byte
	err    error
}

func (x *exchange) newBodyReader(response *http.Response) *bodyReader {
	return &bodyReader{source: x.newResumableBody(response), buffer: buffers.Get().(*[]byte), isEventStream: isEventStream(response.Header)}
}

func (b *bodyReader) close() { buffers.Put(b.buffer) }

// peek reads the first piece, which the following call of next returns. An answer
// to the caller is started only after that: a server that breaks off after its
// header has sent no answer.
func (b *bodyReader) peek() {
	b.first, b.err = b.next()
	b.peeked = true
}

// broken reports whether the body broke off before its first piece.
func (b *bodyReader) broken() bool { return len(b.first) == 0 && b.err != nil && b.err != io.EOF }

// next returns the next piece, which is valid until the next call. With the error
// io.EOF it is the last one and may be empty.
func (b *bodyReader) next() ([]byte, error) {
	if b.peeked {
		b.peeked = false
		return b.first, b.err
	}
	for {
		n, err := b.source.Read(*b.buffer)
		piece := (*b.buffer)[:n]
		if b.isEventStream {
			piece = b.events.add(piece)
		}
		if err == io.EOF && b.isEventStream {
			piece = append(piece, b.events.pending...)
		}
		if len(piece) > 0 || err != nil {
			return piece, err
		}
	}
}
