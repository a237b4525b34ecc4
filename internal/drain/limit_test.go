package drain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/intake"
)

// limitedServer is a server with a limit of two connections. It answers requests for /held once release is closed.
type limitedServer struct {
	*Connections
	address string
	held    chan struct{}
	release chan struct{}
}

func startLimited(t *testing.T, budget *intake.Budget) *limitedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &limitedServer{address: listener.Addr().String(), held: make(chan struct{}, 2), release: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			s.held <- struct{}{}
			<-s.release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})}
	var tracked net.Listener
	s.Connections, tracked = Track(server, listener, Limit{Connections: 2, Listener: "test", Intake: budget})
	go func() { _ = server.Serve(tracked) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// awaitIdle waits until a number of connections wait for their next request: a caller has its answer a little before.
func (s *limitedServer) awaitIdle(t *testing.T, connections int) {
	t.Helper()
	await(t, "idle connections", func() bool { return s.Tally().Idle == connections })
}

// awaitBegun waits until the server has read a part of a header.
func (s *limitedServer) awaitBegun(t *testing.T) {
	t.Helper()
	await(t, "a header that has begun", func() bool {
		open, _ := s.counted()
		return slices.ContainsFunc(open, func(c *connection) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.state == http.StateNew && c.hasRead
		})
	})
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for begun := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > time.Minute {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// client is a connection to a server with its reader.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *limitedServer) client(t *testing.T) *client {
	t.Helper()
	conn := dial(t, &stoppingServer{address: s.address})
	return &client{Conn: conn, reader: bufio.NewReader(conn)}
}

// isClosed waits until the server has closed the connection; false if it answers or goes on.
func (c *client) isClosed(t *testing.T) bool {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := c.reader.ReadByte()
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against a server without room for a caller since others keep connections open on which no request comes, whole or
// begun.
func TestNewConnectionTakesPlaceOfQuietOne(t *testing.T) {
	s := startLimited(t, nil)
	begun, kept := s.client(t), s.client(t)
	if _, err := io.WriteString(begun, "GET /be"); err != nil {
		t.Fatal(err)
	}
	// It has waited the longest only if it is read before the other one gets its answer.
	s.awaitBegun(t)
	send(t, kept, "/first")
	if body, _ := receive(t, kept.reader); body != "/first" {
		t.Fatalf("got %q", body)
	}
	s.awaitIdle(t, 1)
	for _, evicted := range []*client{begun, kept} {
		newcomer := s.client(t)
		send(t, newcomer, "/new")
		if body, _ := receive(t, newcomer.reader); body != "/new" {
			t.Errorf("got %q", body)
		}
		if !evicted.isClosed(t) {
			t.Error("the connection that waited the longest is open")
		}
		s.awaitIdle(t, 2)
	}
	if open := s.Tally().Open; open > 2 {
		t.Errorf("%d connections are open, the limit is 2", open)
	}
}

// Guards against a request that is cut off for a new connection, and against a limit that is not kept.
func TestRequestsInProgressAreKept(t *testing.T) {
	s := startLimited(t, nil)
	first, second := s.client(t), s.client(t)
	send(t, first, "/held")
	send(t, second, "/held")
	<-s.held
	<-s.held
	if newcomer := s.client(t); !newcomer.isClosed(t) {
		t.Error("a third connection was accepted")
	}
	close(s.release)
	for _, c := range []*client{first, second} {
		if body, _ := receive(t, c.reader); body != "/held" {
			t.Errorf("got %q", body)
		}
	}
}

// Guards against bodies that stop within and keep all connections for themselves.
func TestSlowestBodyGivesWay(t *testing.T) {
	budget := intake.NewBudget(1<<20, zap.NewNop())
	s := startLimited(t, budget)
	interrupted := make(chan struct{})
	holding := budget.Begin(func() { close(interrupted) })
	defer holding.Release()
	for range 2 {
		send(t, s.client(t), "/held")
		<-s.held
	}
	for begun := time.Now(); ; {
		if !s.client(t).isClosed(t) {
			t.Fatal("a third connection was accepted")
		}
		select {
		case <-interrupted:
			close(s.release)
			return
		default:
			if time.Since(begun) > time.Minute {
				t.Fatal("the body that is not read keeps its place")
			}
		}
	}
}

// Guards against headers that do not end and fill the memory, and against one that is answered by a 400, after which no
// caller tries again.
func TestHeadersStayWithinBudget(t *testing.T) {
	budget := intake.NewBudget(1<<18, zap.NewNop())
	s := startLimited(t, budget)
	endless := s.client(t)
	if _, err := io.WriteString(endless, "GET / HTTP/1.1\r\nHost: h\r\n"); err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := io.WriteString(endless, "X-Line: "+strings.Repeat("x", 1000)+"\r\n"); err != nil {
			break
		}
	}
	if !endless.isClosed(t) {
		t.Error("a header that does not end was answered")
	}
	large := s.client(t)
	for _, path := range []string{"/first", "/second"} {
		if _, err := io.WriteString(large, "GET "+path+" HTTP/1.1\r\nHost: h\r\nX-Large: "+strings.Repeat("x", 40<<10)+"\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if body, _ := receive(t, large.reader); body != path {
			t.Errorf("got %q", body)
		}
	}
}
