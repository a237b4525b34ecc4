package rpc

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/peertls"
	"github.com/rosemarypass/rosemarypass/internal/standin/identity"
)

func newIdentity(t *testing.T) *peertls.Identity {
	t.Helper()
	files, err := identity.Write(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	loaded, err := peertls.Load(files)
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

// lateListener accepts connections late, as a process does that gets little processor time.
type lateListener struct {
	net.Listener
	delay time.Duration
}

func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	time.Sleep(l.delay)
	return conn, err
}

// Guards against handshakes that a busy machine never completes because the time to connect bounds
// them too.
func TestHandshakeMayTakeLongerThanConnect(t *testing.T) {
	ours := newIdentity(t)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(map[string]Handler{"any": func(context.Context, json.RawMessage) (any, error) { return "answer", nil }})
	defer server.Close()
	defer plain.Close()
	go func() {
		_ = server.Serve(t.Context(), ours.Listen(lateListener{Listener: plain, delay: 2 * connectTimeout}))
	}()
	client := NewClient(plain.Addr().String(), WithIdentity(ours))
	defer client.Close()
	var reply string
	if err := client.Call(t.Context(), "any", nil, &reply); err != nil || reply != "answer" {
		t.Errorf("the call returned %q, %v; want an answer", reply, err)
	}
}

// Guards against a timed-out connect that passes for a peer without a valid certificate.
func TestAbandonedConnectionIsNoFailedHandshake(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(nil)
	defer server.Close()
	defer plain.Close()
	go func() { _ = server.Serve(t.Context(), newIdentity(t).Listen(plain)) }()
	for _, c := range []struct {
		name, sent        string
		failed, abandoned int64
	}{{"closed before the first byte", "", 0, 1}, {"closed within the handshake", "\x16\x03", 1, 0}, {"no TLS", "plain text", 1, 0}} {
		failed, abandoned := handshakeFailedCount.Value(), abandonedConnCount.Value()
		conn, err := net.Dial("tcp", plain.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte(c.sent)); err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
		for handshakeFailedCount.Value() == failed && abandonedConnCount.Value() == abandoned {
			time.Sleep(time.Millisecond)
		}
		if f, a := handshakeFailedCount.Value()-failed, abandonedConnCount.Value()-abandoned; f != c.failed || a != c.abandoned {
			t.Errorf("%s: counted as failed %d times, as abandoned %d times; want %d and %d", c.name, f, a, c.failed, c.abandoned)
		}
	}
}
