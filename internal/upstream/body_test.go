package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// An engine's report grows beyond the limit of its reader. Truncated at the
// limit it would be taken for the complete report, and whatever follows the
// limit would be taken as absent.
func TestCallBufferedRejectsOversizedBody(t *testing.T) {
	for limit, fits := range map[int]bool{4: false, 5: true, 6: true} {
		target, _ := startServer(t, response1)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_, _, body, err := NewPool(testTimeout, NewMemory(0)).CallBuffered(ctx, target, newRequest("r1"), limit)
		if (err == nil) != fits || fits && string(body) != "hello" || !fits && body != nil {
			t.Errorf("limit %d bytes: got %q, %v", limit, body, err)
		}
	}
}

// A late response to another request is larger than maxStrayBytes, and its body
// contains text that looks like a response to this request, by accident (a
// document about HTTP) or by intent. Text within a body must not be parsed as a
// response.
func TestStrayBodyIsNotParsedAsResponse(t *testing.T) {
	// A reader that stops at the limit has read one byte beyond it.
	body := strings.Repeat("x", maxStrayBytes+1) + response1
	late := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	target, _ := startServer(t, late+strings.Replace(response1, "hello", "right", 1))
	if status, body, err := call(t, NewPool(testTimeout, NewMemory(0)), target, "r1"); err == nil && body != "right" {
		t.Errorf("got response %d, %q", status, body)
	}
}

// A response is truncated and its reader reads again, as a buffered reader does,
// or one that inspects the beginning before it forwards the rest. Every further
// read must return an error. An io.EOF from the second read would make a
// truncated body look complete and return a closed connection to the pool.
func TestTruncatedBodyErrorIsSticky(t *testing.T) {
	for name, text := range map[string]string{
		"length":     "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\nhello<end>",
		"chunks":     "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n<end>",
		"no trailer": "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n<end>",
		"bad chunk":  "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\nhello\r\n<end>",
		"reset":      "HTTP/1.1 200 OK\r\nId: r1\r\n\r\nhello<reset>",
	} {
		t.Run(name, func(t *testing.T) {
			target, _ := startServer(t, text)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			pool := NewPool(testTimeout, NewMemory(0))
			response, err := pool.Call(ctx, target, newRequest("r1"))
			if err != nil {
				// A reset may overtake the header.
				return
			}
			for range 3 {
				if _, err := io.ReadAll(response.Body); err == nil {
					t.Error("truncated body ended without an error")
				}
			}
			response.Release()
			if pool.Idle(target) != 0 {
				t.Error("connection was kept")
			}
		})
	}
}

// A full server refuses a request, and a duplicate of the refusal arrives late.
// Meanwhile the request is retried there and runs. On the same connection the
// duplicate would arrive in place of the response to the retry and carry the
// right id: the caller would be told that its request did not run.
func TestLateDuplicateDoesNotAnswerRetry(t *testing.T) {
	refusal := "HTTP/1.1 503 Full\r\nId: r1\r\nContent-Length: 0\r\n\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for connections := 0; ; connections++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			responses := make(chan string, 3)
			if connections == 0 {
				responses <- refusal
				responses <- response2
				responses <- refusal + response1
			} else {
				responses <- response1
			}
			close(responses)
			go serveScript(conn, responses)
		}
	}()
	pool, target := NewPool(testTimeout, NewMemory(0)), Target{Address: listener.Addr().String()}
	for i, want := range []string{"r1 503 ", "r2 200 there", "r1 200 hello"} {
		id, _, _ := strings.Cut(want, " ")
		status, body, err := call(t, pool, target, id)
		if got := fmt.Sprintf("%s %d %s", id, status, body); err != nil || got != want {
			t.Errorf("call %d got %q, %v, want %q", i, got, err, want)
		}
	}
}

// A request without an id is sent on a connection on which a late duplicate of
// an earlier response arrives. The duplicate carries the id of the earlier
// request and must not be accepted as the response to this one.
func TestRequestWithoutIDIgnoresStrayResponse(t *testing.T) {
	duplicate := response1 + "HTTP/1.1 400 No id\r\nContent-Length: 2\r\n\r\nno"
	target, _ := startServer(t, response1, duplicate, duplicate)
	pool := NewPool(testTimeout, NewMemory(0))
	if _, body, err := call(t, pool, target, "r1"); err != nil || body != "hello" {
		t.Fatalf("got %q, %v", body, err)
	}
	if status, body, err := call(t, pool, target, ""); err == nil && body == "hello" {
		t.Errorf("a request without an id got %d, %q, the response to r1", status, body)
	}
}

// A late response to one request without an id cannot be distinguished from the
// response to another, so two such requests must not share a connection.
func TestRequestsWithoutIDDoNotShareConnection(t *testing.T) {
	refused := "HTTP/1.1 400 No id\r\nContent-Length: 2\r\n\r\nno"
	target, connections := startServer(t, refused, refused, response1, response2)
	pool := NewPool(testTimeout, NewMemory(0))
	for i, id := range []string{"", "", "r1", "r2"} {
		if _, _, err := call(t, pool, target, id); err != nil {
			t.Errorf("call %d ended with %v", i, err)
		}
	}
	if connections.Load() != 3 {
		t.Errorf("%d connections were made, want 3", connections.Load())
	}
}
