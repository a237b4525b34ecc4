package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/upstream"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Guards against requests that wait at an engine whose machine stands still: without its agent's
// report it looks idle.
func TestSilentEngineIsLastChoice(t *testing.T) {
	timeout := errors.Wrap(context.DeadlineExceeded, "watch")
	connectTimeout := &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	refused := &net.OpError{Op: "dial", Err: unix.ECONNREFUSED}
	failedAt := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		// fail is the error of the first engine's watch, answered when it answered a request.
		fail     error
		answered time.Time
		// otherAnswers is set when the other engine's agent answers.
		otherAnswers bool
		want         string
	}{
		{"the agent does not answer", timeout, failedAt.Add(-time.Second), true, "busy"},
		{"no connection opens", connectTimeout, time.Time{}, true, "busy"},
		{"the agent has ended, its engine goes on", refused, time.Time{}, true, "first"},
		{"the agent does not answer, its engine does", timeout, failedAt.Add(time.Second), true, "first"},
		{"no agent answers", timeout, time.Time{}, false, "first"},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}}, mesh.NewDocuments(decodeRoute, zap.NewNop()), zap.NewNop())
			s := newServers(Options{DataCentre: "d"}, m, upstream.NewPool(time.Second), zap.NewNop())
			engines := map[string]*server{}
			for _, id := range []string{"busy", "first"} {
				announced := roster.Server{ID: id, Born: 1, Sequence: 1, Service: "llm", Address: "127.0.0.1:1", DataCentre: "d", Slots: 48, Models: []string{"base"}}
				if err := m.Announce(t.Context(), announced); err != nil {
					t.Fatal(err)
				}
				engines[id] = &server{entry: roster.Entry{Server: announced}, agent: &agentClient{}}
			}
			s.byService = map[string][]*server{"llm": {engines["busy"], engines["first"]}}
			busy := wire.EngineState{Known: true, Batch: 48, Running: 60, DelayMillis: []int64{3000}, Models: []string{"base"}}
			if test.otherAnswers {
				engines["busy"].agent.setState(busy)
			} else {
				engines["busy"].agent.setSilent(true, failedAt)
				engines["busy"].inflight = 60
			}
			engines["first"].agent.setSilent(isTimeout(test.fail), failedAt)
			engines["first"].answeredAt = test.answered
			got, _ := s.choose(t.Context(), &route.Service{Name: "llm", Engine: &route.Engine{}}, dispatch.Request{DataCentre: "d", Target: 800 * time.Millisecond}, "base")
			if got == nil || got.entry.ID != test.want {
				t.Errorf("chose %+v, want %s", got, test.want)
			}
		})
	}
}
