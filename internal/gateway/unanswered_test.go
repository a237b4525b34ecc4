package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// leaveUnanswered sends a request whose caller leaves once a server has it, until three servers had it.
func leaveUnanswered(t *testing.T, g *Gateway, arrived <-chan struct{}) {
	t.Helper()
	servers := make(map[*server]bool)
	for len(servers) < 3 {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-arrived
			cancel()
		}()
		serveCut(g, newPrompt("/look/").WithContext(ctx))
		for u := range g.strikes.unanswered {
			servers[u.server] = true
		}
	}
}

// lookLater looks at the unanswered calls once they are old enough to be judged.
func lookLater(g *Gateway) {
	time.Sleep(silentAfter)
	now := time.Now()
	g.strikes.lookedAt = now
	g.strikes.lookUnanswered(now)
}

// promptFingerprint returns the fingerprint of newPrompt.
func promptFingerprint(g *Gateway) uint64 {
	call := g.edge.Parse(newPrompt("/look/"))
	call.Body = []byte("prompt")
	return call.fingerprint()
}

// silentGateway returns a gateway whose servers answer nothing, and what they receive.
func silentGateway(t *testing.T) (*Gateway, <-chan struct{}) {
	t.Helper()
	arrived, ended := make(chan struct{}, 64), make(chan struct{})
	g := newTestGateway(t, []http.HandlerFunc{func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-ended
	}})
	t.Cleanup(func() { close(ended) })
	return g, arrived
}

// Guards against a request that goes on from one silent server to the next, because its caller had left when each fell silent.
func TestRequestOfDepartedCallerIsFollowedUp(t *testing.T) {
	g, arrived := silentGateway(t)
	leaveUnanswered(t, g, arrived)
	lookLater(g)
	request := suspicion.Request{Fingerprint: promptFingerprint(g)}
	if got := g.mesh.Decide(request, 0).Verdict; got != suspicion.RunAlone {
		t.Fatalf("after three silent servers the request is to %s, want %s", got, suspicion.RunAlone)
	}
	g.options.Heartbeat = -heartbeatSlack
	if len(g.mesh.BeginTrials(request, 0)) != 1 {
		t.Fatal("no trial begins")
	}
	recorder := httptest.NewRecorder()
	g.ServeHTTP(recorder, newPrompt("/look/"))
	if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") == "" {
		t.Errorf("while a copy is on trial another gets %d, header %v", recorder.Code, recorder.Header())
	}
}

// Guards against a request that is doubted because its callers left a server before it could answer.
func TestRequestLeftEarlyIsNotDoubted(t *testing.T) {
	g, arrived := silentGateway(t)
	leaveUnanswered(t, g, arrived)
	for u := range g.strikes.unanswered {
		g.servers.headerReceived(u.server, u.sentAt.Add(silentAfter))
	}
	lookLater(g)
	if got := g.mesh.Decide(suspicion.Request{Fingerprint: promptFingerprint(g)}, 0).Verdict; got != suspicion.Run {
		t.Errorf("the request is to %s although its servers answered others", got)
	}
}

// Guards against an entry that takes all servers for silent because it stood still itself.
func TestEntryThatStoodStillDoubtsNobody(t *testing.T) {
	g, arrived := silentGateway(t)
	g.strikes.lookedAt = time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	serveCut(g, newPrompt("/look/").WithContext(ctx))
	g.strikes.settle(time.Now().Add(time.Minute))
	if g.mesh.Suspected(promptFingerprint(g)) {
		t.Error("a server counts as silent after the entry's own pause")
	}
}

// Guards against doubts of every request that waits at a busy engine of another data centre, whose agent's reports come seldom.
func TestEngineWhoseAgentReportsIsGivenTime(t *testing.T) {
	reported := wire.EngineState{Known: true}
	for name, test := range map[string]struct {
		state      wire.EngineState
		receivedAt time.Duration
		silent     bool
		age        time.Duration
		want       bool
	}{
		"its report may still come":        {state: reported, age: agentPatience - 1, want: false},
		"its report has come":              {state: reported, receivedAt: time.Second, age: agentPatience, want: false},
		"it owes the report for long":      {state: reported, age: agentPatience, want: true},
		"its engine does not report to it": {age: silentAfter, want: true},
		"it is silent itself":              {state: reported, silent: true, age: silentAfter, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			g, sentAt := newTestGateway(t, nil), time.Now()
			agent := &agentClient{state: test.state, receivedAt: sentAt.Add(test.receivedAt)}
			if test.silent {
				agent.silentSince = sentAt
			}
			g.strikes.sent(suspicion.Request{Fingerprint: 1}, newServer(roster.Entry{}, agent), sentAt)
			g.strikes.lookedAt = sentAt.Add(test.age)
			g.strikes.lookUnanswered(sentAt.Add(test.age))
			if got := g.mesh.Suspected(1); got != test.want {
				t.Errorf("doubted %t, want %t", got, test.want)
			}
		})
	}
}

// writeCounter is a caller that leaves once it has received a number of writes.
type writeCounter struct {
	*httptest.ResponseRecorder
	left  int
	leave context.CancelFunc
}

func (w *writeCounter) Write(p []byte) (int, error) {
	if w.left--; w.left == 0 {
		defer w.leave()
	}
	return w.ResponseRecorder.Write(p)
}

// Guards against a request that goes on from one server to the next, because each falls silent behind the first event of its stream.
func TestStreamThatFallsSilentInItsBeginningIsFollowedUp(t *testing.T) {
	for name, test := range map[string]struct {
		events int
		want   suspicion.Verdict
	}{
		"nothing follows the first event":    {1, suspicion.RunAlone},
		"the stream gets past its beginning": {2, suspicion.Run},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			g := newTestGateway(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
				respond(http.StatusOK, "Signed", "")(w, r)
				for i := range test.events {
					if i > 0 {
						time.Sleep(suspicion.BeginTime + time.Millisecond)
					}
					_, _ = fmt.Fprintf(w, "id: %d\ndata: word\n\n", i+1)
					_ = http.NewResponseController(w).Flush()
				}
				<-ended
			}})
			t.Cleanup(func() { close(ended) })
			for tries, servers := 0, make(map[*server]bool); tries < 3 || test.want != suspicion.Run && len(servers) < 3; tries++ {
				ctx, leave := context.WithCancel(t.Context())
				caller := &writeCounter{ResponseRecorder: httptest.NewRecorder(), left: test.events, leave: leave}
				func() {
					defer expectAbort()
					g.ServeHTTP(caller, newPrompt("/draft/").WithContext(ctx))
				}()
				for u := range g.strikes.unanswered {
					servers[u.server] = true
				}
			}
			lookLater(g)
			call := g.edge.Parse(newPrompt("/draft/"))
			call.Body = []byte("prompt")
			if got := g.mesh.Decide(suspicion.Request{Fingerprint: call.fingerprint()}, 0).Verdict; got != test.want {
				t.Errorf("the request is to %s, want %s", got, test.want)
			}
		})
	}
}
