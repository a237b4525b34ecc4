package rpc

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
)

// A foreign process connects and declares a huge length, or sends an endless
// header. The receiver must close the connection before it allocates the memory.
func TestFramesAreBounded(t *testing.T) {
	cases := map[string]struct {
		frame string
		ok    bool
	}{
		"small":          {"Content-Length: 2\r\n\r\n{}", true},
		"other header":   {"Content-Type: x\r\nContent-Length: 2\r\n\r\n{}", true},
		"huge":           {"Content-Length: 999999999\r\n\r\n{}", false},
		"beyond 64 bits": {"Content-Length: 99999999999999999999\r\n\r\n{}", false},
		"no length":      {"Content-Type: x\r\n\r\n{}", false},
		"endless header": {strings.Repeat("x", 4096), false},
		"cut":            {"Content-Le", false},
	}
	for name, c := range cases {
		var v any
		err := boundedCodec{}.ReadObject(bufio.NewReader(strings.NewReader(c.frame)), &v)
		if (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func FuzzReadObject(f *testing.F) {
	f.Add([]byte("Content-Length: 2\r\n\r\n{}"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var v any
		_ = boundedCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(data)), &v)
	})
}
