package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/upstream"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Guards against requests that wait at an engine whose machine stands still: without its agent's
// report it looks idle.
func TestSilentEngineIsLastChoice(t *testing.T) {
	timeout := errors.Wrap(context.DeadlineExceeded, "watch")
	connectTimeout := &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	refused := &net.OpError{Op: "dial", Err: unix.ECONNREFUSED}
	closed := errors.Wrap(jsonrpc2.ErrClosed, "watch")
	failedAt := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		// watches are the ends of the first engine's watches, answered is when it answered a request.
		watches  []error
		answered time.Time
		// otherAnswers is set when the other engine's agent answers.
		otherAnswers bool
		want         string
	}{
		{"the agent does not answer", []error{timeout}, failedAt.Add(-time.Second), true, "busy"},
		{"no connection opens", []error{connectTimeout}, time.Time{}, true, "busy"},
		{"the agent does not answer, another call closes the connection", []error{timeout, closed}, time.Time{}, true, "busy"},
		{"the agent has ended, its engine goes on", []error{closed, refused}, time.Time{}, true, "first"},
		{"the agent is back after its machine stood still, and has ended", []error{timeout, refused}, time.Time{}, true, "first"},
		{"the agent does not answer, its engine does", []error{timeout}, failedAt.Add(time.Second), true, "first"},
		{"no agent answers", []error{timeout}, time.Time{}, false, "first"},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}}, mesh.NewDocuments(decodeRoute, zap.NewNop()), zap.NewNop())
			s := newServers(Options{DataCentre: "d"}, m, upstream.NewPool(time.Second, upstream.NewMemory(0)), zap.NewNop())
			engines := map[string]*server{}
			for _, id := range []string{"busy", "first"} {
				announced := roster.Server{ID: id, Born: 1, Sequence: 1, Service: "llm", Address: "127.0.0.1:1", DataCentre: "d", Slots: 48, Models: []string{"base"}}
				if err := m.Announce(t.Context(), announced); err != nil {
					t.Fatal(err)
				}
				engines[id] = newServer(roster.Entry{Server: announced}, &agentClient{})
			}
			s.byService = map[string][]*server{"llm": {engines["busy"], engines["first"]}}
			busy := wire.EngineState{Known: true, Batch: 48, Running: 60, DelayMillis: []int64{3000}, Models: []string{"base"}}
			if test.otherAnswers {
				engines["busy"].agent.setState(busy)
			} else {
				engines["busy"].agent.recordWatch(timeout, failedAt)
				engines["busy"].inflight = 60
			}
			for _, err := range test.watches {
				engines["first"].agent.recordWatch(err, failedAt)
			}
			engines["first"].answeredAt = test.answered
			got, _ := s.choose(t.Context(), &route.Service{Name: "llm", Engine: &route.Engine{}}, dispatch.Request{DataCentre: "d", Target: 800 * time.Millisecond}, "base", &lineage{})
			if got == nil || got.entry().ID != test.want {
				t.Errorf("chose %+v, want %s", got, test.want)
			}
		})
	}
}

// Guards against a request that waits for the start of an agent that stands still while other
// engines could serve it.
func TestStartEndsWhenItsAgentFallsSilent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	a := &agentClient{client: rpc.NewClient(listener.Addr().String())}
	defer a.client.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := a.admit(t.Context(), wire.StartRequest{ID: "r", WaitMillis: time.Hour.Milliseconds()})
		ended <- err
	}()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	a.recordWatch(context.DeadlineExceeded, time.Now())
	if err := <-ended; !errors.Is(err, errAgentSilent) {
		t.Errorf("the start ended with %v, want %v", err, errAgentSilent)
	}
}
