package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// unreachableAddress returns an address to which connections never open, as with a machine without power: the backlog
// of its listener, which accepts nothing, is full.
func unreachableAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*unix.SockaddrInet4).Port}).String()
	for range 4 {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the listener's backlog does not fill")
	return ""
}

// A machine loses power. A call to it must end long before the deadline of its caller: all other calls to the machine
// wait for the same connection.
func TestConnectTimesOut(t *testing.T) {
	client := NewClient(unreachableAddress(t))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := client.Call(ctx, "any", nil, nil); err == nil || ctx.Err() != nil {
		t.Errorf("the call ended with %v, the caller's context with %v", err, ctx.Err())
	}
}
