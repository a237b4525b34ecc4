package rpc

import (
	"bufio"
	"bytes"
	"encoding/json"
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

// decodesAtOnce bounds the messages that a process decodes at the same time. When many
// peers speak at once what is left waits unscheduled: signals, timers and the log's
// heartbeats would otherwise have their turn behind all of it.
const decodesAtOnce = 4

var decoding = make(chan struct{}, decodesAtOnce)

// ReadObject implements jsonrpc2.ObjectCodec. It looks at the length before it reads
// a frame, and holds no more of it than has arrived.
func (boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	header, length, err := peekLength(stream)
	if err != nil {
		return err
	}
	if length > MaxFrame {
		return errFrameTooLarge
	}
	if _, err := stream.Discard(header); err != nil {
		return err
	}
	var frame bytes.Buffer
	if _, err := io.CopyN(&frame, stream, int64(length)); err != nil {
		return err
	}
	decoding <- struct{}{}
	defer func() { <-decoding }()
	return json.Unmarshal(frame.Bytes(), v)
}

// peekLength finds the size of the header and the Content-Length in it without
// consuming it.
func peekLength(stream *bufio.Reader) (header int, length uint64, err error) {
	for size := 1; size <= maxHeader; size++ {
		// Peek waits for size bytes; a header that is complete needs no more.
		peeked, err := stream.Peek(size)
		if err != nil {
			return 0, 0, err
		}
		if bytes.HasSuffix(peeked, headerEnd) {
			length, err = parseLength(string(peeked))
			return size, length, err
		}
	}
	return 0, 0, errors.New("the message's header is too long")
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
