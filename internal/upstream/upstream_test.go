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

// patience bounds calls that are expected to end; no test waits for it.
const patience = time.Minute

// script answers the requests of each connection by one text after the other.
// A text that ends with "<reset>" is followed by a reset, one with "<end>" by an
// orderly end.
func script(t *testing.T, texts ...string) (Target, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	answers := make(chan string, len(texts))
	for _, text := range texts {
		answers <- text
	}
	connections := new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go answer(conn, answers)
		}
	}()
	return Target{Address: listener.Addr().String(), ID: "s"}, connections
}

func answer(conn net.Conn, answers <-chan string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		text := <-answers
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

func ask(id string) *Request {
	return &Request{Method: http.MethodPost, URI: "/x", Host: "h", Body: []byte("body"), ID: id, IDHeader: "Id"}
}

func call(t *testing.T, pool *Pool, target Target, id string) (status int, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	status, _, data, err := pool.CallWhole(ctx, target, ask(id), 1<<20)
	return status, string(data), err
}

const (
	whole = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\nhello"
	next  = "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 5\r\n\r\nthere"
)

// A server breaks its answers in every way that the wire allows. Only a whole
// answer to this very request may pass; a caller that got half a draft, or a
// neighbour's, would take it for its own.
func TestOnlyWholeAnswersToTheRequestPass(t *testing.T) {
	stray := strings.Replace(whole, "r1", "r0", 1)
	tests := []struct {
		name, text, body string
		ok               bool
	}{
		{"whole", whole, "hello", true},
		{"in chunks", "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", true},
		{"without a length", "HTTP/1.1 200 OK\r\nId: r1\r\n\r\nhello<end>", "hello", true},
		{"behind an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + whole, "hello", true},
		{"behind a late answer to another", stray + whole, "hello", true},
		{"cut short", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\nhello<end>", "", false},
		{"reset without a length", "HTTP/1.1 200 OK\r\nId: r1\r\n\r\nhello<reset>", "", false},
		{"chunks without their end", "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n<end>", "", false},
		{"no answer", "<end>", "", false},
		{"no protocol", "what?\r\n\r\n<end>", "", false},
		{"strangers' answers only", stray + stray + stray + whole, "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target, _ := script(t, test.text)
			_, body, err := call(t, NewPool(patience), target, "r1")
			if (err == nil) != test.ok || body != test.body {
				t.Errorf("got %q, %v; want %q, ok = %v", body, err, test.body, test.ok)
			}
			if err != nil && !Sent(err) {
				t.Error("the request was sent, and counts as not sent")
			}
		})
	}
}

func TestAConnectionIsKeptForTheNextRequest(t *testing.T) {
	target, connections := script(t, whole, next)
	pool := NewPool(patience)
	for _, id := range []string{"r1", "r2"} {
		if _, _, err := call(t, pool, target, id); err != nil {
			t.Fatal(err)
		}
	}
	if connections.Load() != 1 {
		t.Errorf("%d connections were made, want 1", connections.Load())
	}
}

// A faulty server sends bytes behind its answer. On the next request they would
// stand where that one's answer is due.
func TestAConnectionWithBytesLeftIsNotUsedAgain(t *testing.T) {
	target, connections := script(t, whole+"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", next)
	pool := NewPool(patience)
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

func TestAClosedIdleConnectionIsNoticedBeforeItIsUsed(t *testing.T) {
	target, _ := script(t, whole+"<end>", next)
	pool := NewPool(patience)
	if _, _, err := call(t, pool, target, "r1"); err != nil {
		t.Fatal(err)
	}
	for _, kept := range pool.idle[target] {
		// The end arrives some time behind the answer.
		for kept.quiet() {
			time.Sleep(time.Millisecond)
		}
	}
	if _, body, err := call(t, pool, target, "r2"); err != nil || body != "there" {
		t.Errorf("the next request got %q, %v", body, err)
	}
}

func TestAServerThatListensNoMoreGetsNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, _, err = call(t, NewPool(patience), Target{Address: address}, "r1")
	if err == nil || Sent(err) {
		t.Errorf("got %v, want an error that says that nothing was sent", err)
	}
}

// A caller leaves while a server works for it. The closed connection is how the
// server learns that it can stop.
func TestTheConnectionEndsWithItsCaller(t *testing.T) {
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
	_, err = NewPool(patience).Call(ctx, Target{Address: listener.Addr().String()}, ask("r1"))
	if !errors.Is(err, context.Canceled) {
		t.Errorf("the call ended with %v", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("the server saw %v", err)
	}
}

func TestConnectionsOfServersThatAreGoneAreClosed(t *testing.T) {
	target, _ := script(t, whole)
	pool := NewPool(patience)
	if _, _, err := call(t, pool, target, "r1"); err != nil {
		t.Fatal(err)
	}
	pool.Sweep(time.Now(), func(Target) bool { return false })
	if len(pool.idle) != 0 {
		t.Error("a connection to a server that is gone is kept")
	}
}

func TestKeepAliveOfTheServerBoundsHowLongAConnectionIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	for value, want := range map[string]time.Duration{
		"timeout=10": 10*time.Second - expiryMargin, "max=5, timeout=2": 2*time.Second - expiryMargin, "timeout=0": 0, "": defaultIdle, "timeout=x": defaultIdle,
	} {
		var c conn
		c.noteKeepAlive(value, now)
		if got := c.expires.Sub(now); got != want {
			t.Errorf("%q keeps it %s, want %s", value, got, want)
		}
	}
}
