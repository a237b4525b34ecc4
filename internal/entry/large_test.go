package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/entry"
)

// A caller sends more than the entry accepts, and waits with the rest of its body
// for the answer. It is refused at once: the answer must not wait until all
// of the body has come, for which the caller has no time bound any more.
func TestABodyThatIsTooLargeIsRefusedBeforeItsEnd(t *testing.T) {
	_, server := newEntry(t, entry.Options{MaxBodyBytes: 16}, newSource())
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// Far beyond what an answer takes; only a test that fails waits so long.
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n%050d", callerKey, 0)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusRequestEntityTooLarge || !response.Close {
		t.Errorf("got %d, the connection ends behind it: %v", response.StatusCode, response.Close)
	}
}

// A caller stalls in the middle of its body. When its time is over it is told so;
// the call must not stay in flight for as long as the caller likes.
func TestABodyThatStallsIsRefusedInTime(t *testing.T) {
	_, server := newEntry(t, entry.Options{BodyTimeout: 50 * time.Millisecond}, newSource())
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// Far beyond the time for a body; only a test that fails waits so long.
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n%050d", callerKey, 0)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusBadRequest || !response.Close {
		t.Errorf("got %d, the connection ends behind it: %v", response.StatusCode, response.Close)
	}
}
