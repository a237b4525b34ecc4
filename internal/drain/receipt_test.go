package drain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/socket"
)

// smallBuffer makes a caller's system take little that the caller has not read.
func smallBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
}

// serveTracked starts a server whose connections are tracked, and connects a caller whose system takes little.
func serveTracked(t *testing.T, handler http.HandlerFunc) (*Connections, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	connections, tracked := Track(server, listener, Limit{})
	go func() { _ = server.Serve(tracked) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := (&net.Dialer{Control: smallBuffer}).Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return connections, conn
}

// Guards against the end of an answer that is lost with its connection, which a close with unread bytes resets: the caller had sent more, and reads slowly.
func TestAnswerIsReceivedWholeAlthoughItsCallerSentMore(t *testing.T) {
	const size = 100 << 10
	for name, more := range map[string]string{"nothing": "", "a line end": "\r\n", "a request": "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			began, answer := make(chan struct{}), make(chan struct{})
			connections, conn := serveTracked(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				w.Header().Set("Connection", "close")
				close(began)
				<-answer
				_, _ = w.Write(make([]byte, size))
			})
			if _, err := io.WriteString(conn, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"); err != nil {
				t.Fatal(err)
			}
			<-began
			if _, err := io.WriteString(conn, more); err != nil {
				t.Fatal(err)
			}
			time.Sleep(lookInterval)
			stopped := make(chan error, 1)
			go func() { stopped <- connections.Shutdown(context.Background()) }()
			close(answer)
			if err := <-stopped; err != nil {
				t.Errorf("the stop ended with %v", err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if err != nil || len(body) != size {
				t.Errorf("received %d bytes of %d, %v", len(body), size, err)
			}
		})
	}
}

// Guards against a cut answer of which a caller that reads slowly gets half an event, as a reset discards what it has not received.
func TestCallerReceivesWhatWasWrittenBeforeAReset(t *testing.T) {
	const size = 100 << 10
	_, conn := serveTracked(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = conn.Write(make([]byte, size))
		socket.Reset(conn)
	})
	if _, err := io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * lingerTimeout)
	content, err := io.ReadAll(conn)
	if len(content) != size || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("received %d bytes of %d and then %v, want all and then a reset", len(content), size, err)
	}
}

// Guards against a close behind the end of a stop's time that still waits for a caller that takes nothing.
func TestNoCloseWaitsBeyondAStop(t *testing.T) {
	begun := make(chan struct{})
	connections, conn := serveTracked(t, func(w http.ResponseWriter, r *http.Request) {
		own, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = own.Write(make([]byte, 1<<20))
		close(begun)
		socket.Reset(own)
	})
	if _, err := io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-begun
	ended, end := context.WithCancel(t.Context())
	end()
	if err := connections.Shutdown(ended); err == nil {
		t.Error("the stop waited for the connection")
	}
	for until := time.Now().Add(resetTimeout / 2); connections.Tally().Open > 0; time.Sleep(lingerStep) {
		if time.Now().After(until) {
			t.Fatal("the connection is not closed")
		}
	}
}

// Guards against a stop that waits to its end for the rest of a request that its caller does not send.
func TestStopDoesNotWaitForTheRestOfARequestThatIsNotSent(t *testing.T) {
	client, conn, c := countedConnection(t)
	conn.changeState(http.StateIdle, time.Now())
	if _, err := io.WriteString(client, "\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	if c.endUnused(time.Now()); conn.ended {
		t.Error("the connection is ended at once")
	}
	if c.endUnused(time.Now().Add(2 * requestTimeout)); !conn.ended {
		t.Error("the connection is not ended")
	}
}

// Guards against a stop that ends a new connection a while after its opening although its first request has begun to arrive.
func TestNewConnectionIsInUseWhileItsFirstRequestArrives(t *testing.T) {
	client, conn, c := countedConnection(t)
	conn.usedAt = time.Now().Add(-2 * requestTimeout)
	if _, err := io.WriteString(client, "GET / HTT"); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	if c.endUnused(time.Now().Add(requestTimeout / 2)); conn.ended {
		t.Error("the connection is ended")
	}
}

// pipeListener hands out connections that are not TCP connections.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) { return <-l.conns, nil }

// Guards against a connection that is served although no stop counts it.
func TestConnectionThatCannotBeCountedIsNotServed(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	l := &pipeListener{conns: make(chan net.Conn, 1)}
	l.conns <- near
	_, tracked := Track(&http.Server{Handler: http.NotFoundHandler()}, l, Limit{})
	if conn, err := tracked.Accept(); err == nil {
		t.Errorf("got %T, want an error", conn)
	}
}
