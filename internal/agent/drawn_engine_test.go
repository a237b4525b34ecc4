package agent

import (
	"bufio"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/relay"
)

// deed is what an engine does with one request that reaches it.
type deed uint8

const (
	// deedAnswer gives a whole answer, deedBreak begins one and breaks off.
	deedAnswer deed = iota
	deedBreak
	// deedFail answers with a failure, deedFailBroken breaks off within it.
	deedFail
	deedFailBroken
	// deedLost says that it has not the adapter.
	deedLost
	// deedOther answers by another model.
	deedOther
	// deedDrop ends the connection without a byte, deedGarble with bytes that are
	// no answer.
	deedDrop
	deedGarble
)

// framing is how the end of an engine's answer is told.
type framing uint8

const (
	framingChunked framing = iota
	framingLength
	framingClose
	framings
)

// engineRun is what an engine does with one request.
type engineRun struct {
	deed    deed
	framing framing
	status  int
	kind    string
	pieces  []string
	// cut is how many bytes of the content are sent before it breaks off.
	cut int
	// reset ends the connection by a reset.
	reset bool
	// pause is the longest pause between two pieces.
	pause time.Duration
	seed  uint64
	// holdAt is the piece before which the engine waits until the play lets it go
	// on, 0 for none.
	holdAt int
}

func (r *engineRun) content() string { return strings.Join(r.pieces, "") }

// whole is true when the engine sends the whole of its answer.
func (r *engineRun) whole() bool { return r.deed == deedAnswer || r.deed == deedFail }

// relayed is true when its bytes may reach an entry.
func (r *engineRun) relayed() bool { return r.deed <= deedFailBroken }

// checksum is what stands behind a body in chunks, as its trailer.
func (r *engineRun) checksum() string {
	if r.framing != framingChunked {
		return ""
	}
	return fmt.Sprintf("%x", crc32.ChecksumIEEE([]byte(r.content())))
}

func (r *engineRun) String() string {
	return fmt.Sprintf("{deed %d, framing %d, status %d, %s, %d bytes in %d pieces, cut %d, reset %v}",
		r.deed, r.framing, r.status, r.kind, len(r.content()), len(r.pieces), r.cut, r.reset)
}

// drawEngineRun draws the n-th run. Every piece of it names n, so that no piece
// passes for one of another run.
func drawEngineRun(random *rand.Rand, n int) *engineRun {
	r := &engineRun{
		deed:    []deed{deedAnswer, deedAnswer, deedAnswer, deedAnswer, deedBreak, deedBreak, deedBreak, deedFail, deedFailBroken, deedLost, deedOther, deedDrop, deedGarble}[random.IntN(13)],
		framing: framing(random.IntN(int(framings))), status: http.StatusOK, reset: random.IntN(2) == 0, seed: random.Uint64(),
		pause: []time.Duration{0, 0, 100 * time.Microsecond, time.Millisecond}[random.IntN(4)],
	}
	model := "m@1"
	switch r.deed {
	case deedFail, deedFailBroken:
		r.status = []int{400, 429, 500, 503}[random.IntN(4)]
	case deedLost:
		r.status = http.StatusNotFound
	case deedOther:
		model = "base"
	}
	switch {
	case r.status != http.StatusOK:
		r.kind, r.pieces = "application/json", []string{fmt.Sprintf(`{"error":{"message":"failure %d",`, n), fmt.Sprintf(`"run":%d}}`, n)}
	case random.IntN(3) == 0:
		r.kind, r.pieces = "application/json", []string{fmt.Sprintf(`{"run":%d,"choices":[{"text":"`, n), fmt.Sprintf(`}%d `, n), fmt.Sprintf(`%d"}],"model":"%s"}`, n, model)}
	default:
		r.kind = "text/event-stream"
		text, events := "word", 1+random.IntN(20)
		if random.IntN(5) == 0 {
			// More than is kept behind a reader and ahead of it.
			text, events = strings.Repeat("long ", 1000), 120
		}
		for i := range events {
			r.pieces = append(r.pieces, fmt.Sprintf("id: %d.%d\ndata: {\"model\":\"%s\",\"text\":\"%s\"}\n\n", n, i, model, text))
		}
		r.pieces = append(r.pieces, "data: [DONE]\n\n")
	}
	r.cut = random.IntN(len(r.content()))
	if r.kind == "text/event-stream" && (r.deed == deedAnswer || r.deed == deedBreak) && random.IntN(3) == 0 {
		r.holdAt = 1 + random.IntN(len(r.pieces)-1)
		r.cut = max(r.cut, len(strings.Join(r.pieces[:r.holdAt], "")))
	}
	return r
}

// write plays the run on a connection; it may go on behind a hold once released
// is closed.
func (r *engineRun) write(conn *engineConn, released <-chan struct{}) {
	switch r.deed {
	case deedDrop:
		return
	case deedGarble:
		_, _ = io.WriteString(conn, "no answer at all\r\n\r\n")
		return
	}
	random := rand.New(rand.NewPCG(r.seed, 1))
	left, broken := len(r.content()), r.deed == deedBreak || r.deed == deedFailBroken
	if broken {
		left = r.cut
	}
	header := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: %s\r\n", r.status, r.kind)
	switch r.framing {
	case framingChunked:
		header += "Transfer-Encoding: chunked\r\n"
	case framingLength:
		header += fmt.Sprintf("Content-Length: %d\r\n", len(r.content()))
	}
	_, _ = io.WriteString(conn, header+"\r\n")
	for i, piece := range r.pieces {
		if i > 0 && i == r.holdAt {
			<-released
		}
		piece = piece[:min(left, len(piece))]
		left -= len(piece)
		if piece == "" {
			continue
		}
		if r.framing == framingChunked {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
		if r.pause > 0 {
			time.Sleep(time.Duration(random.Int64N(int64(r.pause))))
		}
	}
	if r.framing == framingChunked && !broken {
		_, _ = io.WriteString(conn, "0\r\nChecksum: "+r.checksum()+"\r\n\r\n")
	}
	if broken && r.reset {
		conn.reset.Store(true)
	}
}

// engineConn is the engine's side of a connection, agentConn the agent's.
type engineConn struct {
	net.Conn
	// reset makes the connection's end look like a reset.
	reset *atomic.Bool
}

type agentConn engineConn

// Read implements net.Conn.
func (c agentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.reset.Load() {
		err = syscall.ECONNRESET
	}
	return n, err
}

// stage is an agent beside an engine that plays a script.
type stage struct {
	agent   *Agent
	address string
	// release lets runs go on that are held, those to come too.
	release  func()
	released chan struct{}

	mu     sync.Mutex
	script []*engineRun
	begun  int
	// bodies are the requests that reached the engine.
	bodies []string
}

// drawnBody is the body of the request as the entry sends it for the n-th time.
func drawnBody(n int) string { return fmt.Sprintf(`{"model":"m@1","prompt":"%d"}`, n) }

func newStage(t *testing.T, script []*engineRun) *stage {
	t.Helper()
	// No ports are used: thousands of plays would use them up.
	folder, err := os.MkdirTemp("", "agent")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	s := &stage{script: script, released: make(chan struct{}), address: filepath.Join(folder, "socket")}
	listener, err := net.Listen("unix", s.address)
	if err != nil {
		t.Fatal(err)
	}
	s.release = sync.OnceFunc(func() { close(s.released) })
	ctx, cancel := context.WithCancel(context.Background())
	s.agent = New(Options{
		Server: "s", BaseModel: "base", Engine: "http://engine", Slots: 1, Queue: 8, LoadTimeout: testPatience, AnnounceInterval: time.Second, ControlPeers: []string{"127.0.0.1:1"},
	}, &http.Client{Transport: relay.NewTransportOver(s.dial)}, zap.NewNop())
	var duties sync.WaitGroup
	duties.Go(func() { s.agent.Run(ctx) })
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: s.agent.Handler()}}
	server.Start()
	t.Cleanup(func() {
		s.release()
		cancel()
		server.CloseClientConnections()
		server.Close()
		duties.Wait()
	})
	return s
}

// dial connects the agent to the engine.
func (s *stage) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	reset := new(atomic.Bool)
	go s.serve(&engineConn{far, reset})
	return agentConn{near, reset}, nil
}

func (s *stage) serve(conn *engineConn) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		switch request.URL.Path {
		case "/load":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{\"incarnation\":1,\"capacity\":4}")
		case "/v1/completions":
			if r := s.next(string(body)); r != nil {
				r.write(conn, s.released)
			}
			return
		default:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// next begins the next run, nil behind the end of the script.
func (s *stage) next(body string) *engineRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodies = append(s.bodies, body)
	if s.begun == len(s.script) {
		return nil
	}
	s.begun++
	return s.script[s.begun-1]
}

// reached are the runs that the engine began.
func (s *stage) reached() []*engineRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.script[:s.begun]
}

// ran reports whether the n-th sending of the request reached an engine that did
// not say that it lacks the adapter.
func (s *stage) ran(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, body := range s.bodies {
		if body == drawnBody(n) {
			return i >= len(s.script) || s.script[i].deed != deedLost
		}
	}
	return false
}

// held reports whether the first run waits to be released.
func (s *stage) held() bool {
	select {
	case <-s.released:
		return false
	default:
		reached := s.reached()
		return len(reached) == 1 && reached[0].holdAt > 0
	}
}

// attached is how many readers the present run had, 0 without a run.
func (s *stage) attached() uint64 {
	r, ok := s.agent.runs.get("r1")
	if !ok {
		return 0
	}
	r.kept.mu.Lock()
	defer r.kept.mu.Unlock()
	return r.kept.reader
}
