package relay

import (
	"net"
	"net/http/httptrace"
	"testing"
)

// A request is abandoned before its writer goroutine has run, and its caller is
// told that it did not run. The writer runs a moment later; if its bytes were
// still sent, the caller's retry would book a second time.
func TestSealedConnectionRejectsWrites(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	go func() {
		buffer := make([]byte, 1)
		for {
			if _, err := server.Read(buffer); err != nil {
				return
			}
		}
	}()
	conn := &gatedConn{Conn: client}
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	var used usedConns
	used.add(httptrace.GotConnInfo{Conn: conn})
	if used.seal() {
		t.Error("writes of an earlier request were counted for this one")
	}
	if _, err := conn.Write([]byte("y")); err == nil {
		t.Error("a byte was sent after the request was reported as not sent")
	}
}
