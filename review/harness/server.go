package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/answer"
)

// Run is one run of a request at a server.
type Run struct {
	ID      string
	At      time.Time
	Version int64
}

// Server is a stand-in of a server: of a plain service, or a model engine.
type Server struct {
	Name    string
	ID      string
	Service string
	Address string
	// Work is how long a plain request takes.
	Work   time.Duration
	Engine *Engine

	record  *Record
	entries []*Process
	born    int64
	http    *http.Server
	once    sync.Once

	mu       sync.Mutex
	sequence int64
	silent   bool
	runs     []Run
	stop     chan struct{}
}

// Start starts the server and its heartbeats.
func (s *Server) Start(f *Fleet, entries []*Process) error {
	s.record, s.entries, s.born, s.stop = f.Record, entries, time.Now().UnixMilli(), make(chan struct{})
	s.ID = fmt.Sprintf("i-%s-%d", s.Name, s.born)
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/", answer.Handler(s.serve))
	mux.Handle("GET /health", answer.Handler(func(*http.Request) answer.Answer {
		return answer.Full(http.StatusOK, http.Header{"Instance-Id": {s.ID}}, nil)
	}))
	if s.Engine != nil {
		s.Engine.server = s
		mux.Handle("GET /report", answer.Handler(s.Engine.report))
		mux.Handle("POST /order", answer.Handler(s.Engine.order))
	}
	s.http = &http.Server{Handler: mux, IdleTimeout: 30 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	go s.heartbeats()
	return nil
}

// Stop ends the server and all its connections.
func (s *Server) Stop() {
	s.once.Do(func() {
		close(s.stop)
		_ = s.http.Close()
	})
}

func (s *Server) heartbeats() {
	ticker := time.NewTicker(Heartbeat)
	defer ticker.Stop()
	for i := 0; ; i++ {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if !silent {
			s.heartbeat(i)
		}
		select {
		case <-ticker.C:
		case <-s.stop:
			return
		}
	}
}

func (s *Server) heartbeat(turn int) {
	s.mu.Lock()
	s.sequence++
	models := []map[string]any{}
	slots := 6
	if s.Engine != nil {
		models, slots = s.Engine.models(), batch
	}
	body := map[string]any{
		"service": s.Service, "address": s.Address, "zone": "z1", "version": "v1", "slots": slots, "state": "ready", "cold-left-ms": 0, "models": models, "sequence": s.sequence, "born": s.born,
	}
	s.mu.Unlock()
	for i := range s.entries {
		if status := s.control(s.entries[(turn+i)%len(s.entries)], "/Instances.Heartbeat/"+s.ID, body); status == http.StatusOK {
			return
		}
	}
}

// control sends a call to an entry and returns the status, 0 where there was no answer within a second.
func (s *Server) control(entry *Process, path string, body any) int { return Post(entry, path, body) }

// Leave tells an entry that the server leaves, without having been draining before, and sends no more heartbeats.
// It returns when that was acknowledged.
func (s *Server) Leave(entry *Process) (acked time.Time, err error) {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	status := s.control(entry, "/Instances.Leave/"+s.ID, map[string]any{"born": s.born})
	acked = time.Now()
	s.record.At(acked, "leave of %s told to %s: %d", s.Name, entry.Name, status)
	if status != http.StatusOK {
		return acked, fmt.Errorf("the leave was not acknowledged: %d", status)
	}
	return acked, nil
}

// Runs returns the requests that ran here so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Server) addRun(r Run) {
	s.mu.Lock()
	s.runs = append(s.runs, r)
	s.mu.Unlock()
	s.record.At(r.At, "%s runs %s, version %d", s.Name, r.ID, r.Version)
}

func (s *Server) serve(r *http.Request) answer.Answer {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	header := http.Header{"Request-Id": {id}}
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.ID {
		return answer.Full(http.StatusMisdirectedRequest, header, nil)
	}
	if s.Engine != nil {
		return s.Engine.serve(r, id, header)
	}
	s.addRun(Run{ID: id, At: time.Now()})
	time.Sleep(s.Work)
	header.Set("Response-Signature", "sig."+id)
	header.Set("Server-Load", "1,0,6")
	return answer.Full(http.StatusOK, header, []byte("done "+id))
}

// Post sends a call to the control address of an entry and returns the status, 0 without an answer.
func Post(entry *Process, path string, body any) int {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+entry.Control()+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// Operator sends a call to one entry after the other until it is acknowledged.
func Operator(f *Fleet, entries []*Process, path string, body any) (acked time.Time, err error) {
	until := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(until); i++ {
		entry := entries[i%len(entries)]
		status := Post(entry, path, body)
		if status == http.StatusOK {
			acked = time.Now()
			f.Record.At(acked, "operator's %s acknowledged by %s", path, entry.Name)
			return acked, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return acked, fmt.Errorf("%s was not acknowledged", path)
}

// AwaitReady waits until all entries say that they are ready.
func AwaitReady(entries []*Process) error {
	client := http.Client{Timeout: time.Second}
	until := time.Now().Add(20 * time.Second)
	for _, e := range entries {
		for {
			response, err := client.Get("http://" + e.Ready() + "/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", e.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Client sends requests to entries.
type Client struct {
	Fleet *Fleet
	mu    sync.Mutex
	next  int
	sent  map[string]time.Time
}

// Sent returns when a request was sent.
func (c *Client) Sent(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}

// Send sends one request on a connection of its own and returns its status, 0 without an answer.
func (c *Client) Send(entry *Process, method, path string, header map[string]string, deadline time.Duration) int {
	c.mu.Lock()
	if c.sent == nil {
		c.sent = make(map[string]time.Time)
	}
	c.next++
	id := fmt.Sprintf("r%05d", c.next)
	c.sent[id] = time.Now()
	c.mu.Unlock()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body of " + id)
	}
	request, err := http.NewRequest(method, "http://"+entry.Front()+path, body)
	if err != nil {
		panic(err)
	}
	request.Host = "desk.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	c.Fleet.Record.Printf("client sends %s %s %s to %s", id, method, path, entry.Name)
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		c.Fleet.Record.Printf("client gets no answer to %s", id)
		return 0
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	c.Fleet.Record.Printf("client gets %d to %s, whole %v", response.StatusCode, id, err == nil)
	return response.StatusCode
}
