package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/answer"
)

const (
	// eventBytes is the size of the data of each test event.
	eventBytes = 1000
	// pieceEvents is a number of events that the buffers of the sockets cannot hold.
	pieceEvents = 100
)

func numberedEvent(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", eventBytes))
}

// sendEvents sends the events from first to last.
func sendEvents(w http.ResponseWriter, first, last int) {
	for id := first; id <= last; id++ {
		if _, err := io.WriteString(w, numberedEvent(id)); err != nil {
			return
		}
	}
	_ = http.NewResponseController(w).Flush()
}

// streamOf returns a handler that sends a complete stream of that many events.
func streamOf(events int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "yes")
		sendEvents(w, 1, events)
	}
}

// serveCallers serves a gateway on loopback, with small buffers in the system, and returns its address.
func serveCallers(t *testing.T, g *Gateway) string {
	t.Helper()
	server := httptest.NewUnstartedServer(g)
	server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		_ = conn.(*net.TCPConn).SetWriteBuffer(8 << 10)
		return answer.ConnContext(ctx, conn)
	}
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { g.Run(ctx) })
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		cancel()
		running.Wait()
	})
	return server.Listener.Addr().String()
}

// callSlowly sends a request for a stream from a socket with a small buffer, and reads nothing.
func callSlowly(t *testing.T, address, proto, id string) net.Conn {
	t.Helper()
	return callPathSlowly(t, address, proto, id, "/draft/")
}

func callPathSlowly(t *testing.T, address, proto, id, path string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/%s\r\nHost: h\r\nId: %s\r\n\r\n", path, proto, id); err != nil {
		t.Fatal(err)
	}
	return conn
}

// readRest reads an answer to its end and returns the IDs of its events and whether the framing shows a complete one.
func readRest(t *testing.T, conn net.Conn) (ids []string, complete bool) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, false
	}
	body, err := io.ReadAll(response.Body)
	for line := range strings.Lines(string(body)) {
		if id, found := strings.CutPrefix(line, "id: "); found {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return ids, err == nil
}

// requireEvents checks that the IDs are those from 1 to last, in order.
func requireEvents(t *testing.T, ids []string, last int) {
	t.Helper()
	if len(ids) != last {
		t.Errorf("%d events were received, want %d", len(ids), last)
	}
	for i, id := range ids {
		if id != fmt.Sprint(i+1) {
			t.Fatalf("event %d has ID %s", i+1, id)
		}
	}
}

// inflight returns how many requests count as in flight at all servers.
func inflight(g *Gateway) int {
	g.servers.mu.Lock()
	defer g.servers.mu.Unlock()
	sum := 0
	for _, v := range g.servers.byID {
		sum += v.inflight
	}
	return sum
}

func heldBytes(g *Gateway) (bytes int64, streams int) {
	g.backlogs.mu.Lock()
	defer g.backlogs.mu.Unlock()
	return g.backlogs.table.Total(), len(g.backlogs.streams)
}

// eventually waits until the condition holds; it fails after the given time.
func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(within); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", within, what)
		}
	}
}

var protos = []string{"1.0", "1.1"}
