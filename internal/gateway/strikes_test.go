package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/loopback"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/upstream"
)

// newPrompt returns a request with a body, by which its repetitions are known.
func newPrompt(path string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader("prompt"))
	r.Header.Set("Id", "r1")
	return r
}

// refused reports whether a request has crashed too many servers.
func (s *strikes) refused(c *Call) bool { return s.gateway.mesh.Refused(c.fingerprint()) }

// serveAborted serves such a request, whose answer may break off.
func serveAborted(g *Gateway, path string) { serveCut(g, newPrompt(path)) }

// serveCut serves a request whose answer may end in an aborted connection.
func serveCut(g *Gateway, r *http.Request) {
	defer expectAbort()
	g.ServeHTTP(httptest.NewRecorder(), r)
}

// expectAbort takes the panic of an answer that was aborted.
func expectAbort() {
	if cut := recover(); cut != nil && cut != http.ErrAbortHandler {
		panic(cut)
	}
}

// breakAtServers announces three servers, each of which breaks the connection of a call and then
// listens on or not.
func breakAtServers(t *testing.T, g *Gateway, call *Call, listening bool) []roster.Server {
	t.Helper()
	servers, _ := breakAtListeners(t, g, call, listening)
	return servers
}

// breakAtListeners is breakAtServers, and returns the listeners too.
func breakAtListeners(t *testing.T, g *Gateway, call *Call, listening bool) ([]roster.Server, []net.Listener) {
	t.Helper()
	addresses, err := loopback.Addresses(3)
	if err != nil {
		t.Fatal(err)
	}
	var servers []roster.Server
	var listeners []net.Listener
	for _, address := range addresses {
		if listening {
			listener, err := net.Listen("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			listeners = append(listeners, listener)
		}
		s := roster.Server{ID: address, Born: 1, Sequence: 1, Service: "s", Address: address}
		if err := g.mesh.Announce(t.Context(), s); err != nil {
			t.Fatal(err)
		}
		g.strikes.connBroken(brokenCall{call: call, server: newServer(roster.Entry{Server: s}, nil)})
		servers = append(servers, s)
	}
	return servers, listeners
}

// newIdleGateway returns a gateway that serves no callers, with the given heartbeat of its servers.
func newIdleGateway(heartbeat time.Duration) *Gateway {
	m := mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}}, mesh.NewDocuments(nil, zap.NewNop()), zap.NewNop())
	return New(Options{Heartbeat: heartbeat}, nil, m, zap.NewNop())
}

// Guards against a request that crashes server after server until the first of them is back.
func TestCrashCountsBeforeItsServerIsBack(t *testing.T) {
	for name, test := range map[string]struct{ ended, want bool }{
		"the servers refuse connections":                    {true, true},
		"only the connections broke, the servers listen on": {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := newIdleGateway(0)
			call := &Call{Method: "POST", URI: "/x", Body: []byte("body")}
			breakAtServers(t, g, call, !test.ended)
			g.strikes.settle(time.Now())
			if got := g.strikes.refused(call); got != test.want {
				t.Errorf("refused: %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a request that is sent on by an entry that knows of three crashes, because it asked only on arrival.
func TestRequestIsNotSentOnAfterItsThirdCrash(t *testing.T) {
	const event = "id: 1\ndata: word\n\n"
	for name, test := range map[string]struct{ path, answer string }{
		"a request that is sent again": {"/look/", ""},
		"a stream that is resumed":     {"/draft/", event},
	} {
		t.Run(name, func(t *testing.T) {
			call := plainEdge{}.Parse(newPrompt(test.path))
			call.Body = []byte("prompt")
			var arrivals atomic.Int64
			var g *Gateway
			g = newTestGateway(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
				arrivals.Add(1)
				for _, id := range []string{"a", "b", "c"} {
					g.mesh.Strike(suspicion.Strike{Fingerprint: call.fingerprint(), Server: id})
				}
				abortAfter(test.answer)(w, r)
			}})
			serveAborted(g, test.path)
			if got := arrivals.Load(); got != 1 {
				t.Errorf("the request reached %d servers, want only the one at which it had its third crash", got)
			}
		})
	}
}

// handClock is a clock that moves by hand, and counts how often it was read.
type handClock struct {
	mu   sync.Mutex
	read sync.Cond
	now  time.Time
	n    int
}

func newHandClock() *handClock {
	c := &handClock{now: time.Unix(1000, 0)}
	c.read.L = &c.mu
	return c
}

func (c *handClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	c.read.Broadcast()
	return c.now
}

// advance moves the clock once it has been read n times.
func (c *handClock) advance(n int, by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.n < n {
		c.read.Wait()
	}
	c.now = c.now.Add(by)
}

// Guards against a server's crash that counts alike for a stream in its middle and for one that had just begun.
func TestBrokenStreamTellsHowLongItGaveOutput(t *testing.T) {
	const event = "id: 1\ndata: word\n\n"
	const lasts = 20 * time.Millisecond
	for name, test := range map[string]struct {
		answer string
		want   int64
		// reads is how often the clock is read before the stream breaks.
		reads int
	}{
		"a stream without an event":            {answer: "", want: 0, reads: 0},
		"a stream in the middle of its events": {answer: event, want: lasts.Milliseconds(), reads: 1},
	} {
		t.Run(name, func(t *testing.T) {
			clock := newHandClock()
			g := newTestGateway(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
				respond(http.StatusOK, "Signed", test.answer)(w, r)
				_ = http.NewResponseController(w).Flush()
				clock.advance(test.reads, lasts)
				panic(http.ErrAbortHandler)
			}})
			g.now = clock.Now
			serveAborted(g, "/draft/")
			if len(g.strikes.pending) == 0 {
				t.Fatal("no broken stream is followed up")
			}
			if got := g.strikes.pending[0].strike.OutputMillis; got != test.want {
				t.Errorf("the first stream gave output for %d ms, want %d", got, test.want)
			}
			for _, p := range g.strikes.pending {
				if got := p.strike.OutputMillis; test.want == 0 && got != 0 {
					t.Errorf("a stream without events gave output for %d ms", got)
				}
			}
		})
	}
}

// Guards against an entry that has just started and serves before another one has told it which requests crash servers.
func TestUninformedEntryServesNobody(t *testing.T) {
	served := 0
	g := newTestGateway(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		served++
		respond(http.StatusOK, "Signed", "body")(w, r)
	}})
	known := g.mesh.Serving()
	g.mesh = mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}, Seeds: []string{"127.0.0.1:2"}}, g.mesh.Documents(), zap.NewNop())
	for _, e := range known {
		if err := g.mesh.Announce(t.Context(), e.Server); err != nil {
			t.Fatal(err)
		}
	}
	request := newPrompt("/look/")
	ctx, cancel := context.WithTimeout(request.Context(), 50*time.Millisecond)
	defer cancel()
	recorder := httptest.NewRecorder()
	g.ServeHTTP(recorder, request.WithContext(ctx))
	if served != 0 || recorder.Code != http.StatusServiceUnavailable {
		t.Errorf("%d requests were served, the status is %d", served, recorder.Code)
	}
}

// Guards against a plain service's server that ends in the middle of an answer and counts against nobody.
func TestBrokenBufferedAnswerIsFollowedUp(t *testing.T) {
	g := newTestGateway(t, []http.HandlerFunc{abortAfter("part"), respond(http.StatusOK, "Signed", "body")})
	serveAborted(g, "/look/")
	if got := len(g.strikes.pending); got != 1 {
		t.Errorf("%d broken answers are followed up, want 1", got)
	}
}

// Guards against a request that is blamed for servers that ended seconds after they had spoilt or lost its answers.
func TestBreakAtServerThatLivesOnIsNotCounted(t *testing.T) {
	const heartbeat = time.Second
	for name, test := range map[string]struct {
		after time.Duration
		want  bool
	}{
		"a later server is there at once":            {heartbeat, true},
		"the server ends long after its broken call": {10 * heartbeat, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := newIdleGateway(heartbeat)
			call := &Call{Method: "POST", URI: "/x", Body: []byte("body")}
			ended := breakAtServers(t, g, call, true)
			now := time.Now()
			g.strikes.settle(now)
			for _, s := range ended {
				s.ID, s.Born = "later "+s.ID, s.Born+1
				if err := g.mesh.Announce(t.Context(), s); err != nil {
					t.Fatal(err)
				}
			}
			g.strikes.settle(now.Add(test.after))
			if got := g.strikes.refused(call); got != test.want {
				t.Errorf("refused: %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against requests that are blamed for the end of a server that had said it would leave.
func TestEndOfLeavingServerIsNotCounted(t *testing.T) {
	g := newIdleGateway(0)
	call := &Call{Method: "POST", URI: "/x", Body: []byte("body")}
	for _, s := range breakAtServers(t, g, call, false) {
		g.strikes.pending = nil
		s.Sequence, s.Leaving = s.Sequence+1, true
		if err := g.mesh.Announce(t.Context(), s); err != nil {
			t.Fatal(err)
		}
		g.strikes.connBroken(brokenCall{call: call, server: newServer(roster.Entry{Server: s}, nil)})
		g.strikes.settle(time.Now())
	}
	if g.strikes.refused(call) {
		t.Error("the request is refused")
	}
}

// Guards against a request without a body that ends server after server, because it could not be told from others.
func TestCrashingRequestWithoutBodyIsRefused(t *testing.T) {
	g := newIdleGateway(0)
	call := &Call{Method: "GET", Host: "h", URI: "/look/7461b9?page=11"}
	breakAtServers(t, g, call, false)
	g.strikes.settle(time.Now())
	if !g.strikes.refused(call) {
		t.Error("the request is not refused after it ended three servers")
	}
	for _, other := range []Call{{Method: "GET", Host: "h", URI: "/look/7461b9?page=12"}, {Method: "GET", Host: "other", URI: call.URI}, {Method: "HEAD", Host: "h", URI: call.URI}} {
		if g.strikes.refused(&other) {
			t.Errorf("another request is refused: %+v", other)
		}
	}
}

// Guards against a server whose end is missed, because its listener took one more connection as it ended.
func TestServerThatAcceptsOnceMoreWhileItEndsIsCounted(t *testing.T) {
	g := newIdleGateway(time.Second)
	call := &Call{Method: "POST", URI: "/x", Body: []byte("body")}
	_, listeners := breakAtListeners(t, g, call, true)
	now := time.Now()
	g.strikes.settle(now)
	for _, listener := range listeners {
		_ = listener.Close()
	}
	g.strikes.settle(now.Add(settleInterval))
	if !g.strikes.refused(call) {
		t.Error("the request is not refused after it ended three servers")
	}
}

// Guards against a request that is refused for servers that ended around it, though it was answered in between.
func TestAnsweredRequestIsNotRefused(t *testing.T) {
	g := newTestGateway(t, []http.HandlerFunc{respond(http.StatusOK, "Signed", "body")})
	call := plainEdge{}.Parse(newPrompt("/look/"))
	call.Body = []byte("prompt")
	strike := func(server string) { g.mesh.Strike(suspicion.Strike{Fingerprint: call.fingerprint(), Server: server}) }
	strike("a")
	strike("b")
	serveAborted(g, "/look/")
	strike("c")
	if g.strikes.refused(&call) {
		t.Error("the request is refused")
	}
	strike("d")
	strike("e")
	if !g.strikes.refused(&call) {
		t.Error("the request is not refused after three servers ended since its answer")
	}
}

// silentAddress returns an address at which connections are neither accepted nor refused.
func silentAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	// The queue holds one connection, which nobody accepts.
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	first, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = first.Close() })
	return address
}

// Guards against ends of servers that become known only when a server that does not answer has been given up.
func TestSilentServerDelaysNoOther(t *testing.T) {
	g := newIdleGateway(time.Second)
	g.pool = upstream.NewPool(time.Hour, upstream.NewMemory(0))
	silent := roster.Server{ID: "silent", Born: 1, Sequence: 1, Service: "s", Address: silentAddress(t)}
	if err := g.mesh.Announce(t.Context(), silent); err != nil {
		t.Fatal(err)
	}
	call := &Call{Method: "POST", URI: "/x", Body: []byte("body")}
	g.strikes.connBroken(brokenCall{call: call, server: newServer(roster.Entry{Server: silent}, nil)})
	breakAtServers(t, g, call, false)
	ctx, cancel := context.WithCancel(t.Context())
	var probes sync.WaitGroup
	g.strikes.look(ctx, time.Now(), &probes)
	for !g.strikes.refused(call) && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	g.strikes.mu.Lock()
	if f := g.strikes.followed[upstream.Target{Address: silent.Address, ID: silent.ID}]; f == nil || !f.dialing {
		t.Error("the connection to the silent server is not being opened any more")
	}
	g.strikes.mu.Unlock()
	cancel()
	probes.Wait()
}
