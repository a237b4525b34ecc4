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

// cuttingProxy forwards connections and cuts each after a random number of answer
// bytes.
type cuttingProxy struct {
	to       string
	listener net.Listener
	mu       sync.Mutex
	random   *rand.Rand
	cuts     int
	// down makes the proxy close new connections immediately.
	down bool
}

func startCuttingProxy(t *testing.T, to string) *cuttingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	proxy := &cuttingProxy{to: to, listener: listener, random: rand.New(rand.NewPCG(1, 2))}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.forward(conn)
		}
	}()
	return proxy
}

func (p *cuttingProxy) forward(client net.Conn) {
	defer client.Close()
	p.mu.Lock()
	allowance, down := int64(100+p.random.IntN(3000)), p.down
	p.mu.Unlock()
	if down {
		return
	}
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer server.Close()
	go func() { _, _ = io.Copy(server, client) }()
	if n, _ := io.CopyN(client, server, allowance); n == allowance {
		p.mu.Lock()
		p.cuts++
		p.mu.Unlock()
	}
}

func (p *cuttingProxy) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cuts
}

func (p *cuttingProxy) shutDown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = true
}

// The connection between entry and agent is cut repeatedly within one stream. If
// tokens were repeated or lost, the caller would get a rehearsal plan with a day
// twice or a day missing.
func TestResumedAnswerNeitherRepeatsNorLosesTokens(t *testing.T) {
	for _, stream := range []bool{true, false} {
		e := engine.New(engine.Options{BaseModel: baseModel, Slots: 2, TokenTime: 200 * time.Microsecond})
		_, address := startAgent(t, e.Handler())
		proxy := startCuttingProxy(t, address)
		_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", proxy.listener.Addr().String())))
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
			t.Errorf("stream %v: %d tokens of %d, cut %v, outcome %v", stream, n, tokens, got.cut, got.outcome)
		}
		if len(e.Started()) != 1 || proxy.count() < 3 {
			t.Errorf("stream %v: the engine ran %d requests over %d cuts, want 1 request and at least 3 cuts", stream, len(e.Started()), proxy.count())
		}
	}
}

// The connection breaks in the middle of a stream and cannot be re-established. The
// caller must see that its answer is truncated, and the engine must stop generating
// it.
func TestPermanentCutIsVisibleAndCancelsWork(t *testing.T) {
	e := engine.New(engine.Options{BaseModel: baseModel, Slots: 2, TokenTime: time.Millisecond})
	_, address := startAgent(t, e.Handler())
	proxy := startCuttingProxy(t, address)
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", proxy.listener.Addr().String())))
	done := make(chan callResult, 1)
	go func() {
		done <- call(t, server, http.MethodPost, "/v1/completions", "", completion("x", 1<<20, true))
	}()
	eventually(t, "the connection is cut within the stream", func() bool { return proxy.count() > 1 })
	proxy.shutDown()
	got := <-done
	if !got.cut || !strings.Contains(got.body, `"code":"unknown_outcome"`) {
		t.Errorf("the answer looks complete or has no error event")
	}
	eventually(t, "the engine's request is cancelled", func() bool { return e.Cancelled() == 1 })
}

// A server crashes before its first token. The request can run on another server,
// and its caller should notice only the delay.
func TestRequestRunsElsewhereAfterServerCrash(t *testing.T) {
	crashing := engine.New(engine.Options{BaseModel: baseModel, Slots: 2, CrashMarker: "x"})
	healthy := engine.New(engine.Options{BaseModel: baseModel, Slots: 2})
	_, first := startAgent(t, crashing.Handler())
	_, second := startAgent(t, healthy.Handler())
	busy := engineServer("floor-2", second)
	busy.Load.Running = 9
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", first), busy))
	got := call(t, server, http.MethodPost, "/v1/completions", "", completion("x", 3, true))
	if got.outcome != outcome.Answered || got.cut || strings.Count(got.body, model+"/") != 3 {
		t.Errorf("got outcome %v and body %s, want a complete answer of 3 tokens", got.outcome, got.body)
	}
	if len(crashing.Started()) != 1 || len(healthy.Started()) != 1 {
		t.Errorf("the crashing engine ran %d requests, the healthy one %d; want 1 each", len(crashing.Started()), len(healthy.Started()))
	}
}
