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

// Guards against a truncated response that looks complete. A stop aborts the
// requests that still run at its deadline. An HTTP/1.0 client takes the end of
// the connection for the end of the response, so an orderly close would make the
// partial response look complete.
func TestStopAbortsConnectionOfPartialResponse(t *testing.T) {
	release := make(chan struct{})
	d := &Daemon{log: zap.NewNop(), stop: func() {}, addresses: make(map[string]string)}
	handler := answer.Handler(func(*http.Request) answer.Answer {
		return answer.Stream(http.StatusOK, nil, func(pass answer.Pass) answer.End {
			_ = pass([]byte("part"))
			<-release
			return answer.Cut
		})
	})
	if err := d.serveHTTP(entryListen, "127.0.0.1:0", plaintext, handler, func(context.Context) {}); err != nil {
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
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	d.Stop(expired)
	if rest, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("partial response %q ended without an error", string(part)+string(rest))
	}
	close(release)
}
