package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// maxUnpacked bounds the unpacked size of a packed message, in bytes.
const maxUnpacked = 16 << 20

// Pack encodes bulk data compactly, as deflated msgpack with structs as arrays.
// Fields may only be added at the end of a struct that is packed.
func Pack(value any) ([]byte, error) {
	var buffer bytes.Buffer
	deflate, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	encoder := msgpack.NewEncoder(deflate)
	encoder.SetCustomStructTag("json")
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := deflate.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	return buffer.Bytes(), nil
}

// Unpack decodes data written by Pack. It refuses data that unpacks to more than
// maxUnpacked bytes, so that a small message cannot exhaust the memory.
func Unpack(data []byte, into any) error {
	limited := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxUnpacked)
	decoder := msgpack.NewDecoder(limited)
	decoder.SetCustomStructTag("json")
	return errors.Wrap(decoder.Decode(into), "unpack")
}
