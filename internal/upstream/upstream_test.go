package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// testTimeout bounds calls that are expected to end earlier; no test waits for it.
const testTimeout = time.Minute

// startServer starts a server that responds to successive requests with
// successive texts. After a text that ends with "<reset>" it resets the
// connection, after one that ends with "<end>" it closes it orderly.
func startServer(t *testing.T, texts ...string) (Target, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	responses := make(chan string, len(texts))
	for _, text := range texts {
		responses <- text
	}
	connections := new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go serveScript(conn, responses)
		}
	}()
	return Target{Address: listener.Addr().String(), ID: "s"}, connections
}

func serveScript(conn net.Conn, responses <-chan string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		text := <-responses
		plain := strings.TrimSuffix(strings.TrimSuffix(text, "<reset>"), "<end>")
		_, _ = io.WriteString(conn, plain)
		if strings.HasSuffix(text, "<reset>") {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if strings.HasSuffix(text, "<end>") {
			return
		}
	}
}

func newRequest(id string) *Request {
	return &Request{Method: http.MethodPost, URI: "/x", Host: "h", Body: []byte("body"), ID: id, IDHeader: "Id"}
}

func call(t *testing.T, pool *Pool, target Target, id string) (status int, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	status, _, data, err := pool.CallBuffered(ctx, target, newRequest(id), 1<<20)
	return status, string(data), err
}

const (
	response1 = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\nhello"
	response2 = "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 5\r\n\r\nthere"
)

// A server sends responses that are malformed or truncated at any point. Only a
// complete response to this request may be accepted; the caller could not detect
// a truncated response or one to another request.
func TestCallAcceptsOnlyCompleteMatchingResponses(t *testing.T) {
	stray := strings.Replace(response1, "r1", "r0", 1)
	tests := []struct {
		name, text, body string
		ok               bool
	}{
		{"complete", response1, "hello", true},
		{"chunked", "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", true},
		{"without a length", "HTTP/1.1 200 OK\r\nId: r1\r\n\r\nhello<end>", "hello", true},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + response1, "hello", true},
		{"after a stray response", stray + response1, "hello", true},
		{"truncated", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\nhello<end>", "", false},
		{"reset without a length", "HTTP/1.1 200 OK\r\nId: r1\r\n\r\nhello<reset>", "", false},
		{"chunked without last chunk", "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n<end>", "", false},
		{"no response", "<end>", "", false},
		{"not HTTP", "what?\r\n\r\n<end>", "", false},
		{"too many stray responses", stray + stray + stray + response1, "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target, _ := startServer(t, test.text)
			_, body, err := call(t, NewPool(testTimeout, NewMemory(0)), target, "r1")
			if (err == nil) != test.ok || body != test.body {
				t.Errorf("got %q, %v; want %q, ok = %v", body, err, test.body, test.ok)
			}
			if err != nil && !Sent(err) {
				t.Error("the request was sent, but Sent reports false")
			}
		})
	}
}

func TestConnectionIsReused(t *testing.T) {
	target, connections := startServer(t, response1, response2)
	pool := NewPool(testTimeout, NewMemory(0))
	for _, id := range []string{"r1", "r2"} {
		if _, _, err := call(t, pool, target, id); err != nil {
			t.Fatal(err)
		}
	}
	if connections.Load() != 1 {
		t.Errorf("%d connections were made, want 1", connections.Load())
	}
}

// A faulty server sends extra bytes after its response. If the connection were
// reused, they would be read as the response to the next request.
func TestConnectionWithTrailingBytesIsNotReused(t *testing.T) {
	target, connections := startServer(t, response1+"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", response2)
	pool := NewPool(testTimeout, NewMemory(0))
	if _, _, err := call(t, pool, target, "r1"); err != nil {
		t.Fatal(err)
	}
	if _, body, err := call(t, pool, target, "r2"); err != nil || body != "there" {
		t.Fatalf("the next request got %q, %v", body, err)
	}
	if connections.Load() != 2 {
		t.Errorf("%d connections were made, want 2", connections.Load())
	}
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	target, _ := startServer(t, response1+"<end>", response2)
	pool := NewPool(testTimeout, NewMemory(0))
	if _, _, err := call(t, pool, target, "r1"); err != nil {
		t.Fatal(err)
	}
	for _, c := range pool.idle[target] {
		// The close arrives some time after the response.
		for c.isIdle() {
			time.Sleep(time.Millisecond)
		}
	}
	if _, body, err := call(t, pool, target, "r2"); err != nil || body != "there" {
		t.Errorf("the next request got %q, %v", body, err)
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, _, err = call(t, NewPool(testTimeout, NewMemory(0)), Target{Address: address}, "r1")
	if err == nil || Sent(err) {
		t.Errorf("got %v, want a NotSentError", err)
	}
}

// A caller cancels while the server works on its request. The server detects by
// the closed connection that it can stop.
func TestCancelClosesConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		cancel()
		_, _ = conn.Read(make([]byte, 1))
		ended <- err
	}()
	_, err = NewPool(testTimeout, NewMemory(0)).Call(ctx, Target{Address: listener.Addr().String()}, newRequest("r1"))
	if !errors.Is(err, context.Canceled) {
		t.Errorf("the call ended with %v, want context.Canceled", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("the server saw %v", err)
	}
}

func TestSweepClosesConnectionsOfRemovedServers(t *testing.T) {
	target, _ := startServer(t, response1)
	pool := NewPool(testTimeout, NewMemory(0))
	if _, _, err := call(t, pool, target, "r1"); err != nil {
		t.Fatal(err)
	}
	pool.Sweep(time.Now(), func(Target) bool { return false })
	if len(pool.idle) != 0 {
		t.Error("connection to a removed server was kept")
	}
}

// Guards against a process that stands still for good: who is asked which connections to keep may ask the pool meanwhile, under a lock of its own.
func TestSweepHoldsNoLockWhileItAsks(t *testing.T) {
	target, _ := startServer(t, response1)
	pool := NewPool(testTimeout, NewMemory(0))
	if _, _, err := call(t, pool, target, "r1"); err != nil {
		t.Fatal(err)
	}
	asked := false
	pool.Sweep(time.Now(), func(Target) bool {
		asked = true
		if !pool.mu.TryLock() {
			t.Fatal("the pool's lock is held")
		}
		pool.mu.Unlock()
		return true
	})
	if !asked || len(pool.idle) != 1 {
		t.Errorf("asked %v, connections to %d targets kept; want the one", asked, len(pool.idle))
	}
}

func TestKeepAliveTimeoutSetsExpiry(t *testing.T) {
	now := time.Unix(1000, 0)
	for value, want := range map[string]time.Duration{
		"timeout=10": 10*time.Second - expiryMargin, "max=5, timeout=2": 2*time.Second - expiryMargin, "timeout=0": 0, "": defaultIdle, "timeout=x": defaultIdle,
	} {
		var c conn
		c.setExpiry(value, now)
		if got := c.expires.Sub(now); got != want {
			t.Errorf("Keep-Alive %q: expires after %s, want %s", value, got, want)
		}
	}
}
