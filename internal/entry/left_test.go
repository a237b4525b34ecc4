package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/standin/engine"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Guards against running requests that an agent reads after their entry has given them up, as it
// does when it stood still.
func TestRequestReadAfterItsEntryGaveUpIsNotRun(t *testing.T) {
	const requests = 16
	stood := engine.New(engine.Options{BaseModel: baseModel, Slots: 2})
	a, address := startAgent(t, stood.Handler())
	_, entryServer := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", address)))
	if got := call(t, entryServer, http.MethodPost, "/v1/completions", "", completion("x", 2, false)); got.outcome != outcome.Answered {
		t.Fatalf("before the agent stands still: outcome %v, want answered", got.outcome)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	body := completion("x", 2, false)
	for i := range requests {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\n%s: r%d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			wire.HeaderRequestID, i, wire.HeaderModel, model, len(body), body)
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.Close(); err != nil {
			t.Fatal(err)
		}
	}
	closed := make(chan struct{}, requests)
	server := &http.Server{Handler: a.Handler(), ConnContext: answer.ConnContext, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- struct{}{}
		}
	}}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	for range requests {
		<-closed
	}
	if left := a.Wait(t.Context()); left != 0 {
		t.Fatalf("%d requests are still in flight", left)
	}
	if got := len(stood.Started()); got != 1 {
		t.Errorf("%d of %d requests that had been given up ran", got-1, requests)
	}
}
