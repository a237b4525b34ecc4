package link

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Recorder is a server that records the paths of the requests that it has read to their end. It
// answers only the path PathServed, and echoes a path's name in the header Id.
type Recorder struct {
	listener net.Listener
	ended    chan struct{}

	mu    sync.Mutex
	paths []string
}

// PathServed is the path of requests that get an answer.
const PathServed = "/served"

// maxConnections is the number of ended connections that are kept until someone waits for them.
const maxConnections = 64

// StartRecorder starts a recorder; with a configuration it serves TLS.
func StartRecorder(config *tls.Config) (*Recorder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	r := &Recorder{listener: listener, ended: make(chan struct{}, maxConnections)}
	go r.accept()
	return r, nil
}

// Address returns the recorder's address.
func (r *Recorder) Address() string { return r.listener.Addr().String() }

// Close ends the recorder for new connections.
func (r *Recorder) Close() { _ = r.listener.Close() }

// AwaitEnd waits until the recorder has read one more connection to its end.
func (r *Recorder) AwaitEnd() { <-r.ended }

// Paths returns the paths of the requests read so far.
func (r *Recorder) Paths() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.paths...)
}

func (r *Recorder) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			r.serve(conn)
			_ = conn.Close()
			r.ended <- struct{}{}
		}()
	}
}

func (r *Recorder) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		r.mu.Lock()
		r.paths = append(r.paths, request.URL.Path)
		r.mu.Unlock()
		if request.URL.Path != PathServed {
			continue
		}
		answer := "HTTP/1.1 200 OK\r\nId: " + strings.TrimPrefix(PathServed, "/") + "\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok"
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}
