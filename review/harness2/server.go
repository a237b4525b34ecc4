package harness2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Handler answers one request on a connection, and reports whether the connection stays open.
type Handler func(conn net.Conn, reader *bufio.Reader, request *http.Request) (keep bool)

// Server is a stand-in server that announces itself and answers by a handler.
type Server struct {
	IP, Service, ID string
	Slots           int
	Models          []any

	fleet    *Fleet
	handler  Handler
	listener net.Listener
	born     int64
	stop     chan struct{}
	once     sync.Once

	mu       sync.Mutex
	sequence int64
	state    string
	conns    map[net.Conn]bool
}

// StartServer starts a stand-in server on the machine with a number.
func (f *Fleet) StartServer(number int, service string, slots int, models []any, handler Handler) (*Server, error) {
	s, err := f.listen(number, service, slots, models, handler)
	if err == nil {
		go s.beat()
	}
	return s, err
}

// StartSilentServer starts a plain server whose heartbeats the case sends itself.
func (f *Fleet) StartSilentServer(number int, service string, handler Handler) (*Server, error) {
	return f.listen(number, service, 6, nil, handler)
}

func (f *Fleet) listen(number int, service string, slots int, models []any, handler Handler) (*Server, error) {
	s := &Server{IP: f.Address(1, number), Service: service, ID: fmt.Sprintf("i-%s-%d", service, number), Slots: slots, Models: models, fleet: f, handler: handler,
		born: time.Now().UnixMilli(), stop: make(chan struct{}), state: "ready", conns: make(map[net.Conn]bool)}
	listener, err := net.Listen("tcp", s.Address())
	if err != nil {
		return nil, err
	}
	s.listener = listener
	go s.accept()
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	return s, nil
}

// Address returns where the server listens.
func (s *Server) Address() string { return fmt.Sprintf("%s:%d", s.IP, PortServer) }

// Born returns the start time that the server tells of itself.
func (s *Server) Born() int64 { return s.born }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if target := request.Header.Get("Target-Instance"); target != "" && target != s.ID {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 X\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if !s.handler(conn, reader, request) {
			return
		}
	}
}

// SetState changes the state that the server announces.
func (s *Server) SetState(state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
}

func (s *Server) beat() {
	ticker := time.NewTicker(600 * time.Millisecond)
	defer ticker.Stop()
	for i := 0; ; i++ {
		s.mu.Lock()
		s.sequence++
		beat := map[string]any{"service": s.Service, "address": s.Address(), "zone": "z", "version": "v1", "slots": s.Slots, "state": s.state, "cold-left-ms": 0, "sequence": s.sequence, "born": s.born}
		if s.Models != nil {
			beat["stage"], beat["models"] = "unified", s.Models
		}
		s.mu.Unlock()
		body, _ := json.Marshal(beat)
		for try := range s.fleet.Entries {
			if status, _ := s.fleet.Control(s.fleet.Entries[(i+try)%len(s.fleet.Entries)], http.MethodPost, "/Instances.Heartbeat/"+s.ID, body); status == http.StatusOK {
				break
			}
		}
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
	}
}

// Close ends the server and its connections.
func (s *Server) Close() {
	s.once.Do(func() {
		close(s.stop)
		_ = s.listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for conn := range s.conns {
			_ = conn.Close()
		}
	})
}

// Answer writes a complete, signed answer.
func Answer(conn net.Conn, request *http.Request, status int, extra, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\n%sContent-Length: %d\r\n\r\n%s", status, request.Header.Get("Request-Id"), request.Header.Get("Request-Id"), extra, len(body), body)
	return err == nil
}
