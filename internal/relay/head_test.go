package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/relay"
)

// answerAndClose serves one connection: it answers the first request with a whole answer and the second one with a text,
// and closes the connection.
func answerAndClose(t *testing.T, text string, reset bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer listener.Close()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for _, answer := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", text} {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, answer)
		}
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}()
	return listener.Addr().String()
}

// Guards against an answer that is taken from a header that broke off, and whose body then looks whole although it is short or missing.
func TestHeaderThatBreaksOffIsNoAnswer(t *testing.T) {
	for framing, header := range map[string]string{
		"length":                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 800\r\n\r\n",
		"chunks":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n",
		"end of the connection": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
	} {
		t.Run(framing, func(t *testing.T) {
			for cut := 1; cut < len(header); cut++ {
				for _, reset := range []bool{false, true} {
					address := answerAndClose(t, header[:cut], reset)
					client := relay.NewClient(time.Minute)
					response, err := client.Do(post(t, t.Context(), address, "/first", false))
					if err != nil {
						t.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
					response, err = client.Do(post(t, t.Context(), address, "/second", false))
					if err != nil {
						continue
					}
					body, err := io.ReadAll(response.Body)
					_ = response.Body.Close()
					t.Errorf("a header that ends in %q gave status %d with body %q, error %v", header[max(cut-20, 0):cut], response.StatusCode, body, err)
				}
			}
		})
	}
}
