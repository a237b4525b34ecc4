package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/entry"
)

// sendHalfBody sends a request with half of its body, and returns the answer that comes before the rest
// of it. Only a failing test waits for long.
func sendHalfBody(t *testing.T, server *httptest.Server) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n%050d", callerKey, 0)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// A caller sends a larger body than the entry accepts, and waits for the answer
// before it sends the rest. The request must be refused immediately: the answer
// must not wait for the rest of the body, which has no read deadline any more.
func TestTooLargeBodyIsRefusedBeforeItsEnd(t *testing.T) {
	_, server := newEntry(t, entry.Options{MaxBodyBytes: 16}, newSource())
	response := sendHalfBody(t, server)
	if response.StatusCode != http.StatusRequestEntityTooLarge || !response.Close {
		t.Errorf("status %d, Connection: close %v; want 413, true", response.StatusCode, response.Close)
	}
}

// A caller stalls in the middle of its body. After the body timeout its request
// must be refused and must not stay in flight for as long as the caller chooses.
func TestStalledBodyIsRefusedAfterTimeout(t *testing.T) {
	_, server := newEntry(t, entry.Options{BodyTimeout: 50 * time.Millisecond}, newSource())
	response := sendHalfBody(t, server)
	if response.StatusCode != http.StatusBadRequest || !response.Close {
		t.Errorf("status %d, Connection: close %v; want 400, true", response.StatusCode, response.Close)
	}
}
