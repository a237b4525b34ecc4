package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"
)

// Guards against a server that is told how much time is left from before the wait for its connection.
func TestLateHeaderIsTakenOnceConnected(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	responses := make(chan string, 1)
	responses <- "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	taken := false
	response, err := NewPool(testTimeout, NewMemory(0)).Call(ctx, Target{Address: listener.Addr().String(), ID: "s"}, &Request{
		Method: http.MethodGet, URI: "/x", Host: "h", ID: "1", IDHeader: "Id",
		LateHeader: func() http.Header {
			// Without a connection there is nothing to accept.
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			taken = true
			go serveScript(conn, responses)
			return http.Header{"Left": []string{"1"}}
		},
	})
	if err != nil || !taken {
		t.Fatalf("taken %v, %v", taken, err)
	}
	response.Abort()
}
