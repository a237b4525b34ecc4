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

	"github.com/rosemarypass/rosemarypass/internal/intake"
)

// MaxFrame is the maximum size of a message between processes, in bytes. Without a
// limit, an unauthenticated peer could make a process allocate any length that it
// declares.
const MaxFrame = 16 << 20

// maxHeader is the maximum size of the header of a frame, in bytes.
const maxHeader = 1 << 10

var headerEnd = []byte("\r\n\r\n")

// errFrameTooLarge reports that a frame declares a length above MaxFrame.
var errFrameTooLarge = errors.New("the message is larger than this process accepts")

// boundedCodec is the codec with Content-Length headers, with a limit on the size
// of the frames that it reads.
type boundedCodec struct {
	jsonrpc2.VSCodeObjectCodec
	// messages bounds what messages that are being read hold together; nil for no bound.
	messages *intake.Budget
	// interrupt ends the connection of a message that is given up for others.
	interrupt func()
	// received is called with each message that was read whole; it may be nil.
	received func()
}

// maxConcurrentDecodes is the maximum number of messages that a process decodes at the
// same time. When many peers send at once, the other messages wait without being
// scheduled; otherwise signals, timers and the heartbeats of the replicated log
// would be delayed behind all of them.
const maxConcurrentDecodes = 4

var decodeSlots = make(chan struct{}, maxConcurrentDecodes)

// ReadObject implements jsonrpc2.ObjectCodec. It checks the declared length before
// it reads a frame, and buffers only the bytes that have arrived.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
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
	holding := c.messages.Begin(c.interrupt)
	defer holding.Release()
	frame, err := holding.ReadBody(io.LimitReader(stream, int64(length)), int64(length), MaxFrame)
	if err != nil {
		return err
	}
	if c.received != nil {
		c.received()
	}
	decodeSlots <- struct{}{}
	defer func() { <-decodeSlots }()
	return json.Unmarshal(frame, v)
}

// peekLength returns the size of the header and its Content-Length, without
// consuming the header.
func peekLength(stream *bufio.Reader) (header int, length uint64, err error) {
	for size := 1; size <= maxHeader; size++ {
		// Peek blocks until size bytes have arrived, so it must not ask for more than
		// the header has.
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
