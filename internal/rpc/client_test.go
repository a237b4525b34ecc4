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

// A call times out while the peer responds to others on the same connection. The other calls must not fail.
func TestTimedOutCallKeepsConnection(t *testing.T) {
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
	done := make(chan error, 1)
	go func() { done <- client.Call(limited, "slow", nil, nil) }()
	for limited.Err() == nil {
		var quick string
		if err := client.Call(t.Context(), "quick", nil, &quick); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
	if err := <-done; err == nil {
		t.Error("the call succeeded after its deadline")
	}
	close(slow)
	if err := <-other; err != nil || reply != "late" {
		t.Errorf("the other call ended with %v and %q", err, reply)
	}
	if got := listener.accepted.Load(); got != 1 {
		t.Errorf("%d connections were opened, want 1", got)
	}
}

// A silently broken connection must be replaced: no call on it receives a response any more.
func TestSilentConnectionIsReplaced(t *testing.T) {
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
		t.Fatal("call to a silent peer succeeded")
	}
	silent.Store(false)
	if err := client.Call(t.Context(), "any", nil, nil); err != nil {
		t.Error(err)
	}
	if got := listener.accepted.Load(); got != 2 {
		t.Errorf("%d connections were opened, want 2: the silent one and its replacement", got)
	}
}

// A peer hangs and reads nothing. A call to it must end although its message cannot be sent.
func TestCallToNonReadingPeerEnds(t *testing.T) {
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
		t.Error("call to a peer that reads nothing succeeded")
	}
}

// Guards against a call for a large response that waits for a silent peer until its caller gives up.
func TestReceivingCallToSilentPeerEnds(t *testing.T) {
	listener := serve(t, map[string]Handler{"any": func(ctx context.Context, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	client := NewClient(listener.Addr().String())
	defer client.Close()
	if err := client.CallReceiving(t.Context(), 50*time.Millisecond, "any", nil, nil); !errors.Is(err, errIdle) {
		t.Errorf("call to a silent peer ended with %v", err)
	}
}

// Many calls are made to a machine without power. They must share one dial: otherwise each would wait for the dials of
// all others before its own.
func TestCallsToUnreachableAddressShareDial(t *testing.T) {
	client := NewClient(unreachableAddress(t))
	defer client.Close()
	const calls = 40
	done := make(chan error, calls)
	start := make(chan struct{})
	for range calls {
		go func() {
			<-start
			done <- client.Call(t.Context(), "any", nil, nil)
		}()
	}
	close(start)
	attempts := make(map[error]bool)
	for range calls {
		err := <-done
		if err == nil {
			t.Fatal("call to an unreachable address succeeded")
		}
		attempts[errors.Cause(err)] = true
	}
	if len(attempts) > calls/2 {
		t.Errorf("%d calls made %d connection attempts", calls, len(attempts))
	}
}
