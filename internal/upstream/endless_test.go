package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

const signedHead = "HTTP/1.1 200 OK\r\nId: r1\r\n"

// startEndless starts a server that answers each request with begin and then with more until the connection closes.
func startEndless(t *testing.T, begin, more string) Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, begin)
				for block := strings.Repeat(more, 1+(16<<10)/len(more)); err == nil; {
					_, err = io.WriteString(conn, block)
				}
			}()
		}
	}()
	return Target{Address: listener.Addr().String(), ID: "s"}
}

// Guards against calls that read a server's bytes without end: each must end by itself, long before its caller leaves.
func TestBytesWithoutEndAreGivenUp(t *testing.T) {
	chunked := signedHead + "Transfer-Encoding: chunked\r\n\r\n"
	for _, shape := range []struct{ name, begin, more string }{
		{"status line", "HTTP/1.1 200 ", "ok"},
		{"header line", signedHead + "X: ", "x"},
		{"header lines", signedHead, "X: y\r\n"},
		{"continued header line", signedHead + "X: y\r\n", " z\r\n"},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"large interim responses", "", "HTTP/1.1 103 Hints\r\nLink: " + strings.Repeat("l", 30<<10) + "\r\n\r\n"},
		{"stray responses", "", "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 1\r\n\r\na"},
		{"body of a stray response", "HTTP/1.1 200 OK\r\nId: r0\r\n\r\n", "b"},
		{"size of a chunk", chunked, "0"},
		{"chunk extensions", chunked, "1;e=" + strings.Repeat("f", 3000) + "\r\nx\r\n"},
		{"trailers", chunked + "0\r\n", "X: y\r\n"},
		{"body without a length", signedHead + "\r\n", "c"},
		{"body of chunks", chunked, "4\r\nabcd\r\n"},
		{"no HTTP", "", "what? "},
	} {
		t.Run(shape.name, func(t *testing.T) {
			target := startEndless(t, shape.begin, shape.more)
			memory := NewMemory(0)
			_, _, _, err := NewPool(testTimeout, memory).CallBuffered(context.Background(), target, newRequest("r1"), 1<<20)
			if err == nil || !Sent(err) {
				t.Errorf("got %v, want a failure of a request that was sent", err)
			}
			if n := memory.Used(); n != 0 {
				t.Errorf("%d bytes are still held", n)
			}
		})
	}
}

// Guards against many endless bodies that together take more memory than the process has for them.
func TestBodiesTogetherStayWithinTheMemory(t *testing.T) {
	const calls, limit = 40, 2 << 20
	target := startEndless(t, signedHead+"\r\n", "c")
	memory := NewMemory(limit)
	pool := NewPool(testTimeout, memory)
	var waiting sync.WaitGroup
	failed := make(chan error, calls)
	for range calls {
		waiting.Go(func() {
			_, _, _, err := pool.CallBuffered(context.Background(), target, newRequest("r1"), 1<<20)
			failed <- err
		})
	}
	waiting.Wait()
	close(failed)
	for err := range failed {
		if !errors.Is(err, ErrNoMemory) && !errors.Is(err, ErrTooLarge) {
			t.Errorf("got %v", err)
		}
	}
	if n := memory.Used(); n != 0 {
		t.Errorf("%d bytes are still held", n)
	}
	if _, err := ReadBody(strings.NewReader(strings.Repeat("d", 512<<10)), 1<<20, memory); err != nil {
		t.Errorf("afterwards a body is not read: %v", err)
	}
}

// Guards against a Memory that gives out more than its limit.
func TestMemoryIsNotExceeded(t *testing.T) {
	memory := NewMemory(100)
	a, b := memory.Hold(), memory.Hold()
	if err := a.Grow(freeBytes + 60); err != nil || memory.Used() != 60 {
		t.Fatalf("%v, %d used", err, memory.Used())
	}
	if err := b.Grow(freeBytes); err != nil || memory.Used() != 60 {
		t.Errorf("the free part: %v, %d used", err, memory.Used())
	}
	if err := b.Grow(freeBytes + 41); !errors.Is(err, ErrNoMemory) || memory.Used() != 60 {
		t.Errorf("beyond the limit: %v, %d used", err, memory.Used())
	}
	a.Release()
	if err := b.Grow(freeBytes + 100); err != nil || memory.Used() != 100 {
		t.Errorf("after a release: %v, %d used", err, memory.Used())
	}
}

// Guards against a head that comes a byte at a time until the caller leaves, while another server could answer.
func TestHeadThatTricklesIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		c := newConn(client)
		var serving sync.WaitGroup
		defer serving.Wait()
		defer client.Close()
		serving.Go(func() {
			defer server.Close()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return
			}
			// The run takes long before its answer begins.
			time.Sleep(20 * headTimeout)
			for _, b := range []byte(signedHead + "X: " + strings.Repeat("x", 1000)) {
				time.Sleep(headTimeout / 10)
				if _, err := server.Write([]byte{b}); err != nil {
					return
				}
			}
		})
		started := time.Now()
		request := newRequest("r1")
		request.Body, request.Method = nil, http.MethodGet
		_, err := exchange(c, request)
		if err == nil {
			t.Error("a head that did not end was taken")
		}
		if took := time.Since(started); took < 20*headTimeout || took > 22*headTimeout {
			t.Errorf("given up after %s", took)
		}
	})
}

// Guards against a connection that is kept although its server goes on writing, and one that is not though the body ended.
func TestDiscardKeepsOnlyWhatEnded(t *testing.T) {
	for _, test := range []struct {
		name, text string
		keeps      bool
	}{
		{"ended", response1, true},
		{"too long", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), false},
		{"not ended", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\nhello", false},
	} {
		target, _ := startServer(t, test.text)
		pool := NewPool(testTimeout, NewMemory(0))
		response, err := pool.Call(context.Background(), target, newRequest("r1"))
		if err != nil {
			t.Fatal(err)
		}
		response.Discard()
		if kept := pool.Idle(target) > 0; kept != test.keeps {
			t.Errorf("%s: kept %v, want %v", test.name, kept, test.keeps)
		}
	}
}
