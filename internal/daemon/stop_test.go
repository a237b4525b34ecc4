package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/answer"
)

// A stop does not wait for ever: what still runs at its deadline is cut. To a
// caller of HTTP/1.0 the end of the connection is the end of the answer; closed in
// good order, the part that it has would look like the whole.
func TestAStopDoesNotMakeAPartLookWhole(t *testing.T) {
	released := make(chan struct{})
	d := &Daemon{log: zap.NewNop(), stop: func() {}, addresses: make(map[string]string)}
	handler := answer.Handler(func(*http.Request) answer.Answer {
		return answer.Stream(http.StatusOK, nil, func(pass answer.Pass) answer.End {
			_ = pass([]byte("part"))
			<-released
			return answer.Cut
		})
	})
	if err := d.serveHTTP(entryListen, "127.0.0.1:0", plain, handler, func(context.Context) {}); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", d.EntryAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	part := make([]byte, len("part"))
	if _, err := io.ReadFull(response.Body, part); err != nil {
		t.Fatal(err)
	}
	over, cancel := context.WithCancel(t.Context())
	cancel()
	d.Stop(over)
	if rest, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("%q looks whole", string(part)+string(rest))
	}
	close(released)
}
