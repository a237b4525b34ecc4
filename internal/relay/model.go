package relay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// maxPeek is the maximum number of bytes of a response that are buffered to find
// its model.
const maxPeek = 1 << 20

// eventPrefix is the prefix of the data line of a server-sent event.
var eventPrefix = []byte("data:")

var errNoModel = errors.New("response names no model")

// PeekModel returns the model named in a response, in its JSON body or its first
// server-sent event, and a reader of the complete response.
//
// The agent's own table only records which adapter should have run. That an
// engine restarted between the load and the dispatch, or fell back to its base
// model, is visible only in the model named in its response, which must be
// checked before the first byte reaches the caller.
func PeekModel(body io.Reader) (string, io.Reader, error) {
	var buffered bytes.Buffer
	source := bufio.NewReader(io.TeeReader(io.LimitReader(body, maxPeek), &buffered))
	if err := skipToJSON(source); err != nil {
		return "", nil, err
	}
	model, err := topLevelModel(json.NewDecoder(source))
	if err != nil {
		return "", nil, err
	}
	return model, io.MultiReader(&buffered, body), nil
}

// skipToJSON advances the reader to the first JSON object, past comments and other
// fields of an event stream.
func skipToJSON(source *bufio.Reader) error {
	for {
		next, err := source.Peek(1)
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if next[0] == '{' {
			return nil
		}
		if err := skipField(source, next[0]); err != nil {
			return errors.Wrap(err, "read answer")
		}
	}
}

// skipField skips a white-space character, the prefix of a data line, or any
// other line.
func skipField(source *bufio.Reader, next byte) error {
	if next == ' ' || next == '\n' || next == '\r' || next == '\t' {
		_, err := source.Discard(1)
		return err
	}
	if prefix, _ := source.Peek(len(eventPrefix)); bytes.Equal(prefix, eventPrefix) {
		_, err := source.Discard(len(eventPrefix))
		return err
	}
	_, err := source.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil
	}
	return err
}

// topLevelModel returns the top-level member "model" of a JSON object.
func topLevelModel(decoder *json.Decoder) (string, error) {
	if _, err := decoder.Token(); err != nil {
		return "", errors.Wrap(err, "read answer")
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return "", errors.Wrap(err, "read answer")
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return "", errors.Wrap(err, "read answer")
		}
		if name == "model" {
			var model string
			err := json.Unmarshal(value, &model)
			return model, errors.Wrap(err, "read model")
		}
	}
	return "", errNoModel
}
