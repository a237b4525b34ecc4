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

// droppingServer answers the first request on each connection and reads the
// second whole, then drops the connection without a word.
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

// A booking desk reads a deposit on a kept-alive connection and crashes before
// it answers. net/http sends the deposit again by itself because it carries an
// Idempotency-Key, and a grandmother pays twice.
func TestADroppedCallIsSentOnceOnly(t *testing.T) {
	cases := []struct{ name, method, body string }{
		{"post with a key", http.MethodPost, `{"deposit":1}`},
		{"post with a key and no body", http.MethodPost, ""},
		{"get", http.MethodGet, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, reads := droppingServer(t)
			naive := &http.Client{Transport: &http.Transport{}}
			_ = callTwice(t, naive, func() *http.Request {
				request, _ := http.NewRequest(c.method, "http://"+address, bytes.NewReader([]byte(c.body)))
				request.Header.Set("Idempotency-Key", "k")
				return request
			})
			if reads.Load() < 3 {
				t.Errorf("net/http no longer replays (%d reads): the reason for this package is gone", reads.Load())
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
				t.Errorf("%d reads, error %v: want 2 reads and an error after the bytes were sent", reads.Load(), err)
			}
		})
	}
}

// A service closes its idle connections just when the next pallet release is
// sent on one. The release never reached the service, yet its sender would be
// told that its fate is unknown.
func TestACallThatMustNotRepeatGetsItsOwnConnection(t *testing.T) {
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
		t.Errorf("%d reads", reads.Load())
	}
}

// A request is given up while its connection is ready but nothing is written
// yet. If the writing went on afterwards, the caller's resend would run the
// call a second time.
func TestNothingLeavesAfterARequestIsReportedAsNotSent(t *testing.T) {
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
			t.Fatal("a silent server answered")
		}
		if relay.Sent(err) {
			continue
		}
		_ = server.SetReadDeadline(time.Now().Add(time.Millisecond))
		if n, _ := server.Read(make([]byte, 1)); n > 0 {
			t.Fatal("a byte left after the request was reported as not sent")
		}
	}
}

// A server falls silent within an answer, and a caller reads slowly. Only the
// first may be ended: a slow caller is not the server's fault.
func TestAWatchdogEndsSilenceButNotSlowReading(t *testing.T) {
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
			t.Fatal("slow reading ended the call")
		}
		go func() { _, _ = reader.Read(make([]byte, 1)) }()
		time.Sleep(2 * timeout)
		if !errors.Is(context.Cause(ctx), relay.ErrStalled) {
			t.Errorf("silence did not end the call: %v", context.Cause(ctx))
		}
		_ = sink.Close()
	})
}
