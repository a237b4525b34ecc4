package drain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// limitedServer is a server with a limit of two connections. It answers requests for /held once release is closed.
type limitedServer struct {
	*Connections
	address string
	held    chan struct{}
	release chan struct{}
}

func startLimited(t *testing.T, giveUpSlowest func() bool) *limitedServer {
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
	s.Connections, tracked = Track(server, listener, Limit{Connections: 2, Listener: "test", GiveUpSlowest: giveUpSlowest})
	go func() { _ = server.Serve(tracked) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// awaitIdle waits until a number of connections wait for their next request: a caller has its answer a little before.
func (s *limitedServer) awaitIdle(connections int) {
	for s.Tally().Idle != connections {
		time.Sleep(time.Millisecond)
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
	send(t, kept, "/first")
	if body, _ := receive(t, kept.reader); body != "/first" {
		t.Fatalf("got %q", body)
	}
	s.awaitIdle(1)
	for _, evicted := range []*client{begun, kept} {
		newcomer := s.client(t)
		send(t, newcomer, "/new")
		if body, _ := receive(t, newcomer.reader); body != "/new" {
			t.Errorf("got %q", body)
		}
		if !evicted.isClosed(t) {
			t.Error("the connection that waited the longest is open")
		}
		s.awaitIdle(2)
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
func TestSlowestBodyIsAskedToGiveWay(t *testing.T) {
	asked := make(chan struct{}, 8)
	s := startLimited(t, func() bool {
		asked <- struct{}{}
		return false
	})
	for range 2 {
		send(t, s.client(t), "/held")
		<-s.held
	}
	if !s.client(t).isClosed(t) {
		t.Error("a third connection was accepted")
	}
	<-asked
	close(s.release)
}
