package rpc

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

// serve answers the given methods on loopback.
func serve(t *testing.T, handlers map[string]Handler) *countingListener {
	t.Helper()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &countingListener{Listener: plain}
	server := NewServer(handlers)
	go func() { _ = server.Serve(t.Context(), listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	return listener
}

// One call's time runs out while the peer answers others on the same connection: they must not be lost with it.
func TestACallWhoseTimeIsUpCostsOtherCallsNothing(t *testing.T) {
	slow := make(chan struct{})
	listener := serve(t, map[string]Handler{
		"slow": func(ctx context.Context, _ json.RawMessage) (any, error) {
			select {
			case <-slow:
			case <-ctx.Done():
			}
			return "late", ctx.Err()
		},
		"quick": func(context.Context, json.RawMessage) (any, error) { return "at once", nil },
	})
	client := NewClient(listener.Addr().String())
	defer client.Close()
	other := make(chan error, 1)
	var reply string
	go func() { other <- client.Call(t.Context(), "slow", nil, &reply) }()
	limited, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- client.Call(limited, "slow", nil, nil) }()
	for limited.Err() == nil {
		var quick string
		if err := client.Call(t.Context(), "quick", nil, &quick); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
	if err := <-ended; err == nil {
		t.Error("the call that had no time left was answered")
	}
	close(slow)
	if err := <-other; err != nil || reply != "late" {
		t.Errorf("the other call ended with %v and %q", err, reply)
	}
	if got := listener.accepted.Load(); got != 1 {
		t.Errorf("%d connections were opened, one serves all", got)
	}
}

// A connection that is cut off silently must be left: nothing comes on it any more, whoever waits.
func TestAConnectionOnWhichNothingComesIsLeft(t *testing.T) {
	var silent atomic.Bool
	silent.Store(true)
	listener := serve(t, map[string]Handler{"any": func(ctx context.Context, _ json.RawMessage) (any, error) {
		if silent.Load() {
			<-ctx.Done()
		}
		return "answer", ctx.Err()
	}})
	client := NewClient(listener.Addr().String())
	defer client.Close()
	limited, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := client.Call(limited, "any", nil, nil); err == nil {
		t.Fatal("a silent peer has answered")
	}
	silent.Store(false)
	if err := client.Call(t.Context(), "any", nil, nil); err != nil {
		t.Error(err)
	}
	if got := listener.accepted.Load(); got != 2 {
		t.Errorf("%d connections were opened, want a second one behind the silent one", got)
	}
}

// A peer stands still and reads nothing. A call to it must end, though its message does not go out.
func TestACallToAPeerThatReadsNothingEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	client := NewClient(listener.Addr().String())
	defer client.Close()
	limited, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := client.Call(limited, "any", strings.Repeat("x", 8<<20), nil); err == nil {
		t.Error("a peer that reads nothing has answered")
	}
}

// A machine is without power while many call it: they share one try at a connection, or each would wait for those of
// all others before its own.
func TestCallsToASilentMachineShareOneConnection(t *testing.T) {
	client := NewClient(silentAddress(t))
	defer client.Close()
	const calls = 40
	ended := make(chan error, calls)
	began := make(chan struct{})
	for range calls {
		go func() {
			<-began
			ended <- client.Call(t.Context(), "any", nil, nil)
		}()
	}
	close(began)
	tries := make(map[error]bool)
	for range calls {
		err := <-ended
		if err == nil {
			t.Fatal("a machine without power has answered")
		}
		tries[errors.Cause(err)] = true
	}
	if len(tries) > calls/2 {
		t.Errorf("%d calls made %d tries at a connection", calls, len(tries))
	}
}
