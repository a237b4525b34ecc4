package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// An engine's report grows beyond what its reader holds. Cut at the bound it
// would pass for the whole report, and whatever stands behind the cut for not
// being there.
func TestAnAnswerBeyondItsBoundIsNotWhole(t *testing.T) {
	for limit, fits := range map[int64]bool{4: false, 5: true, 6: true} {
		target, _ := script(t, whole)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_, _, body, err := NewPool(patience).CallWhole(ctx, target, ask("r1"), limit)
		if (err == nil) != fits || fits && string(body) != "hello" || !fits && body != nil {
			t.Errorf("of at most %d bytes: got %q, %v", limit, body, err)
		}
	}
}

// A late answer to another request is larger than what is passed over of it,
// and holds what looks like an answer to this one: a document that shows the
// protocol, or one made to. What stands within a body is nobody's answer.
func TestTheBodyOfAnotherAnswerIsNotReadAsThisOne(t *testing.T) {
	// A reader that gives up behind the bound has read one byte more.
	body := strings.Repeat("x", maxStrayBytes+1) + whole
	late := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	target, _ := script(t, late+strings.Replace(whole, "hello", "right", 1))
	if status, body, err := call(t, NewPool(patience), target, "r1"); err == nil && body != "right" {
		t.Errorf("got %d, %q as the answer", status, body)
	}
}

// An answer breaks off, and its reader reads on: one that goes through a buffer,
// or looks at the beginning before it passes the rest on. Every read behind the
// break must say so again. An end at the second read would make a part look
// like the whole, and put a connection that is closed back into the pool.
func TestABodyThatBrokeOffNeverEnds(t *testing.T) {
	for name, text := range map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\nhello<end>",
		"chunks":      "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n<end>",
		"no trailer":  "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n<end>",
		"no protocol": "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\nhello\r\n<end>",
		"reset":       "HTTP/1.1 200 OK\r\nId: r1\r\n\r\nhello<reset>",
	} {
		t.Run(name, func(t *testing.T) {
			target, _ := script(t, text)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			pool := NewPool(patience)
			response, err := pool.Call(ctx, target, ask("r1"))
			if err != nil {
				// A reset may overtake the header.
				return
			}
			for range 3 {
				if _, err := io.ReadAll(response.Body); err == nil {
					t.Error("a body that broke off came to its end")
				}
			}
			response.Release()
			if pool.Idle(target) != 0 {
				t.Error("the connection is kept")
			}
		})
	}
}

// A server that is full refuses a request, and its refusal comes a second time,
// late. Meanwhile the request is sent there again and runs. On the same
// connection the late copy stands where that answer is due and bears the right
// id: the caller would be told that its request did not run.
func TestALateCopyIsNoAnswerToTheNextTry(t *testing.T) {
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
			answers := make(chan string, 3)
			if connections == 0 {
				answers <- refusal
				answers <- next
				answers <- refusal + whole
			} else {
				answers <- whole
			}
			close(answers)
			go answer(conn, answers)
		}
	}()
	pool, target := NewPool(patience), Target{Address: listener.Addr().String()}
	for i, want := range []string{"r1 503 ", "r2 200 there", "r1 200 hello"} {
		id, _, _ := strings.Cut(want, " ")
		status, body, err := call(t, pool, target, id)
		if got := fmt.Sprintf("%s %d %s", id, status, body); err != nil || got != want {
			t.Errorf("call %d got %q, %v, want %q", i, got, err, want)
		}
	}
}

// A caller gives its request no id, and the request goes out on a connection on
// which a late copy of an earlier answer comes. The copy bears the earlier
// request's id: it is no answer to this one.
func TestARequestWithoutIdGetsNoAnswerToAnother(t *testing.T) {
	copied := whole + "HTTP/1.1 400 No id\r\nContent-Length: 2\r\n\r\nno"
	target, _ := script(t, whole, copied, copied)
	pool := NewPool(patience)
	if _, body, err := call(t, pool, target, "r1"); err != nil || body != "hello" {
		t.Fatalf("got %q, %v", body, err)
	}
	if status, body, err := call(t, pool, target, ""); err == nil && body == "hello" {
		t.Errorf("a request without an id got %d, %q, the answer to r1", status, body)
	}
}

// Of two requests without an id the late answer to the one cannot be told from
// the answer to the other. They share no connection.
func TestRequestsWithoutIdShareNoConnection(t *testing.T) {
	refused := "HTTP/1.1 400 No id\r\nContent-Length: 2\r\n\r\nno"
	target, connections := script(t, refused, refused, whole, next)
	pool := NewPool(patience)
	for i, id := range []string{"", "", "r1", "r2"} {
		if _, _, err := call(t, pool, target, id); err != nil {
			t.Errorf("call %d ended with %v", i, err)
		}
	}
	if connections.Load() != 3 {
		t.Errorf("%d connections were made, want 3", connections.Load())
	}
}
