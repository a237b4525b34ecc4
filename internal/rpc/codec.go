package rpc

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// MaxFrame bounds one message between processes, in bytes. Without a bound, a
// stranger could make a process hold whatever length it names.
const MaxFrame = 16 << 20

// maxHeader bounds the header lines of one frame, in bytes.
const maxHeader = 1 << 10

var headerEnd = []byte("\r\n\r\n")

// errFrameTooLarge means that a frame named a length above MaxFrame.
var errFrameTooLarge = errors.New("the message is larger than this process accepts")

// boundedCodec is the codec with Content-Length headers, with a bound on what
// it reads.
type boundedCodec struct {
	jsonrpc2.VSCodeObjectCodec
}

// ReadObject implements jsonrpc2.ObjectCodec. It looks at the header before the
// library's codec reads the frame.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := peekLength(stream)
	if err != nil {
		return err
	}
	if length > MaxFrame {
		return errFrameTooLarge
	}
	return c.VSCodeObjectCodec.ReadObject(stream, v)
}

// peekLength finds the Content-Length in the header without consuming it.
func peekLength(stream *bufio.Reader) (uint64, error) {
	for size := 1; size <= maxHeader; size++ {
		// Peek waits for size bytes; a header that is complete needs no more.
		header, err := stream.Peek(size)
		if err != nil {
			return 0, err
		}
		if bytes.HasSuffix(header, headerEnd) {
			return parseLength(string(header))
		}
	}
	return 0, errors.New("the message's header is too long")
}

func parseLength(header string) (uint64, error) {
	for line := range strings.SplitSeq(header, "\r\n") {
		if text, found := strings.CutPrefix(line, "Content-Length: "); found {
			length, err := strconv.ParseUint(strings.TrimSpace(text), 10, 32)
			return length, errors.Wrap(err, "content length")
		}
	}
	return 0, errors.Wrap(io.ErrUnexpectedEOF, "a message without its length")
}
