package socket

import (
	"errors"
	"io"
	"net"
	"runtime"
	"testing"

	"golang.org/x/sys/unix"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// readToEnd returns the error that ends a connection's data.
func readToEnd(conn net.Conn) error {
	_, err := io.Copy(io.Discard, conn)
	return err
}

func TestResetEndsConnectionWithError(t *testing.T) {
	client, server := connect(t)
	Reset(client)
	if err := readToEnd(server); !errors.Is(err, unix.ECONNRESET) {
		t.Errorf("after a reset the peer reads %v, want a reset", err)
	}
	client, server = connect(t)
	SetResetOnClose(client, true)
	SetResetOnClose(client, false)
	_ = client.Close()
	if err := readToEnd(server); err != nil {
		t.Errorf("after an orderly close the peer reads %v, want its end", err)
	}
}

// Guards against a wait for a peer that has reset the connection to take what it never will.
func TestNothingIsUnacknowledgedBehindAReset(t *testing.T) {
	client, server := connect(t)
	if _, err := server.Write(make([]byte, 64<<10)); err != nil {
		t.Fatal(err)
	}
	if err := client.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = server.Write(make([]byte, 64<<20)) }()
	for Unacknowledged(server) == 0 {
		runtime.Gosched()
	}
	Reset(client)
	for !ClosedByPeer(server) {
		runtime.Gosched()
	}
	if left := Unacknowledged(server); left != 0 {
		t.Errorf("%d bytes are unacknowledged, want none", left)
	}
}

// Guards against a departure that goes unnoticed because data stands before it, or because a read
// of the connection is in progress.
func TestClosedByPeer(t *testing.T) {
	endings := map[string]func(net.Conn){
		"close": func(c net.Conn) { _ = c.Close() }, "reset": Reset,
		"half close": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
	}
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			if _, err := io.WriteString(client, "unread"); err != nil {
				t.Fatal(err)
			}
			if ClosedByPeer(server) {
				t.Error("an open connection counts as closed")
			}
			end(client)
			if !ClosedByPeer(server) {
				t.Error("behind unread data the close is not seen")
			}
			_ = readToEnd(server)
			if !ClosedByPeer(server) {
				t.Error("after the data is read the close is not seen")
			}
		})
	}
	t.Run("while a read is in progress", func(t *testing.T) {
		client, server := connect(t)
		done := make(chan error, 1)
		go func() { done <- readToEnd(server) }()
		if ClosedByPeer(server) {
			t.Error("an open connection counts as closed")
		}
		_ = client.Close()
		<-done
		if !ClosedByPeer(server) {
			t.Error("the close is not seen")
		}
	})
	if ClosedByPeer(nil) {
		t.Error("no connection counts as closed")
	}
}
