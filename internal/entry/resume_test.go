package entry_test

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/standin/engine"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// cuttingLine forwards connections and cuts each after some bytes of answer.
type cuttingLine struct {
	to       string
	listener net.Listener
	mu       sync.Mutex
	random   *rand.Rand
	cuts     int
	// dead lines accept nothing any more.
	dead bool
}

func startLine(t *testing.T, to string) *cuttingLine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	line := &cuttingLine{to: to, listener: listener, random: rand.New(rand.NewPCG(1, 2))}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go line.forward(conn)
		}
	}()
	return line
}

func (l *cuttingLine) forward(near net.Conn) {
	defer near.Close()
	l.mu.Lock()
	allowance, dead := int64(100+l.random.IntN(3000)), l.dead
	l.mu.Unlock()
	if dead {
		return
	}
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer far.Close()
	go func() { _, _ = io.Copy(far, near) }()
	if n, _ := io.CopyN(near, far, allowance); n == allowance {
		l.mu.Lock()
		l.cuts++
		l.mu.Unlock()
	}
}

func (l *cuttingLine) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts
}

func (l *cuttingLine) kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead = true
}

// The line between entry and agent drops again and again within one stream. A
// caller who saw a repeat or a gap would get a rehearsal plan with a day twice
// or a day missing.
func TestACutLineNeitherRepeatsNorLosesAToken(t *testing.T) {
	for _, stream := range []bool{true, false} {
		e := engine.New(engine.Options{BaseModel: baseModel, Slots: 2, TokenTime: 200 * time.Microsecond})
		_, address := startAgent(t, e.Handler())
		line := startLine(t, address)
		_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", line.listener.Addr().String())))
		const tokens = 150
		got := call(t, server, http.MethodPost, "/v1/completions", "", completion("x", tokens, stream))
		id := got.header.Get(wire.HeaderRequestID)
		at := 0
		for token := range tokens {
			text := engine.TokenText(model, id, token)
			found := strings.Index(got.body[at:], text)
			if found < 0 {
				t.Fatalf("stream %v: token %d is missing", stream, token)
			}
			at += found + len(text)
		}
		if n := strings.Count(got.body, model+"/"); n != tokens || got.cut || got.outcome != outcome.Answered {
			t.Errorf("stream %v: %d tokens of %d, cut %v, told %v", stream, n, tokens, got.cut, got.outcome)
		}
		if len(e.Ran()) != 1 || line.count() < 3 {
			t.Errorf("stream %v: the engine ran %d requests over %d cuts", stream, len(e.Ran()), line.count())
		}
	}
}

// The line drops in the middle of a stream and stays down. The caller must see
// that its answer is not whole, and the engine must not go on for nobody.
func TestALineThatStaysDownIsVisibleAndEndsTheWork(t *testing.T) {
	e := engine.New(engine.Options{BaseModel: baseModel, Slots: 2, TokenTime: time.Millisecond})
	_, address := startAgent(t, e.Handler())
	line := startLine(t, address)
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", line.listener.Addr().String())))
	done := make(chan told, 1)
	go func() {
		done <- call(t, server, http.MethodPost, "/v1/completions", "", completion("x", 1<<20, true))
	}()
	eventually(t, "the line was cut in the stream", func() bool { return line.count() > 1 })
	line.kill()
	got := <-done
	if !got.cut || !strings.Contains(got.body, `"code":"unknown_outcome"`) {
		t.Errorf("the caller saw no error and a clean end")
	}
	eventually(t, "the engine's work is cancelled", func() bool { return e.Cancelled() == 1 })
}

// A server dies before its first token. The request can run elsewhere, and its
// caller should notice nothing but the time.
func TestARequestWhoseServerDiedRunsElsewhere(t *testing.T) {
	dying := engine.New(engine.Options{BaseModel: baseModel, Slots: 2, CrashMarker: "x"})
	well := engine.New(engine.Options{BaseModel: baseModel, Slots: 2})
	_, first := startAgent(t, dying.Handler())
	_, second := startAgent(t, well.Handler())
	busy := engineServer("floor-2", second)
	busy.Load.Running = 9
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", first), busy))
	got := call(t, server, http.MethodPost, "/v1/completions", "", completion("x", 3, true))
	if got.outcome != outcome.Answered || got.cut || strings.Count(got.body, model+"/") != 3 {
		t.Errorf("told %v: %s", got.outcome, got.body)
	}
	if len(dying.Ran()) != 1 || len(well.Ran()) != 1 {
		t.Errorf("ran %d and %d", len(dying.Ran()), len(well.Ran()))
	}
}
