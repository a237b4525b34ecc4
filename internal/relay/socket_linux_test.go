package relay

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A network partition drops every packet between an entry and an agent, and no
// connection reports an error. Only the timeouts of the kernel end the wait; with
// their default values a caller would wait for about 15 minutes.
func TestDialerSetsKeepAliveAndUserTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := newDialer(time.Second).DialContext(WithPromptPeer(t.Context()), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	wants := []struct{ option, level, value int }{
		{unix.SO_KEEPALIVE, unix.SOL_SOCKET, 1},
		{unix.TCP_KEEPIDLE, unix.IPPROTO_TCP, 2},
		{unix.TCP_KEEPINTVL, unix.IPPROTO_TCP, 1},
		{unix.TCP_KEEPCNT, unix.IPPROTO_TCP, 3},
		{unix.TCP_USER_TIMEOUT, unix.IPPROTO_TCP, 5000},
	}
	err = raw.Control(func(fd uintptr) {
		for _, want := range wants {
			if got, err := unix.GetsockoptInt(int(fd), want.level, want.option); err != nil || got != want.value {
				t.Errorf("option %d is %d, want %d, %v", want.option, got, want.value, err)
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
