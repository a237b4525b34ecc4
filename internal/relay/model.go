package relay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// maxPeek bounds how much of an answer is held back to learn its model, in bytes.
const maxPeek = 1 << 20

// eventPrefix begins the data line of a server-sent event.
var eventPrefix = []byte("data:")

var errNoModel = errors.New("the answer names no model")

// PeekModel reads the model that an answer names of itself, in its JSON body
// or its first server-sent event, and returns a reader of the whole answer.
//
// An agent's own table says which adapter ought to have run. An engine that
// restarted between the load and the dispatch, or that falls back to its base
// model, shows only in its own word, and it must be read before the first byte
// reaches the caller.
func PeekModel(body io.Reader) (string, io.Reader, error) {
	var held bytes.Buffer
	source := bufio.NewReader(io.TeeReader(io.LimitReader(body, maxPeek), &held))
	if err := skipToJSON(source); err != nil {
		return "", nil, err
	}
	model, err := topLevelModel(json.NewDecoder(source))
	if err != nil {
		return "", nil, err
	}
	return model, io.MultiReader(&held, body), nil
}

// skipToJSON leaves the reader at the first object, past comments and other
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

// skipField skips white space, the prefix of a data line, or another line.
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

// topLevelModel reads the member "model" of one object.
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
