package relay

import (
	"net"
	"net/http/httptrace"
	"testing"
)

// A request is given up before its writer has run, and its caller is told that
// it was not run. The writer runs a moment later; if its bytes still left, the
// caller's resend would be the second booking.
func TestASealedConnectionWritesNoMore(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		buffer := make([]byte, 1)
		for {
			if _, err := far.Read(buffer); err != nil {
				return
			}
		}
	}()
	conn := &gatedConn{Conn: near}
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	var later usedConns
	later.add(httptrace.GotConnInfo{Conn: conn})
	if later.seal() {
		t.Error("the bytes of an earlier request count as this one's")
	}
	if _, err := conn.Write([]byte("y")); err == nil {
		t.Error("a byte left after the request was reported as not sent")
	}
}
