package upstream

import (
	"fmt"
	"testing"
)

// Guards against an answer that is taken from a header that broke off: a length that lost its last digits, or a length that is missing, frames a part of the body, or none, as the whole.
func TestHeaderThatBreaksOffIsNoAnswer(t *testing.T) {
	for framing, header := range map[string]string{
		"length":                "HTTP/1.1 200 OK\r\nId: r2\r\nSignature: abc\r\nContent-Type: text/event-stream\r\nContent-Length: 800\r\n\r\n",
		"length first":          "HTTP/1.1 200 OK\r\nContent-Length: 800\r\nId: r2\r\nSignature: abc\r\n\r\n",
		"chunks":                "HTTP/1.1 200 OK\r\nId: r2\r\nSignature: abc\r\nTransfer-Encoding: chunked\r\n\r\n",
		"end of the connection": "HTTP/1.1 200 OK\r\nId: r2\r\nSignature: abc\r\nConnection: close\r\n\r\n",
		"interim response":      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 0\r\n\r\n",
		"bare line feeds":       "HTTP/1.1 200 OK\nId: r2\nContent-Length: 0\n\n",
	} {
		for _, ending := range []string{"<end>", "<reset>"} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprint(framing, ending, kept), func(t *testing.T) {
					for cut := 1; cut < len(header); cut++ {
						texts := []string{header[:cut] + ending}
						if kept {
							texts = append([]string{response1}, texts...)
						}
						target, _ := startServer(t, texts...)
						pool := NewPool(testTimeout, NewMemory(0))
						if kept {
							if _, _, err := call(t, pool, target, "r1"); err != nil {
								t.Fatal(err)
							}
						}
						if status, body, err := call(t, pool, target, "r2"); err == nil {
							t.Errorf("a header that ends in %q gave status %d with body %q", header[max(cut-20, 0):cut], status, body)
						}
					}
				})
			}
		}
	}
}

// Guards against a whole header without a body that is refused as one that broke off.
func TestHeaderThatEndsTheConnectionIsAnAnswer(t *testing.T) {
	target, _ := startServer(t, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n<end>")
	if _, body, err := call(t, NewPool(testTimeout, NewMemory(0)), target, "r1"); err != nil || body != "" {
		t.Errorf("got body %q, %v", body, err)
	}
}
