package drain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// stoppingServer is a server that stands still before it reads the second request of a connection,
// until resume is closed.
type stoppingServer struct {
	connections *Connections
	address     string
	resume      chan struct{}
	idle        chan struct{}
}

func startServer(t *testing.T) *stoppingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stoppingServer{address: listener.Addr().String(), resume: make(chan struct{}), idle: make(chan struct{})}
	var once sync.Once
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })}
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			once.Do(func() { close(s.idle) })
			<-s.resume
		}
	}
	var tracked net.Listener
	s.connections, tracked = Track(server, listener, Limit{})
	go func() { _ = server.Serve(tracked) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func dial(t *testing.T, s *stoppingServer) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, path string) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

func receive(t *testing.T, reader *bufio.Reader) (body string, last bool) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(content), response.Close
}

// Guards against a stop that closes a kept connection on which a whole request waits to be read: its
// caller cannot tell whether it has run.
func TestStopAnswersRequestThatWaitsToBeRead(t *testing.T) {
	s := startServer(t)
	conn := dial(t, s)
	reader := bufio.NewReader(conn)
	send(t, conn, "/first")
	if body, _ := receive(t, reader); body != "/first" {
		t.Fatalf("got %q", body)
	}
	<-s.idle
	send(t, conn, "/second")
	stopped := make(chan error, 1)
	go func() { stopped <- s.connections.Shutdown(context.Background()) }()
	time.Sleep(5 * lookInterval)
	close(s.resume)
	if body, last := receive(t, reader); body != "/second" || !last {
		t.Errorf("got %q, last on its connection: %v; want the answer to the second request, and the connection's end", body, last)
	}
	if err := <-stopped; err != nil {
		t.Errorf("the stop ended with %v", err)
	}
}

// heldListener holds each connection between its acceptance and the return of Accept, until resume is closed.
type heldListener struct {
	net.Listener
	accepted, resume chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.resume
	}
	return conn, err
}

// Guards against a stop that ends while a connection is being accepted: its request is passed on and gets no answer.
func TestStopWaitsForConnectionThatIsBeingAccepted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{Listener: listener, accepted: make(chan struct{}), resume: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })}
	connections, tracked := Track(server, held, Limit{})
	go func() { _ = server.Serve(tracked) }()
	resume := sync.OnceFunc(func() { close(held.resume) })
	t.Cleanup(func() {
		resume()
		_ = server.Close()
	})
	conn := dial(t, &stoppingServer{address: listener.Addr().String()})
	send(t, conn, "/first")
	<-held.accepted
	stopped := make(chan error, 1)
	go func() { stopped <- connections.Shutdown(context.Background()) }()
	time.Sleep(5 * lookInterval)
	select {
	case <-stopped:
		t.Fatal("the stop ended while a connection was being accepted")
	default:
	}
	resume()
	if body, last := receive(t, bufio.NewReader(conn)); body != "/first" || !last {
		t.Errorf("got %q, last on its connection: %v; want the answer and the connection's end", body, last)
	}
	if err := <-stopped; err != nil {
		t.Errorf("the stop ended with %v", err)
	}
}

func TestStopClosesUnusedConnections(t *testing.T) {
	s := startServer(t)
	close(s.resume)
	conn := dial(t, s)
	reader := bufio.NewReader(conn)
	send(t, conn, "/first")
	if _, last := receive(t, reader); last {
		t.Error("the connection ends with an answer before the stop")
	}
	if err := s.connections.Shutdown(context.Background()); err != nil {
		t.Errorf("the stop ended with %v", err)
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("reading from the connection ends with %v, want EOF", err)
	}
	if conn, err := net.Dial("tcp", s.address); err == nil {
		conn.Close()
		t.Error("the server still accepts connections")
	}
}

func TestStopEndsWithItsContext(t *testing.T) {
	s := startServer(t)
	defer close(s.resume)
	conn := dial(t, s)
	send(t, conn, "/first")
	receive(t, bufio.NewReader(conn))
	send(t, conn, "/second")
	ctx, cancel := context.WithTimeout(context.Background(), 3*lookInterval)
	defer cancel()
	if err := s.connections.Shutdown(ctx); err == nil {
		t.Error("the stop ended without an error while a request waits to be read")
	}
}

// Guards against a request that is passed on although its connection is closed in the moment in which it is read.
func TestBytesReadAtTheEndOfAConnectionAreServed(t *testing.T) {
	client, accepted := connect(t)
	conn := newConnection(accepted, &Connections{})
	conn.changeState(http.StateIdle, time.Now())
	long := time.Now().Add(time.Minute)
	for _, arrive := range []func(){conn.recordRead, func() { conn.changeState(http.StateActive, time.Now()) }} {
		conn.changeState(http.StateIdle, time.Now())
		conn.endIfUnused(long)
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("reading from an ended connection gives %v, want its deadline", err)
		}
		arrive()
		send(t, client, "/rest")
		if n, err := conn.Read(make([]byte, 100)); n == 0 || err != nil {
			t.Errorf("read %d bytes, %v, of a request of which bytes had been read", n, err)
		}
	}
}

// Guards against bytes that are taken from a connection that is ended: they must stay unread, so that nothing is passed on.
func TestNothingIsReadBehindTheEndOfAConnection(t *testing.T) {
	client, accepted := connect(t)
	conn := newConnection(accepted, &Connections{})
	conn.changeState(http.StateIdle, time.Now())
	conn.endIfUnused(time.Now().Add(time.Minute))
	send(t, client, "/late")
	if n, err := conn.Read(make([]byte, 4)); n != 0 || err == nil {
		t.Errorf("read %d bytes behind the end, %v", n, err)
	}
}

// Guards against a stop of a process that is behind, whose looks follow each other before what was read has become a request: its connection was closed while it was passed on.
func TestStopKeepsConnectionOfRequestThatIsBeingRead(t *testing.T) {
	client, conn, c := countedConnection(t)
	conn.changeState(http.StateIdle, time.Now())
	send(t, client, "/second")
	if _, err := conn.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	for _, later := range []time.Duration{lookInterval, requestTimeout / 2} {
		if left := c.endUnused(time.Now().Add(later)); left != 1 || conn.ended {
			t.Fatalf("the connection is ended %s later, while its request is being read", later)
		}
	}
	// A process may be behind for longer than a caller takes to send a request.
	c.endUnused(time.Now().Add(time.Minute))
	conn.changeState(http.StateActive, time.Now())
	send(t, client, "/rest")
	if n, err := conn.Read(make([]byte, 100)); n == 0 || err != nil {
		t.Fatalf("read %d bytes, %v, of a request that was being read", n, err)
	}
	conn.changeState(http.StateIdle, time.Now())
	if c.endUnused(time.Now().Add(time.Minute)); !conn.ended {
		t.Error("the connection stays open after the answer")
	}
}

// Guards against a stop that closes a connection that was opened long ago while its first request is being read.
func TestStopKeepsNewConnectionWhoseFirstRequestIsBeingRead(t *testing.T) {
	client, conn, c := countedConnection(t)
	send(t, client, "/first")
	if _, err := conn.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if left := c.endUnused(time.Now().Add(2 * requestTimeout)); left != 1 {
			t.Fatal("the connection is closed while its request is being read")
		}
	}
	conn.changeState(http.StateActive, time.Now())
	send(t, client, "/body")
	if n, err := conn.Read(make([]byte, 100)); n == 0 || err != nil {
		t.Errorf("read %d bytes, %v, of a request that was being read", n, err)
	}
}

// Guards against a connection that leaves the count before its socket is closed, as hijacked ones did.
func TestConnectionIsCountedUntilItsSocketIsClosed(t *testing.T) {
	_, conn, c := countedConnection(t)
	for _, state := range []http.ConnState{http.StateActive, http.StateHijacked, http.StateClosed} {
		c.changed(conn, state)
		if left := c.endUnused(time.Now().Add(time.Minute)); left != 1 {
			t.Errorf("%d connections are counted in state %v, want 1", left, state)
		}
	}
	_ = conn.Close()
	if left := c.endUnused(time.Now()); left != 0 {
		t.Errorf("%d connections are counted after the end, want none", left)
	}
}

// countedConnection returns the caller's end of a connection, and the connection with its count.
func countedConnection(t *testing.T) (client net.Conn, conn *connection, c *Connections) {
	client, accepted := connect(t)
	c = &Connections{open: make(map[*connection]struct{})}
	conn = newConnection(accepted, c)
	c.open[conn] = struct{}{}
	return client, conn, c
}

// connect returns both ends of a connection.
func connect(t *testing.T) (client net.Conn, accepted *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return client, conn.(*net.TCPConn)
}
