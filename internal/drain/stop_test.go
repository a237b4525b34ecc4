package drain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	stopRounds  = 40
	stopCallers = 12
)

// requestLog tells which requests ran and which got a whole answer.
type requestLog struct {
	mu            sync.Mutex
	ran, answered map[string]bool
}

func newRequestLog() *requestLog {
	return &requestLog{ran: make(map[string]bool), answered: make(map[string]bool)}
}

func (l *requestLog) record(in map[string]bool, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in[path] = true
}

// Guards against a stop behind which a request has run and its caller has no whole answer: callers send on new and on kept connections until the server is gone.
func TestEachRequestThatRanIsAnsweredAtAStop(t *testing.T) {
	t.Parallel()
	for round := range stopRounds {
		random := rand.New(rand.NewPCG(1, uint64(round)))
		log := newRequestLog()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		pauses := []time.Duration{0, 0, time.Duration(random.IntN(3000)) * time.Microsecond}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			log.record(log.ran, r.URL.Path)
			time.Sleep(pauses[len(r.URL.Path)%len(pauses)])
			_, _ = io.WriteString(w, r.URL.Path)
		})}
		connections, tracked := Track(server, listener, Limit{})
		served := make(chan error, 1)
		go func() { served <- server.Serve(tracked) }()
		var callers sync.WaitGroup
		for caller := range stopCallers {
			callers.Go(func() { sendUntilGone(listener.Addr().String(), fmt.Sprintf("/%d/", caller), caller%3 == 0, log) })
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		if err := connections.Shutdown(context.Background()); err != nil {
			t.Errorf("the stop ended with %v", err)
		}
		if tally := connections.Tally(); tally.Open != 0 {
			t.Errorf("%+v connections are open behind the stop", tally)
		}
		// The process would end here.
		_ = server.Close()
		<-served
		callers.Wait()
		for path := range log.ran {
			if !log.answered[path] {
				t.Errorf("round %d: request %s ran and got no whole answer", round, path)
			}
		}
	}
}

// slowListener accepts each connection only once it may.
type slowListener struct {
	*net.TCPListener
	may chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	<-l.may
	return l.TCPListener.Accept()
}

// Guards against a stop that resets connections that wait to be accepted by a process that is behind.
func TestStopServesConnectionsThatWaitToBeAccepted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	slow := &slowListener{TCPListener: listener.(*net.TCPListener), may: make(chan struct{}, 3)}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })}
	connections, tracked := Track(server, slow, Limit{})
	connections.pendingTimeout = time.Hour
	go func() { _ = server.Serve(tracked) }()
	t.Cleanup(func() {
		close(slow.may)
		_ = server.Close()
	})
	log, conns := newRequestLog(), make([]net.Conn, 2)
	for i := range conns {
		conns[i] = dial(t, &stoppingServer{address: listener.Addr().String()})
	}
	stopped := make(chan error, 1)
	go func() { stopped <- connections.Shutdown(context.Background()) }()
	time.Sleep(5 * lookInterval)
	var callers sync.WaitGroup
	for i, conn := range conns {
		slow.may <- struct{}{}
		callers.Go(func() { sendOne(conn, bufio.NewReader(conn), fmt.Sprint("/", i), log) })
	}
	callers.Wait()
	slow.may <- struct{}{}
	if err := <-stopped; err != nil {
		t.Errorf("the stop ended with %v", err)
	}
	if len(log.answered) != len(conns) {
		t.Errorf("got answers to %v, want two", log.answered)
	}
}

// sendUntilGone sends requests with different paths until nobody accepts a connection: each on a new connection, or as many as
// each connection takes.
func sendUntilGone(address, prefix string, renew bool, log *requestLog) {
	for n := 0; ; {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for open := true; open; n++ {
			open = sendOne(conn, reader, fmt.Sprint(prefix, n), log) && !renew
		}
		_ = conn.Close()
	}
}

// sendOne sends a request and reports whether the connection can be used again.
func sendOne(conn net.Conn, reader *bufio.Reader, path string, log *requestLog) bool {
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if content, err := io.ReadAll(response.Body); err != nil || string(content) != path {
		return false
	}
	log.record(log.answered, path)
	return !response.Close
}
