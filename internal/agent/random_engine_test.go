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

// engineAction is what an engine does with one request.
type engineAction uint8

const (
	// actionAnswer sends a complete answer; actionBreak breaks off within an
	// answer.
	actionAnswer engineAction = iota
	actionBreak
	// actionFail sends a complete error response; actionFailBroken breaks off
	// within one.
	actionFail
	actionFailBroken
	// actionNotFound answers that the adapter is not loaded.
	actionNotFound
	// actionWrongModel answers with another model.
	actionWrongModel
	// actionDrop closes the connection without sending anything; actionGarble
	// sends bytes that are not an HTTP response.
	actionDrop
	actionGarble
)

// framing is how the end of an engine's answer is marked.
type framing uint8

const (
	framingChunked framing = iota
	framingLength
	framingClose
	framingCount
)

// scriptedRun is what an engine does with one request.
type scriptedRun struct {
	action      engineAction
	framing     framing
	status      int
	contentType string
	pieces      []string
	// cut is the number of content bytes sent before the answer breaks off.
	cut int
	// reset makes the connection end with a reset.
	reset bool
	// pause is the maximum pause between two pieces.
	pause time.Duration
	seed  uint64
	// holdAt is the index of the piece before which the engine waits until the
	// scenario releases it, or 0 for none.
	holdAt int
}

func (r *scriptedRun) content() string { return strings.Join(r.pieces, "") }

// complete reports whether the engine sends its whole answer.
func (r *scriptedRun) complete() bool { return r.action == actionAnswer || r.action == actionFail }

// relayed reports whether bytes of the answer may reach an entry.
func (r *scriptedRun) relayed() bool { return r.action <= actionFailBroken }

// checksum returns the trailer of a chunked body, or "" for other framings.
func (r *scriptedRun) checksum() string {
	if r.framing != framingChunked {
		return ""
	}
	return fmt.Sprintf("%x", crc32.ChecksumIEEE([]byte(r.content())))
}

func (r *scriptedRun) String() string {
	return fmt.Sprintf("{action %d, framing %d, status %d, %s, %d bytes in %d pieces, cut %d, reset %v}",
		r.action, r.framing, r.status, r.contentType, len(r.content()), len(r.pieces), r.cut, r.reset)
}

// newRandomRun returns the n-th run. Every piece contains n, so that pieces of
// different runs are distinguishable.
func newRandomRun(random *rand.Rand, n int) *scriptedRun {
	r := &scriptedRun{
		action:  []engineAction{actionAnswer, actionAnswer, actionAnswer, actionAnswer, actionBreak, actionBreak, actionBreak, actionFail, actionFailBroken, actionNotFound, actionWrongModel, actionDrop, actionGarble}[random.IntN(13)],
		framing: framing(random.IntN(int(framingCount))), status: http.StatusOK, reset: random.IntN(2) == 0, seed: random.Uint64(),
		pause: []time.Duration{0, 0, 100 * time.Microsecond, time.Millisecond}[random.IntN(4)],
	}
	model := "m@1"
	switch r.action {
	case actionFail, actionFailBroken:
		r.status = []int{400, 429, 500, 503}[random.IntN(4)]
	case actionNotFound:
		r.status = http.StatusNotFound
	case actionWrongModel:
		model = "base"
	}
	switch {
	case r.status != http.StatusOK:
		r.contentType, r.pieces = "application/json", []string{fmt.Sprintf(`{"error":{"message":"failure %d",`, n), fmt.Sprintf(`"run":%d}}`, n)}
	case random.IntN(3) == 0:
		r.contentType, r.pieces = "application/json", []string{fmt.Sprintf(`{"run":%d,"choices":[{"text":"`, n), fmt.Sprintf(`}%d `, n), fmt.Sprintf(`%d"}],"model":"%s"}`, n, model)}
	default:
		r.contentType = "text/event-stream"
		text, events := "word", 1+random.IntN(20)
		if random.IntN(5) == 0 {
			// This exceeds what is retained behind a reader plus what is read
			// ahead of it.
			text, events = strings.Repeat("long ", 1000), 120
		}
		for i := range events {
			r.pieces = append(r.pieces, fmt.Sprintf("id: %d.%d\ndata: {\"model\":\"%s\",\"text\":\"%s\"}\n\n", n, i, model, text))
		}
		r.pieces = append(r.pieces, "data: [DONE]\n\n")
	}
	r.cut = random.IntN(len(r.content()))
	if r.contentType == "text/event-stream" && (r.action == actionAnswer || r.action == actionBreak) && random.IntN(3) == 0 {
		r.holdAt = 1 + random.IntN(len(r.pieces)-1)
		r.cut = max(r.cut, len(strings.Join(r.pieces[:r.holdAt], "")))
	}
	return r
}

// write sends the run's answer on a connection. It waits at holdAt until
// released is closed.
func (r *scriptedRun) write(conn *engineConn, released <-chan struct{}) {
	switch r.action {
	case actionDrop:
		return
	case actionGarble:
		_, _ = io.WriteString(conn, "no answer at all\r\n\r\n")
		return
	}
	random := rand.New(rand.NewPCG(r.seed, 1))
	left, broken := len(r.content()), r.action == actionBreak || r.action == actionFailBroken
	if broken {
		left = r.cut
	}
	header := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: %s\r\n", r.status, r.contentType)
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

// engineConn is the engine's side of a connection. agentConn is the agent's
// side.
type engineConn struct {
	net.Conn
	// reset makes the end of the connection look like a reset.
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

// harness is an agent beside an engine that follows a script.
type harness struct {
	agent   *Agent
	address string
	// release releases all held runs, including later ones.
	release  func()
	released chan struct{}

	mu      sync.Mutex
	script  []*scriptedRun
	started int
	// bodies are the bodies of the requests that reached the engine.
	bodies []string
}

// attemptBody returns the request body of the entry's n-th attempt.
func attemptBody(n int) string { return fmt.Sprintf(`{"model":"m@1","prompt":"%d"}`, n) }

func newHarness(t *testing.T, script []*scriptedRun) *harness {
	t.Helper()
	// Unix sockets avoid running out of TCP ports over thousands of scenarios.
	folder, err := os.MkdirTemp("", "agent")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	h := &harness{script: script, released: make(chan struct{}), address: filepath.Join(folder, "socket")}
	listener, err := net.Listen("unix", h.address)
	if err != nil {
		t.Fatal(err)
	}
	h.release = sync.OnceFunc(func() { close(h.released) })
	ctx, cancel := context.WithCancel(context.Background())
	h.agent = New(Options{
		Server: "s", BaseModel: "base", Engine: "http://engine", Slots: 1, Queue: 8, LoadTimeout: testTimeout, AnnounceInterval: time.Second, ControlPeers: []string{"127.0.0.1:1"},
	}, &http.Client{Transport: relay.NewTransportOver(h.dial)}, zap.NewNop())
	var wg sync.WaitGroup
	wg.Go(func() { h.agent.Run(ctx) })
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: h.agent.Handler()}}
	server.Start()
	t.Cleanup(func() {
		h.release()
		cancel()
		server.CloseClientConnections()
		server.Close()
		wg.Wait()
	})
	return h
}

// dial connects the agent to the engine.
func (h *harness) dial(context.Context, string, string) (net.Conn, error) {
	agentSide, engineSide := net.Pipe()
	reset := new(atomic.Bool)
	go h.serve(&engineConn{engineSide, reset})
	return agentConn{agentSide, reset}, nil
}

func (h *harness) serve(conn *engineConn) {
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
			if r := h.next(string(body)); r != nil {
				r.write(conn, h.released)
			}
			return
		default:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// next starts the next run. It returns nil after the end of the script.
func (h *harness) next(body string) *scriptedRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bodies = append(h.bodies, body)
	if h.started == len(h.script) {
		return nil
	}
	h.started++
	return h.script[h.started-1]
}

// startedRuns returns the runs that the engine has started.
func (h *harness) startedRuns() []*scriptedRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.script[:h.started]
}

// ran reports whether the n-th attempt reached an engine that did not answer
// that the adapter is not loaded.
func (h *harness) ran(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, body := range h.bodies {
		if body == attemptBody(n) {
			return i >= len(h.script) || h.script[i].action != actionNotFound
		}
	}
	return false
}

// holding reports whether the first run waits to be released.
func (h *harness) holding() bool {
	select {
	case <-h.released:
		return false
	default:
		runs := h.startedRuns()
		return len(runs) == 1 && runs[0].holdAt > 0
	}
}

// readerCount returns the number of readers that the current run has had, or 0
// without a run.
func (h *harness) readerCount() uint64 {
	r, ok := h.agent.runs.get("r1")
	if !ok {
		return 0
	}
	r.window.mu.Lock()
	defer r.window.mu.Unlock()
	return r.window.reader
}
