package relay_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/relay"
)

// droppingServer starts a server that responds to the first request it receives
// and closes the connection of every later one after reading it completely,
// without a response.
func droppingServer(t *testing.T) (address string, reads *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	reads = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go dropSecond(conn, reads)
		}
	}()
	return listener.Addr().String(), reads
}

func dropSecond(conn net.Conn, reads *atomic.Int64) {
	defer conn.Close()
	source := bufio.NewReader(conn)
	for range 2 {
		request, err := http.ReadRequest(source)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if reads.Add(1) > 1 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func callTwice(t *testing.T, client *http.Client, build func() *http.Request) error {
	t.Helper()
	response, err := client.Do(build())
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	response, err = client.Do(build())
	if err == nil {
		_ = response.Body.Close()
	}
	return err
}

// A booking service reads a deposit on a kept-alive connection and crashes before
// it responds. net/http resends the deposit on its own because it carries an
// Idempotency-Key, and the payer is charged twice.
func TestDroppedCallIsNotReplayed(t *testing.T) {
	cases := []struct{ name, method, body string }{
		{"post with a key", http.MethodPost, `{"deposit":1}`},
		{"post with a key and no body", http.MethodPost, ""},
		{"get", http.MethodGet, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, reads := droppingServer(t)
			standard := &http.Client{Transport: &http.Transport{}}
			_ = callTwice(t, standard, func() *http.Request {
				request, _ := http.NewRequest(c.method, "http://"+address, bytes.NewReader([]byte(c.body)))
				request.Header.Set("Idempotency-Key", "k")
				return request
			})
			if reads.Load() < 3 {
				t.Errorf("net/http no longer replays requests (%d reads): this package is no longer needed", reads.Load())
			}
			address, reads = droppingServer(t)
			err := callTwice(t, relay.NewClient(time.Second), func() *http.Request {
				request, err := relay.NewRequest(t.Context(), c.method, "http://"+address, bytes.NewReader([]byte(c.body)), int64(len(c.body)))
				if err != nil {
					t.Fatal(err)
				}
				request.Header.Set("Idempotency-Key", "k")
				return request
			})
			if reads.Load() != 2 || err == nil || !relay.Sent(err) {
				t.Errorf("%d reads, error %v: want 2 reads and an error for which Sent is true", reads.Load(), err)
			}
		})
	}
}

// A service closes an idle connection just as the next request is sent on it. The
// request never reaches the service, yet its sender would be told that the outcome
// is unknown.
func TestCloseRequestUsesOwnConnection(t *testing.T) {
	address, reads := droppingServer(t)
	client := relay.NewClient(time.Second)
	for range 2 {
		request, err := relay.NewRequest(t.Context(), http.MethodPost, "http://"+address, bytes.NewReader([]byte("x")), 1)
		if err != nil {
			t.Fatal(err)
		}
		request.Close = true
		response, err := client.Do(request)
		if reads.Load() == 1 && err != nil {
			t.Fatal(err)
		}
		if err == nil {
			_ = response.Body.Close()
		}
	}
	if reads.Load() != 2 {
		t.Errorf("%d reads, want 2", reads.Load())
	}
}

// A request is abandoned when its connection is ready but nothing has been
// written yet. If it were written afterwards, the caller's retry would run the
// call a second time.
func TestNotSentRequestWritesNothingLater(t *testing.T) {
	for range 200 {
		client, server := net.Pipe()
		transport := relay.NewTransportOver(func(context.Context, string, string) (net.Conn, error) { return client, nil })
		ctx, cancel := context.WithCancel(t.Context())
		request, err := relay.NewRequest(ctx, http.MethodPost, "http://service.test/", bytes.NewReader([]byte("x")), 1)
		if err != nil {
			t.Fatal(err)
		}
		request.Close = true
		go cancel()
		_, err = transport.RoundTrip(request)
		if err == nil {
			t.Fatal("got a response from a silent server")
		}
		if relay.Sent(err) {
			continue
		}
		_ = server.SetReadDeadline(time.Now().Add(time.Millisecond))
		if n, _ := server.Read(make([]byte, 1)); n > 0 {
			t.Fatal("a byte was sent after the request was reported as not sent")
		}
	}
}

// A server stops sending in the middle of a response, or a caller reads slowly.
// Only the former may end the call: a slow caller is not the server's fault.
func TestWatchdogIgnoresSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = time.Second
		ctx, watchdog := relay.Watch(t.Context(), timeout)
		defer watchdog.Stop()
		source, sink := io.Pipe()
		reader := watchdog.Reader(source, timeout)
		go func() {
			for range 3 {
				_, _ = sink.Write([]byte("x"))
			}
		}()
		for range 3 {
			if _, err := reader.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(5 * timeout)
		}
		if ctx.Err() != nil {
			t.Fatal("slow reader ended the call")
		}
		go func() { _, _ = reader.Read(make([]byte, 1)) }()
		time.Sleep(2 * timeout)
		if !errors.Is(context.Cause(ctx), relay.ErrStalled) {
			t.Errorf("silent server did not end the call: %v", context.Cause(ctx))
		}
		_ = sink.Close()
	})
}
