package socket

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against connections whose unread bytes fill the memory: each may keep only about the size of its buffer.
func TestListenBoundsUnreadBytes(t *testing.T) {
	const bound = 16 << 10
	listener, err := Listen("127.0.0.1:0", bound)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	// The sender's own buffer is made small, so that what was written and is not in it is in the receiver's.
	if err := client.(*net.TCPConn).SetWriteBuffer(bound); err != nil {
		t.Fatal(err)
	}
	_ = client.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
	taken, _ := client.Write(make([]byte, 8<<20))
	if unread := taken - Unacknowledged(client); unread > 4*bound {
		t.Errorf("%d bytes are unread, the bound is %d", unread, bound)
	}
	// What was written arrives all the same.
	if _, err := io.CopyN(io.Discard, server, int64(taken)); err != nil {
		t.Error(err)
	}
}
